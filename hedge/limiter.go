package hedge

import (
	"time"

	"github.com/jackdawlane/jackdawlane/retry"
)

// maxLimits bounds the number of limits that a guard keeps. A guard of ten services keeps one for each
// and one for each route with a share of its own. When the bound is reached all are dropped; the new
// ones allow nothing until they have counted first attempts.
const maxLimits = 4096

// minWindow is the shortest window, which is also the shortest that the settings allow.
const minWindow = time.Second

// Share is the allowed share of extra work by hedging.
type Share struct {
	// Value is the number of hedges for each first attempt, from 0 to 1.
	Value float64
	// Given is set when the settings or the route state a share. Otherwise hedging is limited by the
	// budget of repeats only.
	Given bool
	// OfRoute is set when the route states its own share.
	OfRoute bool
}

// ShareOf returns the share that applies to a route: its own one, or else the default of the settings.
// Each is nil when it is not given.
func ShareOf(route, byDefault *float64) Share {
	switch {
	case route != nil:
		return Share{Value: *route, Given: true, OfRoute: true}
	case byDefault != nil:
		return Share{Value: *byDefault, Given: true}
	}
	return Share{}
}

// Work identifies the limit that an attempt counts against.
type Work struct {
	Service, Organisation, Route string
	Share                        Share
}

// limitKey identifies a limit. Routes with a share of their own have a limit each, the other routes of
// a service have one together: with a limit for each, most would allow less than one hedge in a window.
type limitKey struct {
	service, organisation, route string
}

type limit struct {
	share  float64
	window *retry.WindowLimiter
}

// Limiter is a guard's limit of hedges. In every window that ends with a hedge, the hedges are at most
// the share of the first attempts in the same window. It is not safe for concurrent use.
type Limiter struct {
	window time.Duration
	limits map[limitKey]limit
}

// NewLimiter returns a limiter over windows of the given length.
func NewLimiter(window time.Duration) *Limiter {
	return &Limiter{window: max(window, minWindow), limits: make(map[limitKey]limit)}
}

// RecordFirst counts the first attempt of a request.
func (l *Limiter) RecordFirst(now time.Duration, w Work) {
	if w.Share.Given {
		l.limit(w).RecordFirst(now)
	}
}

// Allows reports whether the limit has room for a hedge. It does not count it.
func (l *Limiter) Allows(now time.Duration, w Work) bool {
	return !w.Share.Given || l.limit(w).CanRepeat(now, 0, retry.Repeat{})
}

// RecordHedge counts a hedge that Allows allowed at the same time.
func (l *Limiter) RecordHedge(now time.Duration, w Work) {
	if w.Share.Given {
		l.limit(w).TryRepeat(now, 0, retry.Repeat{})
	}
}

func (l *Limiter) limit(w Work) *retry.WindowLimiter {
	key := limitKey{service: w.Service}
	if w.Share.OfRoute {
		key.organisation, key.route = w.Organisation, w.Route
	}
	found, ok := l.limits[key]
	if ok && found.share == w.Share.Value {
		return found.window
	}
	if len(l.limits) >= maxLimits {
		clear(l.limits)
	}
	window := retry.NewWindowLimiter(l.window, w.Share.Value)
	l.limits[key] = limit{w.Share.Value, window}
	return window
}
