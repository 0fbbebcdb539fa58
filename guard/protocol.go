package guard

import (
	"net/http"
	"strconv"
	"time"
)

// ResponseClass is what a response of a backend server means.
type ResponseClass int

// Classes of a response.
const (
	// Matching responses answer the request.
	Matching ResponseClass = iota
	// Overloaded responses state that the backend server did not run the request, and
	// may do so for lack of room.
	Overloaded
	// Declined responses state that the backend server did not run the request although
	// it had room, so that sending it less work would not help.
	Declined
	// Misdirected responses come from another backend server, which did not run the request.
	Misdirected
	// Mismatched responses do not answer the request, whose own answer is lost.
	Mismatched
)

// Delivery is a request on its way to a backend server.
type Delivery struct {
	// Instance identifies the process of the backend server; it may be empty.
	Instance string
	// Remaining is the time in which the answer is of use.
	Remaining time.Duration
}

// Protocol is the interface between the guard and backend servers.
type Protocol interface {
	// RequestID returns the name of the request in logs; it may be empty.
	RequestID(h http.Header) string
	// Prepare sets the headers that the backend server expects.
	Prepare(h http.Header, d Delivery)
	// ClassifyResponse tells what a response to the request means.
	ClassifyResponse(request *http.Request, response *http.Response) ResponseClass
}

// Native is the project's own interface to backend servers.
type Native struct{}

// RequestID implements Protocol.
func (Native) RequestID(http.Header) string { return "" }

// Prepare implements Protocol.
func (Native) Prepare(h http.Header, d Delivery) {
	h.Set("Request-Timeout", strconv.FormatFloat(d.Remaining.Seconds(), 'f', 3, 64))
}

// ClassifyResponse implements Protocol.
func (Native) ClassifyResponse(*http.Request, *http.Response) ResponseClass { return Matching }
