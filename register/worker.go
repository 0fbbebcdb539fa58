package register

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/idempotency"
)

// storeRetry is the pause after a failed call to the store. With it, two owners of
// each shard make at most 128 calls/s to a store that is down.
const storeRetry = 500 * time.Millisecond

// decision is what a worker sends to the caller that waits for a request.
type decision struct {
	// holder is the attempt that holds the key, nil when no other attempt holds it.
	holder *idempotency.Holder
	// decided is false when the request was dropped without a decision.
	decided bool
}

// worker runs the owner of one shard: it makes the calls to the store that the owner
// asks for, and delivers the decisions.
type worker struct {
	shardLog shardLog
	logger   *log.Logger
	start    time.Time
	random   *rand.Rand
	wake     chan struct{}
	// storeFailing is set while calls to the store fail, so that only the first failure
	// in a row is logged.
	storeFailing bool

	mu      sync.Mutex
	owner   *idempotency.Owner
	waiting map[*idempotency.Request]chan decision
	// lastUsed is the time of the last request.
	lastUsed time.Time
}

func newWorker(l shardLog, o *idempotency.Owner, logger *log.Logger) *worker {
	return &worker{
		shardLog: l,
		logger:   logger,
		start:    time.Now(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:     make(chan struct{}, 1),
		owner:    o,
		waiting:  make(map[*idempotency.Request]chan decision),
		lastUsed: time.Now(),
	}
}

// add queues a request with the parameter add, which is a method of
// idempotency.Owner. It returns the channel on which the decision is sent.
func (w *worker) add(r *idempotency.Request, add func(*idempotency.Owner, *idempotency.Request)) <-chan decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUsed = time.Now()
	decided := make(chan decision, 1)
	w.waiting[r] = decided
	add(w.owner, r)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return decided
}

func (w *worker) holder(k idempotency.Key) *idempotency.Holder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner.Holder(k)
}

// full reports whether the shard accepts no more claims and settlements.
func (w *worker) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) >= maxWaitingRequests || w.owner.Keys() >= maxKeys
}

// idle returns the time since the last request.
func (w *worker) idle() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastUsed)
}

// run makes the calls of the owner until ctx ends. It also stops when no call is due
// and release returns true.
func (w *worker) run(ctx context.Context, release func() bool) {
	for ctx.Err() == nil {
		op, wait, ok := w.next()
		if ok {
			w.call(ctx, op)
			continue
		}
		if release() {
			return
		}
		select {
		case <-w.wake:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (w *worker) next() (idempotency.Op, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Since(w.start)
	op, decisions, ok := w.owner.Next(now, w.random)
	w.deliver(decisions)
	return op, w.owner.Wait(now), ok
}

func (w *worker) call(ctx context.Context, op idempotency.Op) {
	r, err := w.shardLog.call(ctx, op)
	w.mu.Lock()
	w.deliver(w.owner.HandleResult(op, r, time.Since(w.start)))
	if err != nil {
		w.refuse(w.owner.Drain())
	}
	w.mu.Unlock()
	if err == nil {
		w.storeFailing = false
		return
	}
	if !w.storeFailing {
		w.logger.Warn("call to the store failed; claims are refused", "log", w.shardLog.prefix, "err", err)
	}
	w.storeFailing = true
	select {
	case <-time.After(storeRetry):
	case <-ctx.Done():
	}
}

func (w *worker) deliver(decisions []idempotency.Decision) {
	for _, d := range decisions {
		w.send(d.Request, decision{holder: d.Holder, decided: true})
	}
}

// refuse tells the callers of requests that there is no decision.
func (w *worker) refuse(requests []*idempotency.Request) {
	for _, r := range requests {
		w.send(r, decision{})
	}
}

func (w *worker) send(r *idempotency.Request, d decision) {
	w.waiting[r] <- d
	delete(w.waiting, r)
}
