package health

import "time"

// maxCallingRoutes bounds the routes that are known to make calls.
const maxCallingRoutes = 512

// CallID identifies a call of a RunningEvidence.
type CallID uint64

// callAttribution attributes the calls of a backend server to its runs. Which run made a call is not
// known, but a run that hangs makes no more calls, so the youngest run is the most likely one.
type callAttribution struct {
	// runs maps a call in progress to its run.
	runs   map[CallID]RunID
	lastID CallID
	// routes are the routes known to make calls: a single run was in progress when a call started.
	routes map[string]bool
}

func newCallAttribution() callAttribution {
	return callAttribution{runs: make(map[CallID]RunID), routes: make(map[string]bool)}
}

// CallStarted records that the backend server may have sent a call at now. The call is attributed to
// the youngest run to which none is attributed yet, if possible on a route that is known to make
// calls. The time until CallEnded does not count towards the age of that run.
func (e *RunningEvidence) CallStarted(now time.Duration) CallID {
	e.calls.lastID++
	var caller *run
	waiting := 0
	for i := len(e.runs) - 1; i >= 0; i-- {
		r := &e.runs[i]
		if r.state != runWaiting {
			continue
		}
		waiting++
		if r.calls > 0 {
			continue
		}
		if caller == nil || e.calls.routes[r.route] && !e.calls.routes[caller.route] {
			caller = r
		}
	}
	if caller == nil {
		return e.calls.lastID
	}
	if waiting == 1 && len(e.calls.routes) < maxCallingRoutes {
		e.calls.routes[caller.route] = true
	}
	caller.calls++
	caller.callsSince = now
	e.calls.runs[e.calls.lastID] = caller.id
	return e.calls.lastID
}

// CallEnded records that a call ended at now.
func (e *RunningEvidence) CallEnded(now time.Duration, id CallID) {
	runID, ok := e.calls.runs[id]
	if !ok {
		return
	}
	delete(e.calls.runs, id)
	if r := e.find(runID); r != nil && r.state == runWaiting {
		r.calls--
		r.callTime += now - r.callsSince
	}
}
