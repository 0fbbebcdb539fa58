package admission

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// maxPriority bounds each part of a priority in the header. Less urgent ones are sent as maxPriority.
const maxPriority = 1 << 20

// Priority ranks requests: by that of the organisation first, then by that of the route. 0 is
// the most urgent.
type Priority struct{ Organisation, Route int }

// Compare returns a negative number if p is more urgent than o, and 0 if they are equal.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, o.Organisation), cmp.Compare(p.Route, o.Route))
}

// String formats the priority for hop.HeaderPriority, such as "1,2".
func (p Priority) String() string {
	return fmt.Sprintf("%d,%d", min(p.Organisation, maxPriority), min(p.Route, maxPriority))
}

// ParsePriority parses the value of hop.HeaderPriority. An empty value is the zero Priority.
func ParsePriority(s string) (Priority, error) {
	if s == "" {
		return Priority{}, nil
	}
	first, second, _ := strings.Cut(s, ",")
	organisation, err := parsePriorityPart(first)
	if err != nil {
		return Priority{}, fmt.Errorf("priority %q: %w", s, err)
	}
	route, err := parsePriorityPart(second)
	if err != nil {
		return Priority{}, fmt.Errorf("priority %q: %w", s, err)
	}
	return Priority{organisation, route}, nil
}

func parsePriorityPart(s string) (int, error) {
	n, err := strconv.ParseUint(s, 10, 32)
	if err == nil && n > maxPriority {
		err = strconv.ErrRange
	}
	return int(n), err
}

// Rank orders the requests that compete for the slots of a backend server: calls first, then by
// priority.
type Rank struct {
	Call     bool
	Priority Priority
}

// Compare returns a negative number if r is served before o, and 0 if the ranks are equal.
func (r Rank) Compare(o Rank) int {
	switch {
	case r.Call == o.Call:
		return r.Priority.Compare(o.Priority)
	case r.Call:
		return -1
	}
	return 1
}

// Request is a request offered to a queue.
type Request struct {
	ID           string
	Organisation string
	Route        string
	Priority     Priority
	// Call is set for a request that a backend server sent while it handles another one, which
	// fails if the call is refused.
	Call bool
	// Deadline is the time from which on the answer is useless.
	Deadline time.Duration
	// MaxWait is how long the request may wait here although other backend servers might serve it
	// sooner. The queue may let it wait longer than that, but not shorter.
	MaxWait time.Duration
}

// Decision is the immediate result of an offer.
type Decision int

// The decisions on an offer.
const (
	Refused Decision = iota
	Queued
	Dispatched
)

// OfferResult is the decision on an offer, with the reason for a refusal and the expected wait.
type OfferResult struct {
	Decision Decision
	Reason   hop.Reason
	Wait     time.Duration
}

// Drop names a queued request that will not run and says why.
type Drop struct {
	ID     string
	Reason hop.Reason
}

// Actions is what the caller must do after an event: send the requests in Dispatch to
// the backend server, in order, and answer those in Drop as not run.
type Actions struct {
	Dispatch []string
	Drop     []Drop
}

// Result is how a dispatched request ended.
type Result int

// The results of a dispatched request.
const (
	Answered Result = iota
	// Shed means that the backend server refused the request because it is overloaded.
	Shed
	Failed
	Cancelled
)
