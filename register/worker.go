package register

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/idempotency"
)

// storeRetry is the pause after a failed call to the store. Two owners of each
// shard then make at most 128 calls/s to a store that is out.
const storeRetry = 500 * time.Millisecond

// decision is what a waiting caller gets.
type decision struct {
	holder  *idempotency.Holder
	decided bool
}

// worker runs the owner of one shard.
type worker struct {
	log    shardLog
	logger *log.Logger
	start  time.Time
	random *rand.Rand
	wake   chan struct{}
	// failing is set while calls to the store fail, so that this is logged once.
	failing bool

	mu      sync.Mutex
	owner   *idempotency.Owner
	waiting map[*idempotency.Request]chan decision
	used    time.Time
}

func newWorker(l shardLog, o *idempotency.Owner, logger *log.Logger) *worker {
	return &worker{
		log:     l,
		logger:  logger,
		start:   time.Now(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:    make(chan struct{}, 1),
		owner:   o,
		waiting: make(map[*idempotency.Request]chan decision),
		used:    time.Now(),
	}
}

// add queues a request, by add of the owner, and returns where its decision comes.
func (w *worker) add(r *idempotency.Request, add func(*idempotency.Owner, *idempotency.Request)) <-chan decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used = time.Now()
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

// full reports whether the shard takes no more claims.
func (w *worker) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) >= maxWaiting || w.owner.Keys() >= maxKeys
}

func (w *worker) idle() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.used)
}

// run works until ctx ends or done reports true.
func (w *worker) run(ctx context.Context, done func() bool) {
	for ctx.Err() == nil {
		op, wait, ok := w.next()
		if ok {
			w.call(ctx, op)
			continue
		}
		if done() {
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
	op, answers, ok := w.owner.Next(now, w.random)
	w.deliver(answers)
	return op, w.owner.Wait(now), ok
}

func (w *worker) call(ctx context.Context, op idempotency.Op) {
	r, err := w.log.call(ctx, op)
	w.mu.Lock()
	w.deliver(w.owner.HandleResult(op, r, time.Since(w.start)))
	if err != nil {
		w.refuse(w.owner.Drain())
	}
	w.mu.Unlock()
	if err == nil {
		w.failing = false
		return
	}
	if !w.failing {
		w.logger.Warn("call to the store failed; claims are refused", "log", w.log.prefix, "err", err)
	}
	w.failing = true
	select {
	case <-time.After(storeRetry):
	case <-ctx.Done():
	}
}

func (w *worker) deliver(answers []idempotency.Decision) {
	for _, a := range answers {
		w.send(a.Request, decision{holder: a.Holder, decided: true})
	}
}

func (w *worker) refuse(requests []*idempotency.Request) {
	for _, r := range requests {
		w.send(r, decision{})
	}
}

func (w *worker) send(r *idempotency.Request, d decision) {
	w.waiting[r] <- d
	delete(w.waiting, r)
}
