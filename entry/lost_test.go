package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/standin/backend"
	"github.com/jackdawlane/jackdawlane/standin/link"
)

const workID = "work"

// pair is a fleet of two nodes with one stand-in each; work goes to the first.
type pair struct {
	*fleet
	backends [2]*backend.Server
}

func newPair(t *testing.T) pair {
	p := pair{}
	nodes := []*node{newNode(t), newNode(t)}
	for i, n := range nodes {
		p.backends[i] = backend.New(backend.DefaultSettings, uint64(i))
		n.addBackend(t, p.backends[i].HTTPServer())
	}
	p.fleet = newFleet(t, nodes...)
	return p
}

func (p pair) runs() [2]int {
	return [2]int{p.backends[0].Runs()[workID], p.backends[1].Runs()[workID]}
}

// work returns a request whose work takes some milliseconds.
func (p pair) work(path string, ms int) *http.Request {
	r := p.request("POST", path, "content")
	r.Header.Set(backend.HeaderWorkID, workID)
	r.Header.Set(backend.HeaderServiceMS, fmt.Sprint(ms))
	return r
}

func (p pair) untilRunning() {
	until(p.t, "work runs", func() bool { return p.backends[0].Stats().Running == 1 })
}

// Guards against a second run, or a lost answer, when the connection to the guard breaks.
func TestAnswerIsFetchedAfterReset(t *testing.T) {
	p := newPair(t)
	done := p.start(p.work("/jobs", 100))
	p.untilRunning()
	p.nodes[0].link.Reset()
	res := <-done
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, res.body, "POST work done 7\ncontent")
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against an unknown outcome when replies of the guard are silently dropped.
func TestAnswerIsFetchedAfterCut(t *testing.T) {
	p := newPair(t)
	done := p.start(p.work("/jobs", 50))
	p.untilRunning()
	p.nodes[0].link.Set(link.Faults{ToClient: link.Direction{Cut: true}})
	res := <-done
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against giving up, or running twice, when the guard never saw the attempt.
func TestUndispatchedWorkGoesElsewhere(t *testing.T) {
	p := newPair(t)
	p.nodes[0].link.Set(link.Faults{ToTarget: link.Direction{Cut: true}})
	done := p.start(p.work("/jobs", 1))
	until(t, "first attempt", func() bool { return p.views.Load() > 0 })
	var res response
	until(t, "reply", func() bool {
		p.nodes[0].link.Reset()
		select {
		case res = <-done:
			return true
		default:
			return false
		}
	})
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, p.runs(), [2]int{0, 1})
}

// Guards against "not run", or a retry, after the guard that took the work lost its records.
func TestGuardRestartIsUnknown(t *testing.T) {
	p := newPair(t)
	// Fills the retry budget, which must not be used for this work.
	for range 20 {
		assert.Equal(t, p.do(p.request("POST", "/jobs", "")).outcome(), "answer")
	}
	done := p.start(p.work("/jobs", 100))
	p.untilRunning()
	p.nodes[0].start(nil)
	p.nodes[0].link.Reset()
	res := <-done
	assert.Equal(t, res.outcome(), "unknown")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Equal(t, res.reason(), hop.ReasonAnswerLost)
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against idempotent work that fails although the budget allows a retry,
// and against retries beyond the budget.
func TestIdempotentWorkIsRetriedWithinBudget(t *testing.T) {
	p := newPair(t)
	p.backends[0].Change(func(s *backend.Settings) { s.CloseShare = 1 })
	outcomes := map[string]int{}
	for range 30 {
		outcomes[p.do(p.work("/read", 1)).outcome()]++
	}
	assert.DeepEqual(t, outcomes, map[string]int{"answer": 3, "unknown": 27})
}

// Guards against a cut reply that reaches the caller as a shorter complete one.
// The caller sees a broken reply, or unknown when nothing had been sent to it yet.
func TestCutReplyIsNoAnswer(t *testing.T) {
	// The budget allows one retry of work that may repeat.
	for path, runs := range map[string][2]int{"/jobs": {1, 0}, "/read": {1, 1}} {
		p := newPair(t)
		for _, b := range p.backends {
			b.Change(func(s *backend.Settings) { s.CutShare = 1 })
		}
		res := p.do(p.work(path, 1))
		assert.Assert(t, res.broken != nil || res.outcome() == "unknown", res.body)
		assert.Equal(t, p.runs(), runs)
	}
}

// Guards against a chunked reply whose cut looks like its end.
func TestCutChunkedReplyIsBroken(t *testing.T) {
	n := newNode(t)
	n.addBackend(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})})
	f := newFleet(t, n)
	for _, path := range []string{"/jobs", "/read"} {
		res := f.do(f.request("GET", path, ""))
		assert.Equal(t, res.body, "part")
		assert.Assert(t, res.broken != nil)
	}
}

// Guards against a broken reply of work whose whole answer the guard retained.
func TestBrokenReplyIsContinued(t *testing.T) {
	const half = 100_000
	text := strings.Repeat("a", half) + strings.Repeat("b", half)
	for _, length := range []string{fmt.Sprint(len(text)), ""} {
		proceed := make(chan struct{})
		n := newNode(t)
		n.addBackend(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			} else {
				w.Header().Set("Trailer", "X-Sum")
			}
			io.WriteString(w, text[:half])
			http.NewResponseController(w).Flush()
			<-proceed
			io.WriteString(w, text[half:])
			w.Header().Set("X-Sum", "sum")
		})})
		f := newFleet(t, n)
		res, err := client.Do(f.request("POST", "/jobs", ""))
		assert.NilError(t, err)
		_, err = io.ReadFull(res.Body, make([]byte, 1000))
		assert.NilError(t, err)
		n.link.Reset()
		close(proceed)
		rest, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), text[1000:])
		if length == "" {
			assert.Equal(t, res.Trailer.Get("X-Sum"), "sum")
		}
		res.Body.Close()
	}
}

// Guards against work that goes on after its caller has gone.
func TestCallerGoneCancelsWork(t *testing.T) {
	for _, path := range []string{"/long/jobs", "/long/read"} {
		p := newPair(t)
		ctx, cancel := context.WithCancel(context.Background())
		done := p.start(p.work(path, int(time.Hour.Milliseconds())).WithContext(ctx))
		p.untilRunning()
		cancel()
		assert.Assert(t, (<-done).broken != nil)
		until(t, "work is cancelled", func() bool { return p.backends[0].Stats().Cancelled == 1 })
		assert.Equal(t, p.runs(), [2]int{1, 0})
	}
}
