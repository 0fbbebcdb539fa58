package ejection

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrConflict means that the object's version was another one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the store did not serve the call; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain means that a write may have taken effect, or still may.
	ErrUncertain = errors.New("write uncertain")
)

// Store holds the permits object of each service. Reads must be linearisable:
// a read after a completed write returns that write or a later one.
type Store interface {
	// Get returns the object and its version; nil and "" when it does not exist.
	Get(ctx context.Context, service string) (data []byte, version string, err error)
	// Put replaces the object if it still has the version; "" means that it must not exist.
	Put(ctx context.Context, service string, data []byte, version string) error
}

// Clock returns the monotonic time of this process. It must not stop while the VM is suspended.
type Clock func() time.Duration

// Coordinator holds the permits of one node for one service. Update methods must
// not overlap; Ejected may be called at any time.
type Coordinator struct {
	service string
	holder  string
	store   Store
	clock   Clock
	newID   func() string
	times   Times
	// observer is used by the update methods only.
	observer ExpiryDetector

	mu    sync.Mutex
	known PermitSet
	// held has the permits by backend server that this process may use until they lapse.
	held map[string]*holding
}

// holding is a permit that this process has asked for.
type holding struct {
	permit Permit
	// confirmed is false until the permit has been seen in the store.
	confirmed bool
	lapses    time.Duration
	renewed   time.Duration
	// attempted has the start of the latest write and the renewal it carried.
	attempted        time.Duration
	attemptedRenewal uint64
	recovery         Recovery
}

// NewCoordinator returns a coordinator. Holder must be unique to this process (node
// ID and incarnation): permits in its name that it does not use are removed at once.
// NewID returns a fresh unique permit ID.
func NewCoordinator(service, holder string, store Store, clock Clock, newID func() string, times Times) *Coordinator {
	return &Coordinator{
		service: service, holder: holder, store: store, clock: clock, newID: newID, times: times,
		held: make(map[string]*holding),
	}
}

// Eject asks for a permit. It returns nil when the ejection is in force, and
// ErrHeld, ErrNotReady, ErrFloor or an error of the store otherwise. After
// ErrUncertain the next Refresh finds out whether the permit was granted.
func (c *Coordinator) Eject(ctx context.Context, backendID string, ready []string, floor int) error {
	p, version, err := c.read(ctx)
	if err != nil {
		return err
	}
	q := Permit{ID: c.newID(), BackendID: backendID, Holder: c.holder, Lifetime: c.times.PermitLifetime}
	next, err := p.Grant(q, ready, floor)
	if err != nil {
		return err
	}
	start := c.clock()
	h := &holding{permit: q, attempted: start, recovery: NewRecovery(start, c.times.HoldTime(next.Ejections[backendID]))}
	c.hold(backendID, h)
	return c.write(ctx, next, version, []*holding{h})
}

// Refresh reads the object, recognises writes whose answer was lost, renews the
// permits that are due and removes those that have lapsed. The owner calls it
// every second while it holds a permit, otherwise every few seconds.
func (c *Coordinator) Refresh(ctx context.Context) error {
	p, version, err := c.read(ctx)
	if err != nil {
		return err
	}
	lapsed := c.observer.Lapsed(c.clock(), p)
	next := p.Remove(lapsed)
	next = next.Remove(c.abandoned(next))
	start := c.clock()
	due := c.due(start, next)
	for _, h := range due {
		next, err = next.Renew(h.permit.ID, h.attemptedRenewal)
		if err != nil {
			return err
		}
	}
	if len(due) == 0 && len(next.Permits) == len(p.Permits) {
		return nil
	}
	return c.write(ctx, next, version, due)
}

// Release ends an ejection at once and removes its permit. When the store fails,
// Refresh tries again; until then the permit counts against the floor.
func (c *Coordinator) Release(ctx context.Context, backendID string) error {
	id, ok := c.drop(backendID)
	if !ok {
		return ErrNoPermit
	}
	p, version, err := c.read(ctx)
	if err != nil {
		return err
	}
	if _, ok := p.Find(id); !ok {
		return nil
	}
	return c.write(ctx, p.Remove(map[string]bool{id: true}), version, nil)
}

// Ejected reports whether this node must treat a backend server as ejected now.
// Ready lists the ready backend servers known, ejected ones included.
func (c *Coordinator) Ejected(backendID string, ready []string, floor int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[backendID]
	if h == nil || !h.confirmed || c.clock() >= h.lapses {
		return false
	}
	return MayEnforce(ready, c.known.Ejected(), floor)
}

// Observe counts an answer of a backend server for its recovery, if a permit for it is held.
func (c *Coordinator) Observe(backendID string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[backendID]; h != nil {
		h.recovery.Observe(good)
	}
}

// Recovered returns the backend servers whose ejection may end, sorted.
func (c *Coordinator) Recovered() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, h := range c.held {
		if h.confirmed && h.recovery.Done(c.clock()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Holds returns the backend servers for which a permit is held or was asked for, sorted.
func (c *Coordinator) Holds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Coordinator) read(ctx context.Context) (PermitSet, string, error) {
	data, version, err := c.store.Get(ctx, c.service)
	if err != nil {
		return PermitSet{}, "", err
	}
	p, err := Decode(c.service, data)
	if err != nil {
		return PermitSet{}, "", err
	}
	c.learn(p)
	return p, version, nil
}

// learn compares the held permits with the stored ones.
func (c *Coordinator) learn(p PermitSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = p
	for id, h := range c.held {
		stored, ok := p.Find(h.permit.ID)
		if !ok {
			// The write has not taken effect, or the permit was removed after it had
			// lapsed. If the write still takes effect, Refresh removes the permit.
			delete(c.held, id)
			continue
		}
		h.recognise(stored)
	}
}

// recognise takes over a write whose answer was lost. The lifetime counts from the start of that write.
func (h *holding) recognise(stored Permit) {
	if stored.Renewal == h.attemptedRenewal && (!h.confirmed || stored.Renewal > h.permit.Renewal) {
		h.confirm(stored)
	}
}

func (h *holding) confirm(stored Permit) {
	h.permit = stored
	h.confirmed = true
	h.renewed = h.attempted
	h.lapses = h.attempted + stored.Lifetime
}

// write stores the object and confirms the permits that it grants or renews.
func (c *Coordinator) write(ctx context.Context, next PermitSet, version string, written []*holding) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	if err := c.store.Put(ctx, c.service, data, version); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = next
	for _, h := range written {
		stored, _ := next.Find(h.permit.ID)
		h.confirm(stored)
	}
	return nil
}

func (c *Coordinator) hold(backendID string, h *holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[backendID] = h
}

func (c *Coordinator) drop(backendID string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[backendID]
	if h == nil {
		return "", false
	}
	delete(c.held, backendID)
	return h.permit.ID, true
}

// abandoned returns the permits in this node's name that this process does not
// hold, for example after a release whose write failed. A permit once dropped is
// never used again, because its removal may still take effect.
func (c *Coordinator) abandoned(p PermitSet) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make(map[string]bool)
	for _, q := range p.Permits {
		h := c.held[q.BackendID]
		if q.Holder == c.holder && (h == nil || h.permit.ID != q.ID) {
			ids[q.ID] = true
		}
	}
	return ids
}

// due returns the held permits in the set whose last renewal is due,
// in stored order, and marks the attempt to renew them.
func (c *Coordinator) due(now time.Duration, p PermitSet) []*holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*holding
	for _, q := range p.Permits {
		h := c.held[q.BackendID]
		if h == nil || h.permit.ID != q.ID || (h.confirmed && now-h.renewed < c.times.renewAfter()) {
			continue
		}
		h.attempted = now
		h.attemptedRenewal = max(h.attemptedRenewal, q.Renewal) + 1
		due = append(due, h)
	}
	return due
}
