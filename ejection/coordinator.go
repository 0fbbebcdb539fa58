package ejection

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrConflict means that the stored object had another version than expected; nothing was written.
	ErrConflict = errors.New("permits not written: they have changed since they were read")
	// ErrUnavailable means that the store did not serve the call; nothing was written.
	ErrUnavailable = errors.New("permit store unavailable")
	// ErrUncertain means that a write may have taken effect, or may still do so.
	ErrUncertain = errors.New("result of writing the permits is unknown")
)

// Store holds one object with the set of permits for each service. Reads must be linearisable:
// a read after a completed write returns that write or a later one.
type Store interface {
	// Get returns the object of a service and its version, or nil and "" when it does not exist.
	Get(ctx context.Context, service string) (data []byte, version string, err error)
	// Put replaces the object of a service if it still has the given version. The version ""
	// means that the object must not exist yet.
	Put(ctx context.Context, service string, data []byte, version string) error
}

// Clock returns the monotonic time of this process. It must not stop while the VM is suspended.
type Clock func() time.Duration

// Coordinator requests, renews and releases the permits of one node for one service.
// Calls of Eject, Refresh and Release must not overlap; the other methods may be called
// at any time.
type Coordinator struct {
	service string
	holder  string
	store   Store
	clock   Clock
	newID   func() string
	times   Times
	// lapses is used by Refresh only.
	lapses ExpiryDetector

	mu sync.Mutex
	// stored is the set of permits that was last read or written.
	stored PermitSet
	// held holds, by backend server ID, the permits that this process may use until they lapse.
	held map[string]*heldPermit
}

// heldPermit is a permit that this process has requested.
type heldPermit struct {
	permit Permit
	// confirmed is set once the permit is known to be in the store.
	confirmed bool
	// lapsesAt is the time until which the permit may be used: renewedAt plus the lifetime of
	// the permit. renewedAt is the start of the latest write that is known to have taken effect.
	lapsesAt  time.Duration
	renewedAt time.Duration
	// attemptedAt is the start of the latest write; attemptedRenewal is the Permit.Renewal that it wrote.
	attemptedAt      time.Duration
	attemptedRenewal uint64
	recovery         Recovery
}

// NewCoordinator returns a coordinator without permits. The holder must be unique to this
// process (node ID and incarnation): stored permits of this holder that the coordinator
// does not hold are removed at once. The function newID returns a new unique permit ID.
func NewCoordinator(service, holder string, store Store, clock Clock, newID func() string, times Times) *Coordinator {
	return &Coordinator{
		service: service, holder: holder, store: store, clock: clock, newID: newID, times: times,
		held: make(map[string]*heldPermit),
	}
}

// Eject requests a permit to eject a backend server. It returns nil when the permit
// was granted and stored, and ErrAlreadyEjected, ErrNotReady, ErrFloor or an error of the
// store otherwise. After ErrUncertain, the next Refresh finds out whether the permit was granted.
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
	h := &heldPermit{permit: q, attemptedAt: start, recovery: NewRecovery(start, c.times.HoldTime(next.Ejections[backendID]))}
	c.addHeld(backendID, h)
	return c.write(ctx, next, version, []*heldPermit{h})
}

// Refresh reads the stored permits, confirms writes whose response was lost, renews the
// permits that are due for renewal, and removes lapsed permits and stored permits of this
// holder that it no longer holds. The caller should call Refresh every second while a permit is
// held, otherwise every few seconds.
func (c *Coordinator) Refresh(ctx context.Context) error {
	p, version, err := c.read(ctx)
	if err != nil {
		return err
	}
	lapsed := c.lapses.Lapsed(c.clock(), p)
	next := p.Remove(lapsed)
	next = next.Remove(c.abandoned(next))
	start := c.clock()
	due := c.dueForRenewal(start, next)
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

// Release ends an ejection at once and removes its permit. When the store fails, Refresh
// tries again to remove the permit; until that succeeds, the permit counts against the floor.
func (c *Coordinator) Release(ctx context.Context, backendID string) error {
	id, ok := c.removeHeld(backendID)
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
// The list ready holds the IDs of the ready backend servers known, ejected ones included.
func (c *Coordinator) Ejected(backendID string, ready []string, floor int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[backendID]
	if h == nil || !h.confirmed || c.clock() >= h.lapsesAt {
		return false
	}
	return MayEnforce(ready, c.stored.Ejected(), floor)
}

// Observe counts a good or bad answer of a backend server towards its recovery, if a
// permit for it is held.
func (c *Coordinator) Observe(backendID string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[backendID]; h != nil {
		h.recovery.Observe(good)
	}
}

// RecoveredBackendIDs returns the IDs of the backend servers whose ejection may end, sorted.
func (c *Coordinator) RecoveredBackendIDs() []string {
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

// HeldBackendIDs returns the IDs of the backend servers for which a permit is held or was
// requested, sorted.
func (c *Coordinator) HeldBackendIDs() []string {
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
	c.reconcile(p)
	return p, version, nil
}

// reconcile confirms the held permits that are stored and drops those that are not.
func (c *Coordinator) reconcile(p PermitSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = p
	for id, h := range c.held {
		stored, ok := p.Find(h.permit.ID)
		if !ok {
			// The write has not taken effect, or the permit was removed after it had
			// lapsed. If the write takes effect later, Refresh removes the permit.
			delete(c.held, id)
			continue
		}
		h.confirmIfWritten(stored)
	}
}

// confirmIfWritten confirms the permit if the stored one results from the latest write, whose
// response was lost. The lifetime counts from the start of that write.
func (h *heldPermit) confirmIfWritten(stored Permit) {
	if stored.Renewal == h.attemptedRenewal && (!h.confirmed || stored.Renewal > h.permit.Renewal) {
		h.confirm(stored)
	}
}

// confirm records that the latest write took effect and stored the given permit.
func (h *heldPermit) confirm(stored Permit) {
	h.permit = stored
	h.confirmed = true
	h.renewedAt = h.attemptedAt
	h.lapsesAt = h.attemptedAt + stored.Lifetime
}

// write stores the set of permits and confirms the permits that it grants or renews.
func (c *Coordinator) write(ctx context.Context, next PermitSet, version string, written []*heldPermit) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	if err := c.store.Put(ctx, c.service, data, version); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = next
	for _, h := range written {
		stored, _ := next.Find(h.permit.ID)
		h.confirm(stored)
	}
	return nil
}

func (c *Coordinator) addHeld(backendID string, h *heldPermit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[backendID] = h
}

// removeHeld removes the held permit of a backend server and returns its ID.
func (c *Coordinator) removeHeld(backendID string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[backendID]
	if h == nil {
		return "", false
	}
	delete(c.held, backendID)
	return h.permit.ID, true
}

// abandoned returns the IDs of the stored permits of this holder that are not held any more,
// for example after a release whose write failed. Such a permit is never used again, because
// its removal may still take effect.
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

// dueForRenewal returns the held permits that are stored and due for renewal, in stored
// order, and notes the start and number of the attempt in each.
func (c *Coordinator) dueForRenewal(now time.Duration, p PermitSet) []*heldPermit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*heldPermit
	for _, q := range p.Permits {
		h := c.held[q.BackendID]
		if h == nil || h.permit.ID != q.ID || (h.confirmed && now-h.renewedAt < c.times.renewAfter()) {
			continue
		}
		h.attemptedAt = now
		h.attemptedRenewal = max(h.attemptedRenewal, q.Renewal) + 1
		due = append(due, h)
	}
	return due
}
