package observe

import (
	"time"
)

// suspicionCause is why a backend server is suspect.
type suspicionCause string

// Causes of a suspicion.
const (
	notSuspect      suspicionCause = ""
	suspectByResult suspicionCause = "result"
	suspectByRun    suspicionCause = "running"
)

// assessment is the state of a backend server according to a LocalMonitor.
type assessment struct {
	cause       suspicionCause
	probability float64
	// age is the age of the evidence: the time since the last failed result, or the age of the newest request
	// that is evidence of a hang.
	age time.Duration
	// unanswered is the number of requests that are evidence of a hang.
	unanswered int
}

// assess joins the evidence of results and of running requests. Either makes a backend server
// suspect, and the one with the higher probability counts. The caller holds m.mu.
func (m *LocalMonitor) assess(b *backendEstimate, now time.Duration) assessment {
	a := assessment{probability: b.estimator.FailureProbability(now)}
	if b.estimator.Suspect(now) {
		a.cause, a.age = suspectByResult, b.estimator.SinceFailure(now)
	}
	hang := b.running.Assess(now)
	a.unanswered = hang.Unanswered
	if hang.Suspect && (a.cause == notSuspect || hang.Probability > a.probability) {
		a.cause, a.probability, a.age = suspectByRun, max(a.probability, hang.Probability), hang.Age
	}
	m.reportChange(b, a)
	return a
}

// reportChange logs and counts the change between suspect and healthy, if there is one.
func (m *LocalMonitor) reportChange(b *backendEstimate, a assessment) {
	before := b.logged
	if (a.cause == notSuspect) == (before.cause == notSuspect) {
		return
	}
	b.logged = a
	cause := a.cause
	if cause == notSuspect {
		cause = before.cause
	}
	if m.logger != nil {
		m.logger.Info("suspicion changed", "backend_server", b.id, "suspect", a.cause != notSuspect, "cause", string(cause),
			"age_ms", a.age.Milliseconds(), "probability", roundProbability(a.probability), "unanswered", a.unanswered)
	}
	if m.metrics != nil && a.cause != notSuspect {
		m.metrics.Add("observe.suspected."+string(cause), 1)
	}
	if m.metrics != nil && a.cause == notSuspect {
		m.metrics.Add("observe.cleared."+string(cause), 1)
	}
}

// roundProbability rounds to thousandths for the logs.
func roundProbability(p float64) float64 { return float64(int(p*1000+0.5)) / 1000 }
