package permit

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/quota"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// fixture is an entry, and an owner of all limits on another node.
type fixture struct {
	*testing.T
	entry, owner *Node
	// now is the time of both nodes in nanoseconds.
	now atomic.Int64
	// intercept, unless nil, serves the messages in place of the owner.
	intercept atomic.Pointer[http.HandlerFunc]
	messages  atomic.Int64
}

const customer = "customer"

// newFixture returns a fixture in which the limit is 1 a second with a burst of 10, and the owner's
// bucket is full.
func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.messages.Add(1)
		if h := f.intercept.Load(); h != nil {
			(*h)(w, r)
			return
		}
		f.owner.Handler(http.NotFoundHandler()).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	owner := quota.Node{ID: "owner", Region: "r", Address: strings.TrimPrefix(server.URL, "http://")}
	newNode := func(self quota.Node) *Node {
		n := NewNode(Config{
			Self: self, Regions: []string{"r"}, Terms: quota.Terms{Regions: 1, Window: 5 * time.Second}, Incarnation: self.ID,
			Limit: func(name string) (organisation.Limit, bool) {
				return organisation.Limit{Rate: 1, Burst: 10}, name == customer
			},
			Now:     func() time.Duration { return time.Duration(f.now.Load()) },
			Metrics: telemetry.NewMetrics(), ObserveAge: func(time.Duration) {},
		})
		n.UpdateNodes([]quota.Node{owner})
		return n
	}
	f.entry, f.owner = newNode(quota.Node{ID: "entry", Region: "r"}), newNode(owner)
	f.now.Store(int64(time.Minute))
	return f
}

func (f *fixture) take(ctx context.Context) (quota.Permit, *quota.Refusal) {
	return f.entry.Take(ctx, organisation.Organisation{Name: customer})
}

// Guards against more permits than the bucket holds, or fewer, when concurrent requests share messages, and
// against a message for each of many concurrent requests.
func TestConcurrentRequestsShareMessages(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	release := make(chan struct{})
	var held atomic.Int64
	hold := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, _ := requestedCount(r.Header)
		held.Add(int64(count))
		<-release
		f.owner.Handler(nil).ServeHTTP(w, r)
	})
	f.intercept.Store(&hold)
	// asked returns the number of requests whose messages are held or that wait for one of them.
	asked := func() int {
		f.entry.mu.Lock()
		defer f.entry.mu.Unlock()
		waiting := 0
		for _, b := range f.entry.batches {
			waiting += len(b.waiting)
		}
		return waiting + int(held.Load())
	}
	var wg sync.WaitGroup
	var granted, refused atomic.Int64
	serials := sync.Map{}
	for range 30 {
		wg.Go(func() {
			p, refusal := f.take(t.Context())
			if refusal != nil {
				refused.Add(1)
				return
			}
			granted.Add(1)
			_, repeated := serials.LoadOrStore(p.Receipt.Serial, true)
			assert.Check(t, !repeated, "two requests got the same permit")
		})
	}
	for asked() < 30 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	wg.Wait()
	assert.Equal(t, granted.Load(), int64(10))
	assert.Equal(t, refused.Load(), int64(20))
	assert.Assert(t, f.messages.Load() <= 8, "%d messages", f.messages.Load())
	// The refusal is remembered until the next permit is due.
	sent := f.messages.Load()
	_, refusal := f.take(t.Context())
	assert.DeepEqual(t, *refusal, quota.Refusal{After: time.Second, Node: "owner", Role: quota.Primary})
	assert.Equal(t, f.messages.Load(), sent)
	f.now.Add(int64(time.Second))
	_, refusal = f.take(t.Context())
	assert.Assert(t, refusal == nil)
}

// Guards against a permit being lost that was granted to a request that had gone, or being granted twice
// after its return.
func TestPermitOfGoneRequestIsReturned(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	cancelFirst := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hop.HeaderPermit) == hop.PermitTake {
			cancel()
			<-gone
		}
		f.owner.Handler(nil).ServeHTTP(w, r)
	})
	// The bucket is not full, so the return counts.
	assert.Equal(t, f.owner.grant(customer, 0, 5).Count, 5)
	f.intercept.Store(&cancelFirst)
	_, refusal := f.take(ctx)
	assert.Assert(t, refusal.Unavailable)
	close(gone)
	for f.owner.config.Metrics.(*telemetry.Metrics).Value("permits.owner.returned") != "1" {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, f.owner.grant(customer, 0, 100).Count, 5)
}

// Guards against permits asked for in the name of requests that gave up while they waited for a message. The
// return of such a permit may be lost or not count.
func TestNoPermitIsAskedForGoneRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	release := make(chan struct{})
	var asked atomic.Int64
	hold := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, _ := requestedCount(r.Header)
		asked.Add(int64(count))
		<-release
		f.owner.Handler(nil).ServeHTTP(w, r)
	})
	f.intercept.Store(&hold)
	var wg sync.WaitGroup
	for i := range maxMessages {
		wg.Go(func() {
			_, refusal := f.take(t.Context())
			assert.Check(t, refusal == nil)
		})
		// One after the other, so that they do not share a message.
		for asked.Load() <= int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, refusal := f.take(ctx)
	assert.Assert(t, refusal != nil)
	close(release)
	wg.Wait()
	for {
		f.entry.mu.Lock()
		left := len(f.entry.batches)
		f.entry.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, asked.Load(), int64(maxMessages))
}

// Guards against a request that does not know of a hand-over getting a permit of the previous primary, which
// it would also use after the hand-over, because it shares the messages of requests that do.
func TestMessagesOfHandoverAreNotShared(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	release := make(chan struct{})
	var held atomic.Int64
	hold := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hop.HeaderPermitHandoverMS) != "" {
			held.Add(1)
			<-release
		}
		f.owner.Handler(nil).ServeHTTP(w, r)
	})
	f.intercept.Store(&hold)
	owner := quota.Node{ID: "owner", Address: f.entry.directory.Parts(customer)[0].Primary.Address}
	ask := quota.Ask{Organisation: customer, Node: owner, Role: quota.Standby}
	var wg sync.WaitGroup
	for i := range maxMessages {
		wg.Go(func() {
			aware := ask
			aware.HandoverEnd = f.entry.config.Now() + time.Second
			_, received := f.entry.askInBatch(t.Context(), aware)
			assert.Check(t, received)
		})
		// One after the other, so that they do not share a message.
		for held.Load() <= int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	reply, received := f.entry.askInBatch(ctx, ask)
	assert.Check(t, received && reply.Result == quota.Granted, "%+v", reply)
	close(release)
	wg.Wait()
}

// Guards against an owner that does not reply in time, or whose reply makes no sense, granting permits or
// holding up each request, and against requests that are never asked about again.
func TestOwnerWithoutUsableReply(t *testing.T) {
	t.Parallel()
	for name, serve := range map[string]http.HandlerFunc{
		"none":         func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"closed":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no header":    func(http.ResponseWriter, *http.Request) {},
		"other result": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(hop.HeaderPermit, "yes") },
		"other status": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(hop.HeaderPermit, "granted")
			w.WriteHeader(500)
		},
		"too many": func(w http.ResponseWriter, _ *http.Request) {
			writeReply(w.Header(), quota.Reply{Result: quota.Granted, Count: 2})
		},
		"unknown": func(w http.ResponseWriter, _ *http.Request) {
			writeReply(w.Header(), quota.Reply{Result: quota.Unknown})
		},
		"not owner": func(w http.ResponseWriter, _ *http.Request) {
			writeReply(w.Header(), quota.Reply{Result: quota.NotOwner})
		},
		"negative count": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(hop.HeaderPermit, "granted")
			w.Header().Set(hop.HeaderPermitCount, "-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.intercept.Store(&serve)
			for range 5 {
				_, refusal := f.take(t.Context())
				assert.DeepEqual(t, refusal, &quota.Refusal{Unavailable: true})
			}
			assert.Equal(t, f.messages.Load(), int64(1))
			f.intercept.Store(nil)
			f.now.Add(int64(time.Minute))
			_, refusal := f.take(t.Context())
			assert.Assert(t, refusal == nil)
		})
	}
}

// Guards against a handler that serves malformed requests for permits, or passes them to the guard, and one
// that keeps other requests from it.
func TestMalformedMessages(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	send := func(header ...string) int {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		w := httptest.NewRecorder()
		f.owner.Handler(http.NotFoundHandler()).ServeHTTP(w, r)
		return w.Code
	}
	assert.Equal(t, send(), http.StatusNotFound)
	assert.Equal(t, send(hop.HeaderPermit, "steal"), http.StatusBadRequest)
	for _, count := range []string{"0", "-1", "101", "x", "1e1"} {
		assert.Equal(t, send(hop.HeaderPermit, hop.PermitTake, hop.HeaderOrganisation, customer, hop.HeaderPermitCount, count), http.StatusBadRequest, count)
	}
	for _, receipt := range []string{"", "owner", "owner.0", "owner.-1.0", ".0.0", "owner.0.0.0"} {
		assert.Equal(t, send(hop.HeaderPermit, hop.PermitReturn, hop.HeaderOrganisation, customer, hop.HeaderPermitReceipt, receipt), http.StatusBadRequest, receipt)
	}
	assert.Equal(t, f.owner.grant(customer, 0, 100).Count, 10)
	for i := range 100 {
		r := quota.Receipt{Incarnation: fmt.Sprint("p", i), Serial: uint64(i) << 40, At: time.Duration(i) * time.Hour}
		parsed, ok := quota.ParseReceipt(r.String())
		assert.Assert(t, ok && parsed == r)
	}
}

// Guards against a malformed reply on a kept connection granting a permit.
func TestMalformedReplyGrantsNoPermit(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nX-A: z\r\n folded\r\n", "HTTP/1.1 103 x\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		f := newFixture(t)
		_, refusal := f.take(t.Context())
		assert.Assert(t, refusal == nil)
		var serve http.HandlerFunc = func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "%s%s: %s\r\nContent-Length: 0\r\n\r\n", head, hop.HeaderPermit, quota.Granted)
		}
		f.intercept.Store(&serve)
		_, refusal = f.take(t.Context())
		assert.DeepEqual(t, refusal, &quota.Refusal{Unavailable: true})
	}
}
