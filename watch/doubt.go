package watch

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errDoubted means that a call was ended because another call to the store got no response.
var errDoubted = errors.New("another call to the store got no response")

// Doubt is shared by the followers of one store. While a watch waits, its connection carries nothing,
// so a store that has gone silent is noticed only when the wait is over; the watch may then be dead
// although the store serves new calls. When one follower gets no response in time, the watches of
// the others are ended, and their objects are listed again.
type Doubt struct {
	mu     sync.Mutex
	raised chan struct{}
}

// NewDoubt returns a Doubt that has not been raised.
func NewDoubt() *Doubt { return &Doubt{raised: make(chan struct{})} }

// raise ends the watches that are waiting now. It does nothing on nil.
func (d *Doubt) raise() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.raised)
	d.raised = make(chan struct{})
}

// next returns a channel that is closed when raise is called next; nil if d is nil.
func (d *Doubt) next() <-chan struct{} {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.raised
}
