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

// twoNodeFleet is a fleet of two nodes with one stand-in backend server each. The first node
// is in the entry's data centre, so work goes there first.
type twoNodeFleet struct {
	*fleet
	backends [2]*backend.Server
}

func newTwoNodeFleet(t *testing.T) twoNodeFleet {
	p := twoNodeFleet{}
	nodes := []*node{newNode(t), newNode(t)}
	for i, n := range nodes {
		p.backends[i] = backend.New(backend.DefaultSettings, uint64(i))
		n.addBackend(t, p.backends[i].HTTPServer())
	}
	p.fleet = newFleet(t, nodes...)
	return p
}

func (p twoNodeFleet) runs() [2]int {
	return [2]int{p.backends[0].Runs()[workID], p.backends[1].Runs()[workID]}
}

// workRequest returns a request for work that takes ms milliseconds.
func (p twoNodeFleet) workRequest(path string, ms int) *http.Request {
	r := p.request("POST", path, "content")
	r.Header.Set(backend.HeaderWorkID, workID)
	r.Header.Set(backend.HeaderServiceMS, fmt.Sprint(ms))
	return r
}

func (p twoNodeFleet) waitUntilRunning() {
	waitUntil(p.t, "work runs", func() bool { return p.backends[0].Stats().Running == 1 })
}

// Guards against running work twice, or losing its answer, when the connection between entry
// and guard is reset while the work runs.
func TestAnswerIsFetchedAfterReset(t *testing.T) {
	p := newTwoNodeFleet(t)
	done := p.start(p.workRequest("/jobs", 100))
	p.waitUntilRunning()
	p.nodes[0].link.Reset()
	res := <-done
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, res.body, "POST work done 7\ncontent")
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against reporting an unknown outcome when the network silently drops the guard's
// replies: the entry must fetch the answer through the control address.
func TestAnswerIsFetchedAfterCut(t *testing.T) {
	p := newTwoNodeFleet(t)
	done := p.start(p.workRequest("/jobs", 50))
	p.waitUntilRunning()
	p.nodes[0].link.Set(link.Faults{ToClient: link.Direction{Cut: true}})
	res := <-done
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against giving up, or running work twice, when the network drops an attempt before
// its guard sees it. The entry must try another backend server.
func TestUndeliveredAttemptIsRetriedOnOtherBackendServer(t *testing.T) {
	p := newTwoNodeFleet(t)
	p.nodes[0].link.Set(link.Faults{ToTarget: link.Direction{Cut: true}})
	done := p.start(p.workRequest("/jobs", 1))
	waitUntil(t, "first attempt is made", func() bool { return p.viewReads.Load() > 0 })
	var res response
	waitUntil(t, "caller has its reply", func() bool {
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

// Guards against reporting not-run, or sending work again, when the guard restarts while the
// work runs and thereby loses its records of attempts.
func TestGuardRestartIsUnknown(t *testing.T) {
	p := newTwoNodeFleet(t)
	// These requests earn retry budget, so that only the route, which is not idempotent,
	// prevents a retry.
	for range 20 {
		assert.Equal(t, p.do(p.request("POST", "/jobs", "")).outcome(), "answer")
	}
	done := p.start(p.workRequest("/jobs", 100))
	p.waitUntilRunning()
	p.nodes[0].start(nil)
	p.nodes[0].link.Reset()
	res := <-done
	assert.Equal(t, res.outcome(), "unknown")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Equal(t, res.reason(), hop.ReasonAnswerLost)
	assert.Equal(t, p.runs(), [2]int{1, 0})
}

// Guards against failing idempotent work although the retry budget allows a retry, and against
// retries beyond the budget. The first backend server closes every connection.
func TestIdempotentWorkIsRetriedWithinBudget(t *testing.T) {
	p := newTwoNodeFleet(t)
	p.backends[0].Change(func(s *backend.Settings) { s.CloseShare = 1 })
	outcomes := map[string]int{}
	for range 30 {
		outcomes[p.do(p.workRequest("/read", 1)).outcome()]++
	}
	assert.DeepEqual(t, outcomes, map[string]int{"answer": 3, "unknown": 27})
}

// Guards against delivering a reply that the backend server cut short as if it were complete.
// The caller must see a broken reply, or the outcome unknown if nothing was sent to it yet.
func TestTruncatedReplyIsNotDeliveredAsComplete(t *testing.T) {
	// Without earlier traffic the retry budget allows one retry, so idempotent work (/read) runs
	// once on each backend server. Other work (/jobs) runs only once.
	for path, runs := range map[string][2]int{"/jobs": {1, 0}, "/read": {1, 1}} {
		p := newTwoNodeFleet(t)
		for _, b := range p.backends {
			b.Change(func(s *backend.Settings) { s.CutShare = 1 })
		}
		res := p.do(p.workRequest(path, 1))
		assert.Assert(t, res.err != nil || res.outcome() == "unknown", res.body)
		assert.Equal(t, p.runs(), runs)
	}
}

// Guards against ending a chunked reply normally after the backend server aborted it, which
// the caller could not tell from a complete reply.
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
		assert.Assert(t, res.err != nil)
	}
}

// Guards against a broken reply to the caller when the connection to the guard is reset in the
// middle of an answer: the guard retains the whole answer, so the entry must deliver the rest.
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

// Guards against continuing work after its caller has disconnected.
func TestCallerGoneCancelsWork(t *testing.T) {
	for _, path := range []string{"/long/jobs", "/long/read"} {
		p := newTwoNodeFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		done := p.start(p.workRequest(path, int(time.Hour.Milliseconds())).WithContext(ctx))
		p.waitUntilRunning()
		cancel()
		assert.Assert(t, (<-done).err != nil)
		waitUntil(t, "work is cancelled", func() bool { return p.backends[0].Stats().Cancelled == 1 })
		assert.Equal(t, p.runs(), [2]int{1, 0})
	}
}
