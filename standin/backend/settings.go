package backend

import (
	"time"

	"github.com/jackdawlane/jackdawlane/membership"
)

// Settings are the settings of a stand-in backend server. Shares are probabilities from 0 to 1.
type Settings struct {
	// Slots is the number of pieces of work that can run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that can be open at once.
	Connections int `json:"connections"`
	// Queue is the number of pieces of work that may wait for a slot; further work is shed with status 503.
	Queue int `json:"queue"`
	// ServiceMS is the mean of the exponentially distributed service time, in milliseconds.
	ServiceMS float64 `json:"service_ms"`
	// StragglerShare is the share of work that takes StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdMS is the length of the cold start in milliseconds. During the cold start the service time
	// falls linearly from ColdFactor times its normal value to that value.
	ColdMS     float64 `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// Hold keeps work running until Hold is false again, beyond its service time.
	Hold bool `json:"hold"`
	// State is the announced state. In the state leaving, new work is shed.
	State membership.State `json:"state"`

	// FailShare is the share of work that is answered with status 500.
	FailShare float64 `json:"fail_share"`
	// DelayShare is the share of work that takes DelayMS milliseconds longer.
	DelayShare float64 `json:"delay_share"`
	DelayMS    float64 `json:"delay_ms"`
	// CutShare is the share of responses that break off halfway through the body.
	CutShare float64 `json:"cut_share"`
	// CloseShare is the share of requests that are read and run, but whose connection is closed
	// without a response.
	CloseShare float64 `json:"close_share"`
	// FlapMS is the length in milliseconds of the alternating periods in which the faults from FailShare
	// to CloseShare are off and on, starting with off; 0 leaves them on.
	FlapMS float64 `json:"flap_ms"`
	// ReportSlots and ReportConnections, unless 0, are announced in place of Slots and Connections.
	ReportSlots       int `json:"report_slots"`
	ReportConnections int `json:"report_connections"`
}

// DefaultSettings are the settings of a healthy backend server.
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

// coldFactor returns the factor by which the cold start lengthens the service time at an age of the server.
func (s Settings) coldFactor(age time.Duration) float64 {
	length := milliseconds(s.ColdMS)
	if age >= length {
		return 1
	}
	left := 1 - float64(age)/float64(length)
	return 1 + (s.ColdFactor-1)*left
}

// faulty reports whether the faults are on at an age of the server.
func (s Settings) faulty(age time.Duration) bool {
	period := milliseconds(s.FlapMS)
	return period <= 0 || (age/period)%2 == 1
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
