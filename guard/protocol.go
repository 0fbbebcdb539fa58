package guard

import (
	"net/http"
	"strconv"
	"time"
)

// ResponseClass tells what a response says about the request that the guard sent.
type ResponseClass int

// Classes of responses. Misdirected and Mismatched are easily confused: a misdirected
// request reached the wrong process, which did not run it, so it is safe to send again;
// a mismatched response is not the answer to the request, which may have run.
const (
	// Matching responses answer the request.
	Matching ResponseClass = iota
	// Overloaded responses state that the backend server did not run the request, possibly
	// for lack of capacity.
	Overloaded
	// Declined responses state that the backend server did not run the request although it
	// had capacity, so that sending it fewer requests would not help.
	Declined
	// Misdirected means that the request reached another process than the intended backend
	// server, and that this process did not run it. The attempt ends as not run.
	Misdirected
	// Mismatched means that the response is not a valid answer to this request, for example
	// because it answers another request. The answer to this request is lost: the attempt
	// ends as unknown, and the connection is closed.
	Mismatched
)

// Delivery describes a request that is about to be sent to a backend server.
type Delivery struct {
	// Instance identifies the process of the backend server; it may be empty.
	Instance string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Protocol is the HTTP protocol between the guard and the backend servers.
type Protocol interface {
	// RequestID returns the ID of the request for logs; it may be empty.
	RequestID(h http.Header) string
	// Prepare sets the headers that the backend server expects.
	Prepare(h http.Header, d Delivery)
	// EndToEndHeaders returns the names, in canonical form, of the headers of requests and answers
	// that pass the guard whatever their Connection headers say.
	EndToEndHeaders() []string
	// ClassifyResponse returns the class of a response to the request.
	ClassifyResponse(request *http.Request, response *http.Response) ResponseClass
}

// Native is the project's own protocol for backend servers.
type Native struct{}

// RequestID implements Protocol.
func (Native) RequestID(http.Header) string { return "" }

// Prepare implements Protocol.
func (Native) Prepare(h http.Header, d Delivery) {
	h.Set("Request-Timeout", strconv.FormatFloat(d.Remaining.Seconds(), 'f', 3, 64))
}

// EndToEndHeaders implements Protocol.
func (Native) EndToEndHeaders() []string { return nil }

// ClassifyResponse implements Protocol.
func (Native) ClassifyResponse(*http.Request, *http.Response) ResponseClass { return Matching }
