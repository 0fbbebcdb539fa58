// Package route holds the routes of the fleet and matches requests to them.
package route

import (
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits on a route's fields.
const (
	MaxNameLength  = 128
	MinTimeout     = time.Millisecond
	MaxTimeout     = time.Hour
	DefaultTimeout = 30 * time.Second
	// DefaultMaxAttempts is the default for Route.MaxAttempts.
	DefaultMaxAttempts = 3
)

// ErrInvalid marks a route whose fields break a rule.
var ErrInvalid = errors.New("invalid route")

// namePattern matches valid names. It excludes '/', because that separates the
// organisation and the name in a row key.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Route says which requests of an organisation go to which pool.
type Route struct {
	// Name is unique within the organisation.
	Name string `json:"name"`
	// Organisation is the organisation that owns the route. No other organisation can
	// use or see the route.
	Organisation string `json:"organisation"`
	// Host is the host of the matching requests, without a port; empty matches every
	// host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole segments of the path as the caller sent it, without decoding;
	// "/" matches every path.
	PathPrefix string `json:"path_prefix"`
	// SlashRequired says that, if PathPrefix ends with '/', the path that equals the
	// prefix without its trailing '/' does not match.
	SlashRequired bool `json:"slash_required,omitempty"`
	// Methods lists the methods of the matching requests; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Pool names the pool that serves the requests.
	Pool string `json:"pool"`
	// Idempotent is true when the backend servers may run a request more than once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS is the time a request may take, in milliseconds; 0 means DefaultTimeout.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// TargetLatencyMS is the time in which an answer is of full use to the caller,
	// in milliseconds; 0 means that none is stated.
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty"`
	// Priority ranks the route against others; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the number of backend servers to which one request may be
	// sent; 0 means DefaultMaxAttempts.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// HedgeShare is the allowed ratio of second attempts to first attempts by hedging, from 0 to 1; 0
	// turns hedging off for the route. Without it (nil) the default of the settings applies.
	HedgeShare *float64 `json:"hedge_share,omitempty"`
	// Public says that callers need no credential.
	Public bool `json:"public,omitempty"`
	// Split divides the requests among pools by weight; empty sends all of them to Pool.
	Split []WeightedPool `json:"split,omitempty"`
}

// WeightedPool is a pool that gets a part of the requests of a route.
type WeightedPool struct {
	Pool string `json:"pool"`
	// Weight divided by the sum of the weights in Route.Split is the part of the
	// requests that goes to the pool.
	Weight float64 `json:"weight"`
}

// Key returns the key of the route in the configuration: its organisation, '/' and its
// name.
func (r Route) Key() string { return r.Organisation + "/" + r.Name }

// Timeout returns the time that a request of the route may take.
func (r Route) Timeout() time.Duration {
	if r.TimeoutMS == 0 {
		return DefaultTimeout
	}
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// TargetLatency returns the time in which an answer is of full use, 0 when none is stated.
func (r Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMS) * time.Millisecond
}

// AttemptLimit returns the largest number of backend servers to which one request may be
// sent.
func (r Route) AttemptLimit() int {
	if r.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return r.MaxAttempts
}

// Validate returns an error that wraps ErrInvalid and names the first field that
// breaks a rule, or nil.
func (r Route) Validate() error {
	if !ValidName(r.Name) {
		return errors.Wrapf(ErrInvalid, "route name %q is not valid: want lower-case letters, digits, '.', '_' or '-', a letter or digit first, at most %d characters", r.Name, MaxNameLength)
	}
	if !ValidName(r.Organisation) {
		return errors.Wrapf(ErrInvalid, "route %s: organisation %q is not a valid name", r.Name, r.Organisation)
	}
	if !ValidName(r.Pool) {
		return errors.Wrapf(ErrInvalid, "route %s: pool %q is not a valid name", r.Name, r.Pool)
	}
	if err := r.validateSplit(); err != nil {
		return err
	}
	if r.TargetLatencyMS < 0 || r.Priority < 0 || r.MaxAttempts < 0 {
		return errors.Wrapf(ErrInvalid, "route %s: target_latency_ms, priority and max_attempts must not be negative", r.Name)
	}
	if r.HedgeShare != nil && !(*r.HedgeShare >= 0 && *r.HedgeShare <= 1) {
		return errors.Wrapf(ErrInvalid, "route %s: hedge_share %g is outside 0 to 1", r.Name, *r.HedgeShare)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return errors.Wrapf(ErrInvalid, "route %s: path_prefix %q does not start with '/'", r.Name, r.PathPrefix)
	}
	if strings.ContainsAny(r.Host, ":/ ") || strings.ToLower(r.Host) != r.Host {
		return errors.Wrapf(ErrInvalid, "route %s: host %q is not a lower-case host name without a port", r.Name, r.Host)
	}
	for _, method := range r.Methods {
		if method == "" || strings.ToUpper(method) != method {
			return errors.Wrapf(ErrInvalid, "route %s: method %q is not upper case", r.Name, method)
		}
	}
	if r.TimeoutMS != 0 && (r.Timeout() < MinTimeout || r.Timeout() > MaxTimeout) {
		return errors.Wrapf(ErrInvalid, "route %s: timeout_ms %d is outside %s to %s", r.Name, r.TimeoutMS, MinTimeout, MaxTimeout)
	}
	return nil
}

func (r Route) validateSplit() error {
	total := 0.0
	for _, weighted := range r.Split {
		if !ValidName(weighted.Pool) || !(weighted.Weight >= 0) {
			return errors.Wrapf(ErrInvalid, "route %s: split has pool %q with weight %g: want a valid pool name and a weight of at least 0", r.Name, weighted.Pool, weighted.Weight)
		}
		total += weighted.Weight
	}
	if len(r.Split) > 0 && total == 0 {
		return errors.Wrapf(ErrInvalid, "route %s: split has only weights of 0; at least one must be above 0", r.Name)
	}
	return nil
}

// ValidName reports whether s may name a route, pool, service or organisation.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}
