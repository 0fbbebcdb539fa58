package scenarios

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// broken is the outcome of a request whose reply was incomplete or never came.
const broken = "broken"

// request is one request of a scenario and its result.
type request struct {
	id         string
	entry      string
	method     string
	path       string
	options    map[string]string
	done       chan struct{}
	outcome    string
	reason     string
	answerText string
	// shed is set when the backend server answered that it sheds the work.
	shed bool
	err  error
}

func (q *request) idempotent() bool { return strings.HasPrefix(q.path, "/slot") }

var callerClient = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: 256,
	DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
}}

// workID returns the ID of the work that the request asks for. Requests that repeat the
// same work state it in the option work; otherwise it is the ID of the request.
func (q *request) workID() string { return cmp.Or(q.options["work"], q.id) }

// body returns a request body that differs from the bodies of all other work.
func (q *request) body() string {
	size, _ := strconv.Atoi(q.options["size"])
	return strings.Repeat(q.workID()+" ", max(1, size/(len(q.workID())+1)))
}

func (q *request) run() {
	defer close(q.done)
	timeout, err := time.ParseDuration(q.options["give-up"])
	if err != nil {
		timeout = conditionTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q.outcome = broken
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.entry+q.path, strings.NewReader(q.body()))
	if err != nil {
		q.err = err
		return
	}
	r.GetBody = nil
	organisationName := "kitami"
	if name := q.options["organisation"]; name != "" {
		organisationName = name
	}
	authorise(r, organisationName)
	r.Header.Set(backend.HeaderWorkID, q.workID())
	for option, header := range map[string]string{"key": "Idempotency-Key", "timeout": "Request-Timeout", "service-ms": backend.HeaderServiceMS} {
		if value := q.options[option]; value != "" {
			r.Header.Set(header, value)
		}
	}
	res, err := callerClient.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		q.err = err
		return
	}
	q.outcome = res.Header.Get(hop.HeaderOutcome)
	q.reason = res.Header.Get(hop.HeaderReason)
	if q.outcome == string(hop.OutcomeAnswer) && res.StatusCode == http.StatusOK {
		q.answerText = string(text)
	} else {
		q.shed = q.outcome == string(hop.OutcomeAnswer) && res.StatusCode == http.StatusServiceUnavailable && string(text) == backend.ShedBody
		q.err = fmt.Errorf("%s: %.200s", res.Status, text)
	}
}

// hasOutcome reports whether the outcome of the request matches a pattern: "any",
// OUTCOME, OUTCOME/REASON, or several of the last two separated by '|'.
func (q *request) hasOutcome(pattern string) bool {
	return pattern == "any" || slices.ContainsFunc(strings.Split(pattern, "|"), func(alternative string) bool {
		outcome, reason, _ := strings.Cut(alternative, "/")
		return q.outcome == outcome && (reason == "" || q.reason == reason)
	})
}

func authorise(r *http.Request, organisationName string) {
	basic := &http.Request{Header: http.Header{}}
	basic.SetBasicAuth(organisationName, secret)
	r.Header.Set("Proxy-Authorization", basic.Header.Get("Authorization"))
}

func options(args []string) map[string]string {
	all := make(map[string]string)
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		all[name] = value
	}
	return all
}

func (f *fleet) newRequest(ts *testscript.TestScript, entry, method, path, id string, opts map[string]string) *request {
	q := &request{id: id, entry: f.process(ts, entry).addresses["traffic"], method: method, path: path, options: opts, done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[id] = q
	return q
}

// send: send ENTRY METHOD PATH WORK-ID OUTCOME [option=value ...]
// sends a request, waits for its end and checks the outcome. With the outcome "later"
// it does not wait; the command await-outcome does so afterwards.
func (f *fleet) send(ts *testscript.TestScript, args []string) {
	q := f.newRequest(ts, args[0], args[1], args[2], args[3], options(args[5:]))
	go q.run()
	if args[4] != "later" {
		f.awaitOutcome(ts, []string{args[3], args[4]})
	}
}

// awaitOutcome: await-outcome WORK-ID OUTCOME
// waits for the end of a request and checks its outcome.
func (f *fleet) awaitOutcome(ts *testscript.TestScript, args []string) {
	f.mu.Lock()
	q := f.requests[args[0]]
	f.mu.Unlock()
	<-q.done
	if !q.hasOutcome(args[1]) {
		ts.Fatalf("%s: got %s/%s (%v), want %s", q.id, q.outcome, q.reason, q.err, args[1])
	}
}

// runs returns how often the work with each ID ran, added up over all backend servers.
func (f *fleet) runs(ts *testscript.TestScript) map[string]int {
	all := make(map[string]int)
	for _, p := range f.processes {
		if p.service == "" {
			continue
		}
		res, err := http.Get("http://" + p.addresses["backend"] + "/runs")
		check(ts, err)
		var runs map[string]int
		check(ts, json.NewDecoder(res.Body).Decode(&runs))
		_ = res.Body.Close()
		for id, n := range runs {
			all[id] += n
		}
	}
	return all
}

// shedByBackends returns how much work all backend servers shed.
func (f *fleet) shedByBackends(ts *testscript.TestScript) int {
	n := 0
	for name, p := range f.processes {
		if p.service != "" {
			n += f.stats(ts, name).Shed
		}
	}
	return n
}

// awaitRunning: await-running WORK-ID
// waits until a backend server has started the work.
func (f *fleet) awaitRunning(ts *testscript.TestScript, args []string) {
	waitFor(ts, args[0]+" has started", func() bool { return f.runs(ts)[args[0]] > 0 })
}

// loader sends requests at a constant rate without waiting for their replies.
type loader struct {
	end  chan struct{}
	once sync.Once
	wait sync.WaitGroup
}

func (l *loader) stop() {
	l.once.Do(func() { close(l.end) })
	l.wait.Wait()
}

// startLoad: start-load NAME ENTRY[,ENTRY ...] METHOD PATH RATE [option=value ...]
// sends RATE requests a second, to the entries in turn, until stop-load.
func (f *fleet) startLoad(ts *testscript.TestScript, args []string) {
	rate, err := strconv.Atoi(args[4])
	check(ts, err)
	l := &loader{end: make(chan struct{})}
	f.loaders[args[0]] = l
	entries := strings.Split(args[1], ",")
	l.wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.end:
				return
			case <-ticker.C:
			}
			q := f.newRequest(ts, entries[i%len(entries)], args[2], args[3], fmt.Sprintf("%s-%d", args[0], i), options(args[5:]))
			l.wait.Go(q.run)
		}
	})
}

// stopLoad: stop-load NAME
// ends a load and waits for the replies to its requests.
func (f *fleet) stopLoad(_ *testscript.TestScript, args []string) {
	f.loaders[args[0]].stop()
}

// verifyOutcomes: verify-outcomes [answers=PERCENT] [no-broken]
// ends all loads and compares the outcome of each request with the number of runs that
// the backend servers counted:
//   - Work that is not idempotent ran at most once.
//   - Work did not run if all its requests were refused as not run.
//   - Answered work ran, and its answer is complete and belongs to this request. The only other
//     answer is that a backend server sheds the work: the backend servers must have counted at least
//     as much shed work, and work that is not idempotent and has no other request did not run.
//
// With answers, at least PERCENT of the requests must be answered. With no-broken,
// every request must have a complete reply.
func (f *fleet) verifyOutcomes(ts *testscript.TestScript, args []string) {
	for _, l := range f.loaders {
		l.stop()
	}
	// mayHaveRun holds the work of which at least one request was not refused as not run.
	mayHaveRun := make(map[string]bool)
	// requests counts the requests of each work; shed holds the work that a backend server shed.
	requests := make(map[string]int)
	shed := make(map[string]bool)
	for _, q := range f.requests {
		<-q.done
		requests[q.workID()]++
		if q.shed {
			shed[q.workID()] = true
		}
		if q.outcome != string(hop.OutcomeNotRun) {
			mayHaveRun[q.workID()] = true
		}
	}
	runs := f.runs(ts)
	opts := options(args)
	counts := make(map[string]int)
	for _, q := range f.requests {
		counts[q.outcome]++
		n := runs[q.workID()]
		switch {
		case !q.idempotent() && n > 1:
			ts.Fatalf("%s is not idempotent and ran %d times", q.id, n)
		case q.outcome == string(hop.OutcomeNotRun) && !mayHaveRun[q.workID()] && n > 0:
			ts.Fatalf("%s was refused as not run (%s), but it ran", q.id, q.reason)
		case q.shed && !q.idempotent() && requests[q.workID()] == 1 && n > 0:
			ts.Fatalf("%s was shed, but it ran", q.id)
		case q.outcome == string(hop.OutcomeAnswer) && !q.shed && n == 0:
			ts.Fatalf("%s was answered, but it did not run: %v", q.id, q.err)
		case q.answerText != "" && q.answerText != q.wantAnswer():
			ts.Fatalf("%s got a wrong or incomplete answer: %.80q", q.id, q.answerText)
		}
	}
	if counted := f.shedByBackends(ts); len(shed) > counted {
		ts.Fatalf("%d requests were answered as shed, but the backend servers shed %d", len(shed), counted)
	}
	ts.Logf("outcomes: %v", counts)
	if _, ok := opts["no-broken"]; ok && counts[broken] > 0 {
		ts.Fatalf("%d replies were incomplete or missing", counts[broken])
	}
	if percent, err := strconv.Atoi(opts["answers"]); err == nil && counts["answer"]*100 < percent*len(f.requests) {
		ts.Fatalf("%d of %d requests were answered, want at least %d%%", counts["answer"], len(f.requests), percent)
	}
}

// checkStat: check-stat BACKEND NAME N
// checks a counter of a backend server.
func (f *fleet) checkStat(ts *testscript.TestScript, args []string) {
	res, err := http.Get("http://" + f.process(ts, args[0]).addresses["backend"] + "/stats")
	check(ts, err)
	defer res.Body.Close()
	var stats map[string]int
	check(ts, json.NewDecoder(res.Body).Decode(&stats))
	if fmt.Sprint(stats[args[1]]) != args[2] {
		ts.Fatalf("%s of %s is %d, want %s", args[1], args[0], stats[args[1]], args[2])
	}
}

// checkRuns: check-runs WORK-ID N
// checks how often work has run.
func (f *fleet) checkRuns(ts *testscript.TestScript, args []string) {
	if n := f.runs(ts)[args[0]]; fmt.Sprint(n) != args[1] {
		ts.Fatalf("%s ran %d times, want %s", args[0], n, args[1])
	}
}

// countEnded returns how many requests of a load have ended, and how many of these match the outcome pattern.
func (f *fleet) countEnded(load, outcome string) (all, matching int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, q := range f.requests {
		select {
		case <-q.done:
		default:
			continue
		}
		if !strings.HasPrefix(id, load+"-") {
			continue
		}
		all++
		if q.hasOutcome(outcome) {
			matching++
		}
	}
	return all, matching
}

// awaitOutcomes: await-outcomes LOAD OUTCOME N
// waits until N requests of a load have ended with the outcome.
func (f *fleet) awaitOutcomes(ts *testscript.TestScript, args []string) {
	want, err := strconv.Atoi(args[2])
	check(ts, err)
	waitFor(ts, strings.Join(args, " "), func() bool {
		_, n := f.countEnded(args[0], args[1])
		return n >= want
	})
}

// checkShare: min-share LOAD OUTCOME PERCENT
// checks that at least this share of the ended requests of a load has the outcome. LOAD may
// also be the part before a "-" that the IDs of several single requests have in common.
func (f *fleet) checkShare(ts *testscript.TestScript, args []string) {
	percent, err := strconv.Atoi(args[2])
	check(ts, err)
	all, n := f.countEnded(args[0], args[1])
	ts.Logf("load %s: %d of %d ended requests have the outcome", args[0], n, all)
	if n*100 < percent*all {
		ts.Fatalf("%d of %d requests of %s ended with %s, want at least %d%%", n, all, args[0], args[1], percent)
	}
}

// wantAnswer returns the answer that a stand-in backend server gives to the request.
func (q *request) wantAnswer() string {
	return fmt.Sprintf("%s %s done %d\n%s", q.method, q.workID(), len(q.body()), q.body())
}
