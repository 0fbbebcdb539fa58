package guard

import "time"

// Health is the judgement on a backend server.
type Health string

// Judgements on a backend server.
const (
	Healthy Health = "healthy"
	Suspect Health = "suspect"
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

// Dispatch is a finished dispatch. Cancelled ones are not reported.
type Dispatch struct {
	BackendID string
	Route     string
	Result    Result
	Latency   time.Duration
}

// Observer judges backend servers by their work.
type Observer interface {
	Observe(d Dispatch)
	State(backendID string) Health
}

// noObserver regards every backend server as healthy.
type noObserver struct{}

func (noObserver) Observe(Dispatch)    {}
func (noObserver) State(string) Health { return Healthy }
