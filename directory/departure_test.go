package directory

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// Guards against a departure that is taken for stored because the directory shows it from before,
// although this process or an earlier one has written another record since.
func TestDepartureIsWrittenDespiteStaleDirectory(t *testing.T) {
	leaving := record("10.0.0.1:1", "s")
	leaving.Leaving, leaving.Instance, leaving.StartTimeMS = true, "i", 1
	ready := record("10.0.0.1:1", "s")
	stale := func(t *testing.T) *Directory {
		d, _ := newDirectory()
		value, err := leaving.Encode()
		assert.NilError(t, err)
		s := &fakeStore{values: map[string][]byte{"n": value}}
		d.Apply(s.batch())
		return d
	}
	for desc, first := range map[string]*Record{"written by an earlier process": nil, "written by this process": &ready} {
		t.Run(desc, func(t *testing.T) {
			value, err := ready.Encode()
			assert.NilError(t, err)
			s := &fakeStore{values: map[string][]byte{"n": value}}
			p := NewPublisher("n", stale(t), s, log.New(io.Discard))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go p.Run(ctx)
			if first != nil {
				<-p.SetWanted(first)
			}
			select {
			case <-p.SetWanted(&leaving):
			case <-time.After(5 * time.Second):
				t.Fatal("the departure is not stored")
			}
			s.set(func() { value = s.values["n"] })
			r, err := Decode(value)
			assert.NilError(t, err)
			assert.Equal(t, r, leaving)
		})
	}
}
