package health

import (
	"math"
	"slices"
	"time"
)

const (
	// hangProbability is the probability of hanging above which a backend server is suspect
	// because of requests without a response. It is higher than suspectProbability, because every
	// healthy request is without a response for a while.
	hangProbability = 0.2
	// removedHangProbability replaces it while the only evidence are requests that have ended and are no longer
	// kept, which may have been slow only.
	removedHangProbability = 0.5
	// minRunAge is the age from which a request without a response can be evidence. A busy VM delays
	// responses by up to about this long, which is many times the usual latency of a route that answers
	// within milliseconds.
	minRunAge = 200 * time.Millisecond
	// minRunEvidence is the likelihood ratio from which a request without a response can be the
	// cause of a suspicion.
	minRunEvidence = 2.0
	// waitingRetestGap is the time between two re-tests while the earlier one is without a response.
	waitingRetestGap = 2 * failedRetestGap
	// slownessResponses is the number of responses over which the slowness of a backend server is
	// averaged. With 8, one that turned three times slower is suspect for 16 % instead of 12 % of the
	// next 20 s at 3 requests/s.
	slownessResponses = 4
	// maxLogRatio bounds the part of one response in the slowness, because a few runs take many times longer
	// than usual.
	maxLogRatio = 1.5
	// maxRuns bounds the runs that are kept. It covers the longest deadline at the load for which
	// the evidence is designed, 5 requests/s for 8 s; at higher load newer runs suffice.
	maxRuns = 64
)

// RunID identifies a run of a RunningEvidence.
type RunID uint64

// RunEnd says how a run ended.
type RunEnd int

// Ends of a run.
const (
	// RunAnswered is a response that is not an error.
	RunAnswered RunEnd = iota
	// RunErrored is a response with an error. Its latency says nothing about that of other runs.
	RunErrored
	// RunTimedOut is the end of the wait for a response at the deadline.
	RunTimedOut
	// RunCancelled is the end of the wait for a response before the deadline, for example because
	// another attempt of the request was answered first.
	RunCancelled
	// RunVoid is an end that says nothing about hanging, such as a lost connection.
	RunVoid
)

// runState is the state of a run.
type runState int

const (
	runWaiting runState = iota
	runUnanswered
	runResponded
	runVoid
)

// run is a request at the backend server, from its start until its response or its end.
type run struct {
	id    RunID
	route string
	start time.Duration
	state runState
	// ratio is the likelihood ratio when the run ended without a response.
	ratio float64
	// calls is the number of calls in progress that are attributed to the run, callsSince the start
	// of the first of them, and callTime the time that the run has spent waiting for earlier ones.
	calls      int
	callsSince time.Duration
	callTime   time.Duration
}

// age returns how long the run has taken without the time that it waited for calls.
func (r *run) age(now time.Duration) time.Duration {
	age := now - r.start - r.callTime
	if r.calls > 0 {
		age -= now - r.callsSince
	}
	return max(age, 0)
}

// RunningEvidence estimates the probability that one backend server hangs, which means that it leaves
// requests without a response, from the requests that run there. A request without a response is
// evidence that grows with its age: the likelihood ratio of a failing and a healthy backend server
// according to the latencies observed on its route. A failing one leaves FailingFailureRate of the
// requests without a response, a healthy one HealthyFailureRate.
//
// Each run tells about the state at its start, so the estimate goes through the runs in the order of
// their starts. A response to a later request thus outweighs older requests that are still without
// one. RunningEvidence is not safe for concurrent use.
type RunningEvidence struct {
	model     FailureModel
	latencies routeLatencies
	// runs are in the order of their starts. probability is the probability of hanging at the time
	// updatedAt, by the runs before them.
	runs        []run
	probability float64
	updatedAt   time.Duration
	// removed is set when a run that is evidence of a hang is no longer kept, and removedStart is the
	// start of the newest such run.
	removed      bool
	removedStart time.Duration
	lastID       RunID
	// slowness is the recent mean of the logarithm of the ratio of the latencies to the usual ones of their
	// routes.
	slowness float64
	calls    callAttribution
}

// NewRunningEvidence returns the evidence of a backend server without runs.
func NewRunningEvidence(m FailureModel, now time.Duration) *RunningEvidence {
	return &RunningEvidence{
		model: m, latencies: make(routeLatencies), updatedAt: now, probability: m.longRunFailingShare(),
		calls: newCallAttribution(),
	}
}

// Start records that a request was sent to the backend server at now.
func (e *RunningEvidence) Start(now time.Duration, route string) RunID {
	e.lastID++
	e.runs = append(e.runs, run{id: e.lastID, route: route, start: now})
	for len(e.runs) > 0 && (e.runs[0].state != runWaiting || len(e.runs) > maxRuns) {
		if e.isEvidence(&e.runs[0], now) {
			e.removed, e.removedStart = true, e.runs[0].start
		}
		e.probability = e.apply(e.probability, e.updatedAt, &e.runs[0], now)
		e.updatedAt = e.runs[0].start
		e.runs = slices.Delete(e.runs, 0, 1)
	}
	return e.lastID
}

// End records the end of a run at now. An end of an unknown run has no effect.
func (e *RunningEvidence) End(now time.Duration, id RunID, how RunEnd) {
	r := e.find(id)
	if r == nil || r.state != runWaiting {
		return
	}
	switch how {
	case RunAnswered:
		e.updateSlowness(r.route, r.age(now))
		e.latencies.add(now, r.route, r.age(now), 1)
		r.state = runResponded
	case RunErrored:
		r.state = runResponded
	case RunTimedOut:
		r.ratio = e.ratio(r, now)
		r.state = runUnanswered
	case RunCancelled:
		r.ratio = e.ratio(r, now)
		r.state = runUnanswered
		// Without the cancelled runs, a route that is often cancelled would seem to answer sooner
		// than it does. Runs that probably hung do not belong to its latencies.
		e.latencies.add(now, r.route, r.age(now), 1-e.Assess(now).Probability)
	default:
		r.state = runVoid
	}
}

// RetestGap returns the time from one re-test to the next while the backend server is suspected of
// hanging. run is the last re-test, if it was started. One that is still without a response holds
// back the next one for longer, because that would probably hang too.
func (e *RunningEvidence) RetestGap(run RunID, started bool) time.Duration {
	r := e.find(run)
	switch {
	case !started:
		return failedRetestGap
	case r == nil || r.state == runResponded:
		return passedRetestGap
	case r.state == runWaiting:
		return waitingRetestGap
	}
	return failedRetestGap
}

// updateSlowness compares the latency of a response with the usual one of its route.
func (e *RunningEvidence) updateSlowness(route string, latency time.Duration) {
	if usual := e.latencies.known(route); usual != nil {
		ratio := min(max(logSeconds(latency)-usual.meanLog, -maxLogRatio), maxLogRatio)
		e.slowness += (ratio - e.slowness) / slownessResponses
	}
}

// Judges reports whether the latencies of a route are known, so that its runs without a response
// are evidence.
func (e *RunningEvidence) Judges(route string) bool { return e.latencies.known(route) != nil }

// find returns a run by its ID, or nil.
func (e *RunningEvidence) find(id RunID) *run {
	i, ok := slices.BinarySearchFunc(e.runs, id, func(r run, id RunID) int { return int(r.id) - int(id) })
	if !ok {
		return nil
	}
	return &e.runs[i]
}

// ratio returns the likelihood ratio of a run without a response.
func (e *RunningEvidence) ratio(r *run, now time.Duration) float64 {
	latency := e.latencies.known(r.route)
	if latency == nil || r.age(now) < minRunAge {
		return 1
	}
	// On a backend server that is slow as a whole, an age is less unusual.
	slowdown := math.Exp(max(0, e.slowness))
	survival := latency.survival(time.Duration(float64(r.age(now)) / slowdown))
	hanging := e.model.FailingFailureRate + (1-e.model.FailingFailureRate)*survival
	healthy := e.model.HealthyFailureRate + (1-e.model.HealthyFailureRate)*survival
	return hanging / healthy
}

// currentRatio returns the likelihood ratio that a run in any state contributes at now.
func (e *RunningEvidence) currentRatio(r *run, now time.Duration) float64 {
	switch r.state {
	case runWaiting:
		return e.ratio(r, now)
	case runUnanswered:
		return r.ratio
	case runResponded:
		return (1 - e.model.FailingFailureRate) / (1 - e.model.HealthyFailureRate)
	}
	return 1
}

// apply returns the probability after a run, from the probability p at the time at before it.
func (e *RunningEvidence) apply(p float64, at time.Duration, r *run, now time.Duration) float64 {
	p = e.model.drift(p, r.start-at)
	failing := p * e.currentRatio(r, now)
	return failing / (failing + 1 - p)
}

// isEvidence reports whether a run without a response can be the cause of a suspicion.
func (e *RunningEvidence) isEvidence(r *run, now time.Duration) bool {
	return (r.state == runWaiting || r.state == runUnanswered) && e.currentRatio(r, now) >= minRunEvidence
}

// HangAssessment is what the runs of a backend server tell about it.
type HangAssessment struct {
	Suspect bool
	// Probability is the probability that the backend server hangs.
	Probability float64
	// Age is the age of the newest run that is evidence of a hang, and Unanswered the number of such runs
	// that are still kept.
	Age        time.Duration
	Unanswered int
}

// Assess returns the assessment at now. Without a recent run that is evidence of a hang, the drift of
// the estimate does not make a backend server suspect.
func (e *RunningEvidence) Assess(now time.Duration) HangAssessment {
	var a HangAssessment
	p, at, newest := e.probability, e.updatedAt, e.removedStart
	for i := range e.runs {
		r := &e.runs[i]
		p = e.apply(p, at, r, now)
		at = r.start
		if e.isEvidence(r, now) {
			a.Unanswered++
			newest = r.start
		}
	}
	a.Probability = e.model.drift(p, now-at)
	if a.Unanswered > 0 || e.removed {
		a.Age = now - newest
		threshold := hangProbability
		if a.Unanswered == 0 {
			threshold = removedHangProbability
		}
		a.Suspect = a.Probability > threshold && a.Age < suspicionTimeout
	}
	return a
}
