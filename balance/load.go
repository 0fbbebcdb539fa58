package balance

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	// reportDecayTime is the time constant with which the estimate moves from a backend
	// server's last report to the average of all reports. Load changes within a few
	// service times, so an old report says little.
	reportDecayTime = 300 * time.Millisecond
	// minReportWeight is the weight below which an aged report is ignored. If old reports of
	// idle backend servers kept some weight, a backend server without a report would
	// never be chosen.
	minReportWeight = 0.1
	// refusedLoad is the load assumed when a backend server refused a request as full but
	// reported no load or a load below 1.
	refusedLoad = 2.0
	// maxLoad bounds a reported load, so that one false value cannot move the average far.
	maxLoad = 4.0
	// averageWeight is the weight of one report in the moving average.
	averageWeight = 1.0 / 32
	// suspectTime is how long a backend server counts as suspect after its guard
	// reported it as suspect.
	suspectTime = time.Second
	// absentTime is how long a backend server is avoided after a refusal that says it is
	// gone, leaving or stopping. A directory record may outlive its backend server, and a
	// backend server that starts announces itself within seconds.
	absentTime = time.Second
	// forgetTime is how long an unused backend server is kept, so that memory for those
	// that no longer exist is released.
	forgetTime = time.Minute
)

// Feedback is what an entry learns about a backend server from a guard's reply to an attempt.
type Feedback struct {
	// Load is the reported ratio of running and queued requests to the concurrency limit. It is
	// valid if HasLoad is set.
	Load    float64
	HasLoad bool
	// Reason is the reason of a refusal. It is empty when the attempt was not refused.
	Reason hop.Reason
	// Again is the time for which another attempt would wait for a slot, or would not be taken as
	// a re-test; 0 if that is not known. It is valid with a refusal.
	Again time.Duration
	// Rank is the rank of the attempt.
	Rank admission.Rank
	// Suspect is set when the guard suspects the backend server, so that requests should go to
	// other backend servers.
	Suspect bool
	// FailureProbability is the probability, from 0 to 1, that a suspected backend server fails
	// a request.
	FailureProbability float64
}

// backendState is what this entry knows about the load and health of one backend server.
type backendState struct {
	inFlight           int
	load               float64
	reportedAt         time.Duration
	hasReport          bool
	suspectUntil       time.Duration // end of the time during which it counts as suspect
	failureProbability float64       // last reported probability that it fails a request, valid if suspectUntil is not 0
	absentUntil        time.Duration // end of the time during which it counts as absent
	refusals           refusals
	retestAt           time.Duration // when it may take another re-test
	lastUsed           time.Duration
	// sentSinceReport is the number of attempts since the last report.
	sentSinceReport int
}

// loads holds the load reports of the backend servers of a service and their average.
type loads struct {
	byID      map[string]*backendState
	average   float64
	lastSweep time.Duration
}

func (l *loads) get(now time.Duration, id string) *backendState {
	b := l.byID[id]
	if b == nil {
		b = &backendState{}
		l.byID[id] = b
	}
	b.lastUsed = now
	return b
}

// failureProbability returns the last reported probability that a suspected backend server fails
// a request, or 1 if it was never reported as suspect to this entry.
func (l *loads) failureProbability(id string) float64 {
	b := l.byID[id]
	if b == nil || b.suspectUntil == 0 {
		return 1
	}
	return b.failureProbability
}

// estimate returns the estimated load of a backend server: its last report, aged
// towards the average, plus the attempts that this entry sent since, divided by the
// slots. It is at least the load from this entry's own attempts in flight.
func (l *loads) estimate(now time.Duration, id string, slots int) float64 {
	b := l.byID[id]
	if b == nil {
		return l.average
	}
	reportWeight := 0.0
	if b.hasReport {
		reportWeight = math.Exp(-(now - b.reportedAt).Seconds() / reportDecayTime.Seconds())
	}
	if reportWeight < minReportWeight {
		reportWeight = 0
	}
	ownLoad := float64(b.inFlight) / float64(max(1, slots))
	sent := float64(min(b.sentSinceReport, b.inFlight)) / float64(max(1, slots))
	return max(ownLoad, l.average+reportWeight*(b.load-l.average)+sent)
}

func (l *loads) report(now time.Duration, b *backendState, f Feedback) {
	load, ok := f.Load, f.HasLoad && f.Load >= 0
	if f.Reason == hop.ReasonFull || f.Reason == hop.ReasonTimeout || f.Reason == hop.ReasonDisplaced {
		b.refusals.add(now, f.Rank, now+f.Again)
	}
	switch {
	case f.Suspect:
		b.suspectUntil = now + suspectTime
		b.failureProbability = f.FailureProbability
		if f.Reason == hop.ReasonSuspect {
			b.retestAt = now + f.Again
		}
	case f.Reason == hop.ReasonNoBackend || f.Reason == hop.ReasonLeaving || f.Reason == hop.ReasonStopping:
		b.absentUntil = now + absentTime
	case (f.Reason == hop.ReasonFull || f.Reason == hop.ReasonDisplaced) && (!ok || load < 1):
		load, ok = refusedLoad, true
	}
	if !ok {
		return
	}
	b.load = min(load, maxLoad)
	b.reportedAt, b.hasReport, b.sentSinceReport = now, true, 0
	l.average += averageWeight * (b.load - l.average)
}

// sweep removes the backend servers that were not used for forgetTime.
func (l *loads) sweep(now time.Duration) {
	if now-l.lastSweep < forgetTime {
		return
	}
	l.lastSweep = now
	for id, b := range l.byID {
		if b.inFlight == 0 && now-b.lastUsed > forgetTime {
			delete(l.byID, id)
		}
	}
}
