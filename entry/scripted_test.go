package entry_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/entry"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
)

// suspicion is how long the guards of the test refuse work as suspect.
const suspicion = 300 * time.Millisecond

// acceptTimeout is the time in which the guards of the test acknowledge an attempt.
const acceptTimeout = 200 * time.Millisecond

// scripted is a guard of a data centre whose replies a handler writes.
type scripted struct {
	dataCentre string
	handler    http.HandlerFunc
}

// home is the data centre of the entry.
const home = "home"

// newScripted serves one idempotent route before guards whose replies h writes.
func newScripted(t *testing.T, guards, repeats int, h http.HandlerFunc) (url string) {
	return newPlaced(t, slices.Repeat([]scripted{{"", h}}, guards), repeats)
}

// newPlaced serves one idempotent route before guards.
func newPlaced(t *testing.T, guards []scripted, repeats int) (url string) {
	var backends []membership.Backend
	for _, g := range guards {
		n := newNode(t)
		n.hop.set(attemptsOnly(g.handler))
		n.self.DataCentre = g.dataCentre
		backends = append(backends, membership.Backend{
			ID: n.self.NodeID, Service: "service", Guard: n.self, Slots: 4, State: membership.StateReady,
		})
	}
	snapshot := config.NewSnapshot(1,
		[]route.Route{{Name: "read", PathPrefix: "/", Pool: "pool", Idempotent: true, TimeoutMS: 3000, TargetLatencyMS: 2000, MaxAttempts: 2}},
		[]pool.Pool{{Name: "pool", Service: "service"}}, nil)
	view := membership.NewView(backends)
	e := entry.New(entry.Config{
		Region:             "region",
		DataCentre:         home,
		Snapshot:           func() *config.Snapshot { return snapshot },
		View:               func() *membership.View { return view },
		Resolver:           entry.NewControlResolver(&http.Client{}),
		GuardsLimitRetries: true,
		Running:            func() (int, int) { return repeats, repeats },
		BufferAnswers:      true,
		WaitForCapacity:    true,
		StrictDeadline:     true,
		AcknowledgeTimeout: acceptTimeout,
		Limits:             settings.Limits{MaxHeaderBytes: 8 << 10, BodyStallTimeout: time.Second, CrossRegionBytesPerSecond: 1 << 20},
		Protocol:           open{},
	})
	l := listen(t)
	serve(t, e.Server(), l)
	return "http://" + l.Addr().String()
}

// attemptsOnly keeps requests from a handler that entries did not send. Programs of tests
// that run at the same time may poll an address that a server of theirs had before.
func attemptsOnly(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hop.HeaderAttempt) == "" {
			http.NotFound(w, r)
			return
		}
		next(w, r)
	})
}

// open lets every caller in, with bodies of up to maxOpenBody and headers of up to maxOpenHeader.
type open struct{ entry.Native }

const (
	maxOpenBody   = 100
	maxOpenHeader = 1000
)

func (open) ParseRequest(*http.Request, *config.Snapshot) (entry.RequestInfo, *entry.ErrorReply) {
	return entry.RequestInfo{HeaderBytes: maxOpenHeader, BodyBytes: maxOpenBody}, nil
}

// failAttempt replies as a guard whose backend server failed the work.
func failAttempt(w http.ResponseWriter) {
	w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
	w.Header().Set(hop.HeaderHealth, hop.HealthSuspect)
	w.WriteHeader(http.StatusInternalServerError)
}

// serveAttempt replies as a guard whose backend server served the work.
func serveAttempt(w http.ResponseWriter) {
	w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
	io.WriteString(w, "served")
}

// refuseSuspect replies as a guard that steers work away from its backend server.
func refuseSuspect(w http.ResponseWriter) {
	w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeNotRun))
	w.Header().Set(hop.HeaderReason, string(hop.ReasonSuspect))
	w.Header().Set(hop.HeaderHealth, hop.HealthSuspect)
	w.Header().Set(hop.HeaderFailing, "900")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a caller that gets the failure of a re-test although the request may be
// repeated and has most of its time left, because all other backend servers of a round
// were suspected.
func TestFailedReadWaitsForBackendServer(t *testing.T) {
	var dispatched atomic.Int32
	started := time.Now()
	url := newScripted(t, 8, 0, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(hop.StatusAcknowledged)
		switch {
		case dispatched.CompareAndSwap(0, 1):
			failAttempt(w)
		case time.Since(started) < suspicion:
			refuseSuspect(w)
		default:
			dispatched.Add(1)
			serveAttempt(w)
		}
	})
	res, err := client.Get(url + "/")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, dispatched.Load(), int32(2))
}

// Guards against attempts that count against the wrong part of the budget of repeats, or
// against none.
func TestAttemptsStateHowTheyCount(t *testing.T) {
	for _, c := range []struct {
		desc    string
		repeats int
		granted bool
		want    [2]hop.Repeat
	}{
		{"repeat of its own", 0, false, [2]hop.Repeat{hop.RepeatNone, hop.RepeatLimited}},
		{"granted repeat", 0, true, [2]hop.Repeat{hop.RepeatNone, hop.RepeatGranted}},
		{"call of a repeated run", 1, false, [2]hop.Repeat{hop.RepeatCall, hop.RepeatLimited}},
	} {
		got := make(chan hop.Repeat, 2)
		url := newScripted(t, 2, c.repeats, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(hop.StatusAcknowledged)
			repeat := hop.Repeat(r.Header.Get(hop.HeaderRepeat))
			got <- repeat
			if repeat == hop.RepeatLimited || repeat == hop.RepeatGranted {
				serveAttempt(w)
				return
			}
			if c.granted {
				w.Header().Set(hop.HeaderGrant, "true")
			}
			failAttempt(w)
		})
		res, err := client.Get(url + "/")
		assert.NilError(t, err, c.desc)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK, c.desc)
		assert.Equal(t, res.Header.Get(hop.HeaderGrant), "", c.desc)
		assert.Equal(t, [2]hop.Repeat{<-got, <-got}, c.want, c.desc)
	}
}

// Guards against requests above the operator's limits that reach a backend server, or
// that are refused without saying that they did not run.
func TestOperatorsLimits(t *testing.T) {
	var attempts atomic.Int32
	url := newScripted(t, 1, 0, func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		w.WriteHeader(hop.StatusAcknowledged)
		serveAttempt(w)
	})
	for _, c := range []struct {
		desc    string
		body    io.Reader
		header  string
		status  int
		arrives int32
	}{
		{"within", strings.NewReader(strings.Repeat("x", maxOpenBody)), "", http.StatusOK, 1},
		{"body", strings.NewReader(strings.Repeat("x", maxOpenBody+1)), "", http.StatusRequestEntityTooLarge, 0},
		{"body in chunks", io.MultiReader(strings.NewReader(strings.Repeat("x", maxOpenBody+1))), "", http.StatusRequestEntityTooLarge, 0},
		{"headers", http.NoBody, strings.Repeat("x", maxOpenHeader), http.StatusRequestHeaderFieldsTooLarge, 0},
	} {
		attempts.Store(0)
		req, err := http.NewRequest("PUT", url+"/", c.body)
		assert.NilError(t, err, c.desc)
		req.Header.Set("X-Padding", c.header)
		res, err := client.Do(req)
		assert.NilError(t, err, c.desc)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, c.status, c.desc)
		assert.Equal(t, attempts.Load(), c.arrives, c.desc)
	}
}

// Guards against idempotent work that uses up its attempts at guards that have all gone
// silent, as many do at once when VMs stand still, while the entry knows one that replies.
func TestUnansweredWorkGoesToGuardThatReplies(t *testing.T) {
	var alive atomic.Value
	url := newScripted(t, 12, 0, func(w http.ResponseWriter, r *http.Request) {
		// The first guard that gets work is the only one that replies.
		self := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		alive.CompareAndSwap(nil, self)
		if alive.Load() != self {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(hop.StatusAcknowledged)
		w.Header().Set(hop.HeaderLoad, "0/4;wait-ms=0")
		serveAttempt(w)
	})
	for i := range 4 {
		res, err := client.Get(url + "/")
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK, "request %d", i)
	}
}

// Guards against requests that are refused because every round asks the same guards of the
// data centre, whose backend servers are all gone, while another data centre has one.
func TestBackendServersGoneInOneDataCentre(t *testing.T) {
	var asked atomic.Int32
	gone := scripted{home, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeNotRun))
		w.Header().Set(hop.HeaderReason, string(hop.ReasonNoBackend))
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	serving := scripted{"other", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(hop.StatusAcknowledged)
		serveAttempt(w)
	}}
	const size = 8
	url := newPlaced(t, append(slices.Repeat([]scripted{gone}, size), serving), 0)
	for i := range 10 {
		res, err := client.Get(url + "/")
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK, "request %d", i)
	}
	assert.Equal(t, asked.Load(), int32(size), "each guard is asked once within the second")
}
