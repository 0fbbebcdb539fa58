package guard

import "github.com/jackdawlane/jackdawlane/hop"

import "time"

// Health is the judgement on a backend server.
type Health string

// Judgements on a backend server.
const (
	Healthy Health = "healthy"
	Suspect Health = hop.HealthSuspect
	Ejected Health = "ejected"
)

// Result is the result of a dispatch as seen by the observer.
type Result int

// Results of a dispatch.
const (
	// OK is a complete answer below 500.
	OK Result = iota
	// Failed is a connection failure, a timeout, a cut answer or an answer from 500.
	Failed
	// Shed is the answer 429 or 503, with which a backend server declines work.
	Shed
)

// DispatchReport describes a finished dispatch. Cancelled ones are not reported.
type DispatchReport struct {
	BackendID string
	Service   string
	Route     string
	Result    Result
	// Answered is set when the backend server gave a complete answer.
	Answered bool
	Latency  time.Duration
}

// HealthMonitor judges backend servers by their work.
type HealthMonitor interface {
	// Observe takes a finished dispatch. It must not block.
	Observe(d DispatchReport)
	// Health returns the judgement in force now.
	Health(backendID string) Health
	// FailureProbability returns the probability that the backend server is failing now, 1 for
	// an observer that only knows the judgement.
	FailureProbability(backendID string) float64
	// AnnouncedHealth returns the judgement for the directory, which changes rarely.
	AnnouncedHealth(backendID string) Health
	// AdmitRetest reports whether work goes to a suspected or ejected backend
	// server to re-test it. It counts the work that it admits.
	AdmitRetest(backendID string, idempotent bool) bool
}

// noObserver regards every backend server as healthy.
type noObserver struct{}

func (noObserver) Observe(DispatchReport) {}
func (noObserver) Health(string) Health   { return Healthy }

func (noObserver) FailureProbability(string) float64 { return 0 }

func (noObserver) AnnouncedHealth(string) Health { return Healthy }

func (noObserver) AdmitRetest(string, bool) bool { return false }
