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

// Guards against objects of other writers that name a backend server or hide others.
func TestForeignObjects(t *testing.T) {
	foreign := []string{
		``, `null`, `7`, `"x"`, `[]`, `{}`, `{"h":"10.0.0.1:80"}`, `{"h":7,"c":1,"r":"r","d":"d","s":"s","n":1}`,
		`{"h":"host:80","c":1,"r":"r","d":"d","s":"s","n":1}`, `{"h":"10.0.0.1:80","c":1,"r":"r","d":"d","s":"S!","n":1}`,
		`{"h":"10.0.0.1:80","c":1,"r":"r","d":"d","s":"s","n":-1}`, `{"h":"10.0.0.1:80","c":1,"r":"r","d"`,
	}
	d, rejected := newDirectory()
	batch := watch.Batch{Full: true, Objects: []watch.Object{object(t, "n1", record("10.0.0.9:1", "s"))}}
	for _, value := range foreign {
		batch.Objects = append(batch.Objects, watch.Object{Name: "foreign", Value: []byte(value)})
	}
	d.Apply(batch)
	assert.Equal(t, *rejected, len(foreign))
	assert.Equal(t, len(d.View().Backends("s")), 1)
}

// Guards against records that stay after their deletion, or after a list without them.
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

// Guards against the record of a node that was lost without a word and hides the node that
// got its address.
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

// fakeStore applies writes to a directory. lose lets the next write take effect without an answer.
type fakeStore struct {
	mu     sync.Mutex
	values map[string][]byte
	writes int
	lose   bool
	down   bool
}

var errDown = errors.New("no answer")

func (s *fakeStore) write(name string, value []byte, mayExist, mayMiss bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDown
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
	if s.lose {
		s.lose = false
		return errDown
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

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("never: " + what)
}

// Guards against a record that stays wrong after the store was down, lost an answer,
// or executed an older write late; and against writes of what the store already has.
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
	p.Want(&ready)
	until(t, "a write was tried", func() bool {
		sync()
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.writes > 0
	})
	s.set(func() { s.down, s.lose = false, true })
	until(t, "ready is stored", holds(ready))
	p.Want(&leaving)
	until(t, "leaving is stored", holds(leaving))
	late, err := ready.Encode()
	assert.NilError(t, err)
	s.set(func() { s.values["n"] = late })
	sync()
	s.set(func() { s.writes = 0 })
	time.Sleep(20 * time.Millisecond)
	p.Want(&leaving)
	until(t, "the late write is corrected", holds(leaving))
	p.Want(nil)
	until(t, "the record is gone", func() bool {
		sync()
		_, found, _ := d.Record("n")
		return !found
	})
}
