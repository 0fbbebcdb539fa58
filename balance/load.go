package balance

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	// reportAge is the time constant with which a report ages towards the
	// average. Load changes within a few service times, so an old report says little.
	reportAge = 300 * time.Millisecond
	// minTrust is the trust below which a report counts for nothing. A rest of trust in
	// idle reports would keep a backend server that has sent none from ever being chosen.
	minTrust = 0.1
	// refusedLoad replaces a report of free slots that came with a refusal as full.
	refusedLoad = 2.0
	// maxLoad bounds a report, so that one false value cannot move the average far.
	maxLoad = 4.0
	// averageWeight is the weight of one report in the average.
	averageWeight = 1.0 / 32
	// suspectTime is the time for which a refusal as suspect is remembered.
	suspectTime = time.Second
	// absentTime is the time for which a refusal without a backend server is remembered. A
	// record may outlive its backend server, and one that starts announces itself within seconds.
	absentTime = time.Second
	// forgetTime bounds the memory of backend servers that no longer exist.
	forgetTime = time.Minute
)

// Feedback is what an entry learns from the end of an attempt.
type Feedback struct {
	// Load is the reported ratio of running and queued work to the limit.
	Load    float64
	HasLoad bool
	// Reason is that of a refusal, otherwise empty.
	Reason hop.Reason
	// Suspect is set when the guard steers work away from the backend server.
	Suspect bool
	// Failing is the probability that a suspected backend server fails work, 0 to 1.
	Failing float64
}

// backend is what this entry knows of one backend server.
type backend struct {
	inFlight  int
	load      float64
	reported  time.Duration
	known     bool
	suspected time.Duration // until
	failing   float64       // while suspected
	absent    time.Duration // until
	seen      time.Duration
	// sent is the number of attempts since the last report.
	sent int
}

// loads holds the reports of the backend servers of a service.
type loads struct {
	byID    map[string]*backend
	average float64
	swept   time.Duration
}

func (l *loads) get(now time.Duration, id string) *backend {
	b := l.byID[id]
	if b == nil {
		b = &backend{}
		l.byID[id] = b
	}
	b.seen = now
	return b
}

// failing is the last reported probability that a suspected backend server fails work,
// 1 without a report.
func (l *loads) failing(id string) float64 {
	b := l.byID[id]
	if b == nil || b.suspected == 0 {
		return 1
	}
	return b.failing
}

// estimate is the load of a backend server: its report, aged towards the
// average, and what this entry sent since, over the slots.
func (l *loads) estimate(now time.Duration, id string, slots int) float64 {
	b := l.byID[id]
	if b == nil {
		return l.average
	}
	trust := 0.0
	if b.known {
		trust = math.Exp(-(now - b.reported).Seconds() / reportAge.Seconds())
	}
	if trust < minTrust {
		trust = 0
	}
	local := float64(b.inFlight) / float64(max(1, slots))
	sent := float64(min(b.sent, b.inFlight)) / float64(max(1, slots))
	return max(local, l.average+trust*(b.load-l.average)+sent)
}

func (l *loads) report(now time.Duration, b *backend, r Feedback) {
	load, ok := r.Load, r.HasLoad && r.Load >= 0
	switch {
	case r.Suspect:
		b.suspected = now + suspectTime
		b.failing = r.Failing
	case r.Reason == hop.ReasonNoBackend || r.Reason == hop.ReasonLeaving || r.Reason == hop.ReasonStopping:
		b.absent = now + absentTime
	case r.Reason == hop.ReasonFull && (!ok || load < 1):
		load, ok = refusedLoad, true
	}
	if !ok {
		return
	}
	b.load = min(load, maxLoad)
	b.reported, b.known, b.sent = now, true, 0
	l.average += averageWeight * (b.load - l.average)
}

// sweep forgets backend servers that were not used for a while.
func (l *loads) sweep(now time.Duration) {
	if now-l.swept < forgetTime {
		return
	}
	l.swept = now
	for id, b := range l.byID {
		if b.inFlight == 0 && now-b.seen > forgetTime {
			delete(l.byID, id)
		}
	}
}
