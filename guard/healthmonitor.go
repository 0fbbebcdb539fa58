package guard

import (
	"time"

	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/hop"
)

// Health is the assessed health of a backend server.
type Health string

// Values of Health.
const (
	Healthy Health = "healthy"
	Suspect Health = hop.HealthSuspect
	Ejected Health = "ejected"
)

// Result is the result of a dispatch as reported to the health monitor.
type Result int

// Results of a dispatch.
const (
	// OK is a complete answer with a status below 500 other than 429.
	OK Result = iota
	// Failed is a connection failure, a timeout, a truncated answer, or an answer with a
	// status of 500 or above other than 503.
	Failed
	// Shed is an answer with status 429 or 503, or a response of the class Overloaded,
	// with which a backend server refuses a request under load.
	Shed
)

// DispatchReport describes a finished dispatch. Cancelled dispatches are not reported.
type DispatchReport struct {
	BackendID string
	Service   string
	Route     string
	Result    Result
	// Answered is set when the backend server gave a complete answer.
	Answered bool
	// NoResponse is set when the time of the dispatch ended before any response, and Started has
	// reported its start.
	NoResponse bool
	Latency    time.Duration
}

// DispatchStart describes a request that has been sent to a backend server.
type DispatchStart struct {
	BackendID string
	Route     string
	// Retest is set when the request re-tests a suspected or ejected backend server.
	Retest bool
}

// HealthMonitor assesses the health of backend servers from the results of dispatches.
type HealthMonitor interface {
	// Started records the start of a dispatch. The caller calls ended when the response arrives, or
	// when the wait for it ends. A second call of ended has no effect. Neither may block.
	Started(d DispatchStart) (ended func(health.RunEnd))
	// Observe records a finished dispatch. It must not block.
	Observe(d DispatchReport)
	// Health returns the current health of a backend server.
	Health(backendID string) Health
	// FailureProbability returns the probability that the backend server is failing now.
	// A monitor that estimates no probability returns 0 for a healthy backend server and
	// 1 for any other.
	FailureProbability(backendID string) float64
	// AnnouncedHealth returns the health that is announced to the other nodes. It
	// changes rarely.
	AnnouncedHealth(backendID string) Health
	// AdmitRetest reports whether an attempt goes to a suspected or ejected backend
	// server to re-test it. It counts the attempts that it admits.
	AdmitRetest(backendID string, idempotent bool) bool
	// RetestIn returns the time until AdmitRetest may admit an attempt again; 0 if that is not known.
	RetestIn(backendID string) time.Duration
}

// alwaysHealthy regards every backend server as healthy.
type alwaysHealthy struct{}

func (alwaysHealthy) Started(DispatchStart) func(health.RunEnd) { return func(health.RunEnd) {} }

func (alwaysHealthy) Observe(DispatchReport) {}

func (alwaysHealthy) Health(string) Health { return Healthy }

func (alwaysHealthy) FailureProbability(string) float64 { return 0 }

func (alwaysHealthy) AnnouncedHealth(string) Health { return Healthy }

func (alwaysHealthy) AdmitRetest(string, bool) bool { return false }

func (alwaysHealthy) RetestIn(string) time.Duration { return 0 }
