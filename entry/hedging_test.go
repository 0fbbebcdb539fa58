package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// Guards against a hedged attempt that goes on after the other one was answered: its backend server must
// stop the work, and its slot must be free for the next request.
func TestLoserOfHedgeFreesItsSlot(t *testing.T) {
	p := twoNodeFleet{}
	nodes := []*node{newNode(t), newNode(t)}
	for i, n := range nodes {
		n.slots = 1
		p.backends[i] = backend.New(backend.DefaultSettings, uint64(i))
		n.addBackend(t, p.backends[i].HTTPServer())
	}
	p.fleet = newFleet(t, nodes...)
	p.backends[0].Change(func(s *backend.Settings) { s.Hold = true })
	res := p.do(p.workRequest("/hedged", 1))
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, p.runs(), [2]int{1, 1})
	waitUntil(t, "the first backend server has stopped the work", func() bool {
		return p.backends[0].Stats().Running == 0 && nodes[0].guard.Running().All == 0
	})
	counts := p.entry.HedgeCounts()
	assert.Equal(t, counts["started"], int64(1))
	assert.Equal(t, counts["won"], int64(1))
	assert.Equal(t, counts["lost"], int64(1))
	assert.Assert(t, counts["lost_ms"] >= 100, "the first attempt ran for at least the delay of 100 ms, counted are %d", counts["lost_ms"])

	p.backends[0].Change(func(s *backend.Settings) { s.Hold = false })
	assert.Equal(t, p.do(p.workRequest("/hedged", 1)).outcome(), "answer")
	assert.Equal(t, p.runs(), [2]int{2, 1}, "the nearer backend server must have room again")
}

// Guards against a long answer into which the short answer of the other attempt is written, while the
// first one is relayed to the caller.
func TestShortAnswerDoesNotInterruptLongOne(t *testing.T) {
	part := strings.Repeat("x", 300<<10)
	var attempts atomic.Int32
	second, relayed := make(chan struct{}), make(chan struct{})
	url := newEntryForHandler(t, 2, 0, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(hop.StatusAcknowledged)
		if attempts.Add(1) > 1 {
			close(second)
			<-relayed
			serveAttempt(w)
			return
		}
		<-second
		w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
		io.WriteString(w, part)
		http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		close(relayed)
		time.Sleep(200 * time.Millisecond)
		io.WriteString(w, part)
	})
	res, err := client.Get(url + "/")
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(body) == part+part, "the caller got %d bytes", len(body))
}

// Guards against an answer that is mixed of those of two attempts, or that belongs to another request,
// when both attempts are answered at about the same time. The race detector reports shared state.
func TestHedgedAnswersAreNotMixed(t *testing.T) {
	p := newTwoNodeFleet(t)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 25 {
				id := fmt.Sprintf("work-%d-%d", i, j)
				content := strings.Repeat(id, 500)
				r := p.request("POST", "/eager", content)
				r.Header.Set(backend.HeaderWorkID, id)
				res := <-p.start(r)
				body := res.body
				if res.err != nil || !strings.HasPrefix(body, "POST "+id+" done") || !strings.HasSuffix(body, "\n"+content) {
					t.Errorf("request %s got a reply of %d bytes: %.80q, %v", id, len(body), body, res.err)
				}
			}
		})
	}
	group.Wait()
	counts := p.entry.HedgeCounts()
	assert.Assert(t, counts["started"] >= 10 && counts["won"] > 0 && counts["lost"] > 0, "%v", counts)
}

// Guards against a setting that changes hedging where none is given, against hedging with a share of 0,
// and against second attempts that guards do not know as such.
func TestSettingDecidesAboutSecondAttempts(t *testing.T) {
	none, all := 0.0, 1.0
	for _, c := range []struct {
		share *float64
		want  hop.Repeat
	}{{nil, hop.RepeatLimited}, {&none, ""}, {&all, hop.RepeatHedge}} {
		var attempts atomic.Int32
		var second atomic.Value
		handler := func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(hop.StatusAcknowledged)
			if attempts.Add(1) == 1 {
				time.Sleep(1300 * time.Millisecond)
			} else {
				second.Store(hop.Repeat(r.Header.Get(hop.HeaderRepeat)))
			}
			serveAttempt(w)
		}
		url := newEntryWithHedging(t, []scriptedGuard{{"", handler}, {"", handler}}, 0, settings.Hedging{Share: c.share, Quantile: 0.95})
		res, err := client.Get(url + "/")
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK)
		got, _ := second.Load().(hop.Repeat)
		assert.Equal(t, got, c.want)
	}
}

// Guards against second attempts of work that must not repeat.
func TestNoHedgeOfWorkThatMustNotRepeat(t *testing.T) {
	p := newTwoNodeFleet(t)
	// The first request only gets a reading of the guard's clock.
	for range 2 {
		assert.Equal(t, p.do(p.workRequest("/once", 100)).outcome(), "answer")
	}
	assert.Equal(t, p.entry.HedgeCounts()["started"], int64(0))
	assert.Equal(t, p.runs()[0]+p.runs()[1], 2)
}

// Guards against the broken answer of one of two parallel attempts being delivered, or keeping the caller
// from the whole answer of the other one.
func TestBrokenAnswerOfHedgeIsNotDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + hop.HeaderOutcome + ": answer\r\n"
	for _, broken := range []string{
		head + "X Y: z\r\nContent-Length: 4\r\n\r\nbody",
		head + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + "Content-Length: 5\r\n\r\nbody",
		"HTTP/1.1 000 x\r\n" + hop.HeaderOutcome + ": answer\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for _, brokenAttempt := range []int32{1, 2} {
			var attempts atomic.Int32
			second := make(chan struct{})
			url := newEntryForHandler(t, 2, 0, func(w http.ResponseWriter, _ *http.Request) {
				attempt := attempts.Add(1)
				w.WriteHeader(hop.StatusAcknowledged)
				if attempt == 2 {
					close(second)
				}
				<-second
				if attempt != brokenAttempt {
					time.Sleep(100 * time.Millisecond)
					serveAttempt(w)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				io.WriteString(conn, broken)
			})
			res, err := client.Get(url + "/")
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			res.Body.Close()
			assert.NilError(t, err)
			assert.Check(t, res.StatusCode == http.StatusOK && string(body) == "served", "attempt %d broken with %q: %d %q", brokenAttempt, broken, res.StatusCode, body)
			assert.Check(t, attempts.Load() == 2, "%d attempts", attempts.Load())
		}
	}
}
