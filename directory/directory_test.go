package directory

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/watch"
)

func record(hop, service string) Record {
	return Record{HopAddress: hop, ControlPort: 7000, Region: "r", DataCentre: "d", Service: service, Slots: 4}
}

func object(t *testing.T, name string, r Record) watch.Object {
	data, err := r.Encode()
	assert.NilError(t, err)
	return watch.Object{Name: name, Value: data}
}

func newDirectory() (*Directory, *int) {
	rejected := new(int)
	return New(func(string, error) { *rejected++ }), rejected
}

// Guards against objects of other writers that add a backend server to the view, or
// that keep the valid records of the same batch out of it.
func TestRejectsInvalidObjects(t *testing.T) {
	invalid := []string{
		``, `null`, `7`, `"x"`, `[]`, `{}`, `{"h":"10.0.0.1:80"}`, `{"h":7,"c":1,"r":"r","d":"d","s":"s","n":1}`,
		`{"h":"host:80","c":1,"r":"r","d":"d","s":"s","n":1}`, `{"h":"10.0.0.1:80","c":1,"r":"r","d":"d","s":"S!","n":1}`,
		`{"h":"10.0.0.1:80","c":1,"r":"r","d":"d","s":"s","n":-1}`, `{"h":"10.0.0.1:80","c":1,"r":"r","d"`,
	}
	d, rejected := newDirectory()
	batch := watch.Batch{Full: true, Objects: []watch.Object{object(t, "n1", record("10.0.0.9:1", "s"))}}
	for _, value := range invalid {
		batch.Objects = append(batch.Objects, watch.Object{Name: "foreign", Value: []byte(value)})
	}
	d.Apply(batch)
	assert.Equal(t, *rejected, len(invalid))
	assert.Equal(t, len(d.View().Backends("s")), 1)
}

// Guards against records that stay in the view after their deletion, or after a full
// list that does not contain them.
func TestDeletedRecords(t *testing.T) {
	d, _ := newDirectory()
	a, b := object(t, "a", record("10.0.0.1:1", "s")), object(t, "b", record("10.0.0.2:1", "s"))
	d.Apply(watch.Batch{Full: true, Objects: []watch.Object{a, b}})
	assert.Equal(t, len(d.View().Backends("s")), 2)
	d.Apply(watch.Batch{Objects: []watch.Object{{Name: "a", Deleted: true}}})
	assert.Equal(t, len(d.View().Backends("s")), 1)
	d.Apply(watch.Batch{Full: true, Objects: []watch.Object{a}})
	assert.Equal(t, d.View().Backends("s")[0].Guard.NodeID, "a")
}

// Guards against the record of a node that was lost without deleting it and that
// hides the node to which its address was assigned afterwards.
func TestReusedAddress(t *testing.T) {
	for _, names := range [][2]string{{"n-5", "n-14"}, {"n-14", "n-5"}} {
		d, _ := newDirectory()
		old, later := object(t, names[0], record("10.0.0.1:1", "s")), object(t, names[1], record("10.0.0.1:1", "other"))
		old.Revision, later.Revision = 7, 9
		d.Apply(watch.Batch{Full: true, Objects: []watch.Object{later, old}})
		assert.Equal(t, len(d.View().Backends("s")), 0, "%v", names)
		assert.Equal(t, d.View().Backends("other")[0].Guard.NodeID, names[1])
		d.Apply(watch.Batch{Objects: []watch.Object{{Name: names[1], Deleted: true, Revision: 12}}})
		assert.Equal(t, len(d.View().Backends("other")), 0)
	}
}

// fakeStore is a store in memory. If loseAnswer is set, the next write takes effect
// but returns an error; while down is set, no write takes effect.
type fakeStore struct {
	mu         sync.Mutex
	values     map[string][]byte
	writes     int
	loseAnswer bool
	down       bool
}

var errNoAnswer = errors.New("no answer")

func (s *fakeStore) write(name string, value []byte, mayExist, mayMiss bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errNoAnswer
	}
	_, exists := s.values[name]
	if exists && !mayExist {
		return ErrExists
	}
	if !exists && !mayMiss {
		return ErrMissing
	}
	s.values[name] = value
	if value == nil {
		delete(s.values, name)
	}
	if s.loseAnswer {
		s.loseAnswer = false
		return errNoAnswer
	}
	return nil
}

func (s *fakeStore) Create(_ context.Context, name string, value []byte) error {
	return s.write(name, value, false, true)
}

func (s *fakeStore) Replace(_ context.Context, name string, value []byte) error {
	return s.write(name, value, true, false)
}

func (s *fakeStore) Delete(_ context.Context, name string) error {
	return s.write(name, nil, true, false)
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) batch() watch.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := watch.Batch{Full: true}
	for name, value := range s.values {
		b.Objects = append(b.Objects, watch.Object{Name: name, Value: value})
	}
	return b
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out waiting until " + what)
}

// Guards against a record that stays wrong after the store was down, lost the answer
// to a write or executed an older write late. The late write is corrected after
// SetWanted is called again; the correction that follows confirmTimeout without such
// a call is not tested. The test does not check that the publisher writes nothing
// that the store already holds: it resets the count of writes but does not compare it.
func TestPublisher(t *testing.T) {
	d, _ := newDirectory()
	s := &fakeStore{values: make(map[string][]byte)}
	p := NewPublisher("n", d, s, log.New(io.Discard))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Run(ctx)
	sync := func() {
		d.Apply(s.batch())
		p.DirectoryChanged()
	}
	holds := func(r Record) func() bool {
		return func() bool {
			sync()
			got, found, _ := d.Record("n")
			return found && got == r
		}
	}
	ready := record("10.0.0.1:1", "s")
	leaving := ready
	leaving.Leaving = true

	s.set(func() { s.down = true })
	p.SetWanted(&ready)
	waitUntil(t, "a write was tried", func() bool {
		sync()
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.writes > 0
	})
	s.set(func() { s.down, s.loseAnswer = false, true })
	waitUntil(t, "ready is stored", holds(ready))
	p.SetWanted(&leaving)
	waitUntil(t, "leaving is stored", holds(leaving))
	late, err := ready.Encode()
	assert.NilError(t, err)
	s.set(func() { s.values["n"] = late })
	sync()
	s.set(func() { s.writes = 0 })
	time.Sleep(20 * time.Millisecond)
	p.SetWanted(&leaving)
	waitUntil(t, "the late write is corrected", holds(leaving))
	p.SetWanted(nil)
	waitUntil(t, "the record is gone", func() bool {
		sync()
		_, found, _ := d.Record("n")
		return !found
	})
}
