package backend

import (
	"time"

	"github.com/jackdawlane/jackdawlane/membership"
)

// Settings of a stand-in backend server. Shares are probabilities from 0 to 1.
type Settings struct {
	// Slots is how much work runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections are accepted at once.
	Connections int `json:"connections"`
	// Queue is how much work may wait for a slot; further work is shed with 503.
	Queue int `json:"queue"`
	// ServiceMS is the mean service time in milliseconds, exponentially distributed.
	ServiceMS float64 `json:"service_ms"`
	// StragglerShare of the work takes StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdMS is the length of the cold start. During it the service time falls
	// evenly from ColdFactor times the normal one.
	ColdMS     float64 `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// State is announced. Leaving backend servers shed new work.
	State membership.State `json:"state"`

	// FailShare of the work fails with 500.
	FailShare float64 `json:"fail_share"`
	// DelayShare of the work takes DelayMS longer.
	DelayShare float64 `json:"delay_share"`
	DelayMS    float64 `json:"delay_ms"`
	// CutShare of the replies break off in the middle.
	CutShare float64 `json:"cut_share"`
	// CloseShare of the requests are read and run, and the connection is closed without a reply.
	CloseShare float64 `json:"close_share"`
	// FlapMS switches the faults above off and on, each for this long; 0 leaves them on.
	FlapMS float64 `json:"flap_ms"`
	// ReportSlots and ReportConnections replace the announced numbers unless 0.
	ReportSlots       int `json:"report_slots"`
	ReportConnections int `json:"report_connections"`
}

// DefaultSettings are those of a healthy backend server.
var DefaultSettings = Settings{
	Slots:           7,
	Connections:     330,
	Queue:           14,
	ServiceMS:       5,
	StragglerFactor: 1,
	ColdFactor:      1,
	State:           membership.StateReady,
}

func (s Settings) announcedSlots() int {
	if s.ReportSlots != 0 {
		return s.ReportSlots
	}
	return s.Slots
}

func (s Settings) announcedConnections() int {
	if s.ReportConnections != 0 {
		return s.ReportConnections
	}
	return s.Connections
}

// coldFactor returns by how much the cold start lengthens work at an age.
func (s Settings) coldFactor(age time.Duration) float64 {
	length := milliseconds(s.ColdMS)
	if age >= length {
		return 1
	}
	left := 1 - float64(age)/float64(length)
	return 1 + (s.ColdFactor-1)*left
}

// faulty reports whether faults are on at an age.
func (s Settings) faulty(age time.Duration) bool {
	period := milliseconds(s.FlapMS)
	return period <= 0 || (age/period)%2 == 1
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
