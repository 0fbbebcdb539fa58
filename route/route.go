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
	// DefaultMaxAttempts bounds the backend servers that one request is sent to.
	DefaultMaxAttempts = 3
)

// ErrInvalid marks a route whose fields break a rule.
var ErrInvalid = errors.New("invalid route")

// namePattern excludes '/', which separates organisation and name in a row key.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Route says which requests of an organisation go to which pool.
type Route struct {
	// Name is unique within the organisation.
	Name string `json:"name"`
	// Organisation owns the route; no other organisation can use or see it.
	Organisation string `json:"organisation"`
	// Host is the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments; "/" matches every path.
	PathPrefix string `json:"path_prefix"`
	// SlashRequired keeps a prefix that ends with '/' from matching the path without it.
	SlashRequired bool `json:"slash_required,omitempty"`
	// Methods lists the matching methods; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Pool names the pool that serves the requests.
	Pool string `json:"pool"`
	// Idempotent is true when the work may run more than once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS is the time a request may take, in milliseconds; 0 means DefaultTimeout.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// TargetLatencyMS is the time in which an answer is of full use to the caller,
	// in milliseconds; 0 means that none is stated.
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty"`
	// Priority ranks the route against others; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the backend servers to which one request may be sent;
	// 0 means DefaultMaxAttempts.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Split shares the requests among pools by weight; empty sends all of them to Pool.
	Split []WeightedPool `json:"split,omitempty"`
}

// WeightedPool is the part of a route's requests that goes to one pool.
type WeightedPool struct {
	Pool string `json:"pool"`
	// Weight is relative to the other shares of the route.
	Weight float64 `json:"weight"`
}

// Key returns the row key of the route: organisation and name.
func (r Route) Key() string { return r.Organisation + "/" + r.Name }

// Timeout returns the time a request of the route may take.
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

// Attempts returns the number of backend servers to which one request may be sent.
func (r Route) Attempts() int {
	if r.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return r.MaxAttempts
}

// Validate returns ErrInvalid with the first field that breaks a rule.
func (r Route) Validate() error {
	if !ValidName(r.Name) {
		return errors.Wrapf(ErrInvalid, "name %q: want lower-case letters, digits, '.', '_' or '-', at most %d", r.Name, MaxNameLength)
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
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return errors.Wrapf(ErrInvalid, "route %s: path_prefix %q does not start with '/'", r.Name, r.PathPrefix)
	}
	if strings.ContainsAny(r.Host, ":/ ") || strings.ToLower(r.Host) != r.Host {
		return errors.Wrapf(ErrInvalid, "route %s: host %q: want a lower-case host name without port", r.Name, r.Host)
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
	for _, share := range r.Split {
		if !ValidName(share.Pool) || !(share.Weight >= 0) {
			return errors.Wrapf(ErrInvalid, "route %s: split to %q with weight %g: want a pool and a weight of at least 0", r.Name, share.Pool, share.Weight)
		}
		total += share.Weight
	}
	if len(r.Split) > 0 && total == 0 {
		return errors.Wrapf(ErrInvalid, "route %s: the weights of its split are all 0", r.Name)
	}
	return nil
}

// ValidName reports whether s may name a route, pool, service or organisation.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}
