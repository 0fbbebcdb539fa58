// Package register runs the owners of shards of idempotency keys on a node, and
// calls the owners on other nodes.
package register

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/idempotency"
	"github.com/jackdawlane/jackdawlane/settings"
)

const (
	// maxKeys bounds the keys of a shard and so its memory. The memory for each key is
	// measured in docs/measurements/keys.md.
	maxKeys = 1 << 20
	// maxWaitingRequests is the number of waiting requests of a shard from which on
	// claims and settlements are refused; lookups are still queued. It is the number of
	// records in two segments.
	maxWaitingRequests = 8000
)

// Config configures a Register.
type Config struct {
	Store Store
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	Keys         settings.Keys
	// Incarnation differs after each restart of the node.
	Incarnation uint64
	Logger      *log.Logger
}

// Register owns shards of idempotency keys. It becomes an owner of a shard on the
// first request for one of its keys and stays one until the requests cease. It
// implements control.Keys.
type Register struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	workers map[int]*worker
}

// New returns a register that owns no shard yet.
func New(c Config) *Register {
	ctx, cancel := context.WithCancel(context.Background())
	return &Register{config: c, ctx: ctx, cancel: cancel, workers: make(map[int]*worker)}
}

// Close stops the workers of all shards.
func (g *Register) Close() { g.cancel() }

// Keys returns the number of keys in memory.
func (g *Register) Keys() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, w := range g.workers {
		w.mu.Lock()
		n += w.owner.Keys()
		w.mu.Unlock()
	}
	return n
}

// withWorker calls f with the worker of a shard, which it starts if there is none.
// The worker is not released during the call.
func (g *Register) withWorker(shard int, f func(*worker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.workers[shard]
	if !ok {
		w = g.newWorker(shard)
		g.workers[shard] = w
		go w.run(g.ctx, func() bool { return g.release(shard, w) })
	}
	f(w)
}

// newWorker returns a worker that has not read the log of its shard yet.
func (g *Register) newWorker(shard int) *worker {
	c := g.config
	owner := idempotency.NewOwner(c.Incarnation, idempotency.ClaimRetention(c.Keys.Retention), c.Keys.BatchInterval)
	return newWorker(newShardLog(c.Store, shard, c.StoreTimeout), owner, c.Logger)
}

// release removes a worker that has received no request for the retention time of a
// claim. It reports whether it removed the worker.
func (g *Register) release(shard int, w *worker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.idle() < idempotency.ClaimRetention(g.config.Keys.Retention) {
		return false
	}
	delete(g.workers, shard)
	return true
}

// ClaimKey serves the control call of the same name.
func (g *Register) ClaimKey(ctx context.Context, r *pb.ClaimKeyRequest) (*pb.ClaimKeyResponse, error) {
	k, err := idempotency.ParseKey(r.GetKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if r.GetLookOnly() {
		d := g.decide(ctx, &idempotency.Request{Key: k}, (*idempotency.Owner).Lookup)
		return claimResponse(d, pb.KeyClaim_KEY_CLAIM_FREE), nil
	}
	id := r.GetAttempt().GetAttemptId()
	if id == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, idempotency.ErrMalformed)
	}
	var holder *idempotency.Holder
	full := false
	g.withWorker(k.Shard(), func(w *worker) {
		holder = w.holder(k)
		full = w.full()
	})
	if other := holder.AttemptID(); other != "" && other != id && other != r.GetReplaces() {
		// This holder may be out of date, which does no harm: the caller can resolve
		// any attempt that once held the key, even if another one holds it by now. If
		// that attempt did not run, the caller claims the key again with this attempt
		// in the field replaces, and decide queues that claim for a decision on the
		// current holder.
		return claimResponse(decision{holder: holder, decided: true}, pb.KeyClaim_KEY_CLAIM_FIRST), nil
	}
	if full {
		return claimResponse(decision{}, pb.KeyClaim_KEY_CLAIM_FIRST), nil
	}
	d := g.decide(ctx, &idempotency.Request{
		Key:               k,
		Fingerprint:       r.GetFingerprint(),
		Attempt:           r.GetAttempt(),
		ReplacedAttemptID: r.GetReplaces(),
	}, (*idempotency.Owner).Add)
	return claimResponse(d, pb.KeyClaim_KEY_CLAIM_FIRST), nil
}

// decide queues a request with add, which is a method of idempotency.Owner. It waits
// for the decision or the end of ctx.
func (g *Register) decide(ctx context.Context, r *idempotency.Request, add func(*idempotency.Owner, *idempotency.Request)) decision {
	var decided <-chan decision
	g.withWorker(r.Key.Shard(), func(w *worker) { decided = w.add(r, add) })
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
		return decision{}
	}
}

// claimResponse returns the response for a decision. The parameter ifUnheld is the claim
// to return when no other attempt holds the key.
func claimResponse(d decision, ifUnheld pb.KeyClaim) *pb.ClaimKeyResponse {
	switch {
	case !d.decided:
		return &pb.ClaimKeyResponse{Claim: pb.KeyClaim_KEY_CLAIM_UNAVAILABLE}
	case d.holder == nil:
		return &pb.ClaimKeyResponse{Claim: ifUnheld}
	}
	return &pb.ClaimKeyResponse{
		Claim:       pb.KeyClaim_KEY_CLAIM_SEEN,
		Holder:      d.holder.Attempt(),
		Fingerprint: d.holder.Fingerprint,
		Ran:         d.holder.Ran,
	}
}

// SettleKey serves the control call of the same name. It does not wait for the
// store. When a settlement is lost, the next claimant of the key resolves the
// attempt at its guard instead.
func (g *Register) SettleKey(_ context.Context, r *pb.SettleKeyRequest) (*pb.SettleKeyResponse, error) {
	k, err := idempotency.ParseKey(r.GetKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	settlement := &idempotency.Request{Key: k, SettledAttemptID: r.GetAttemptId(), Ran: r.GetRan()}
	g.withWorker(k.Shard(), func(w *worker) {
		if !w.full() {
			w.add(settlement, (*idempotency.Owner).Add)
		}
	})
	return &pb.SettleKeyResponse{}, nil
}
