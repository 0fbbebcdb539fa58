package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headEnd returns the length of the request head at the start of data, up to and including
// the empty line, or 0 when data holds only a part of it.
func headEnd(data []byte) int {
	crlf, lf := bytes.Index(data, []byte("\n\r\n")), bytes.Index(data, []byte("\n\n"))
	switch {
	case crlf < 0 && lf < 0:
		return 0
	case lf < 0 || crlf >= 0 && crlf < lf:
		return crlf + len("\n\r\n")
	}
	return lf + len("\n\n")
}

// mayBeSimple reports whether data can be the start of a request that simpleRequest accepts.
func mayBeSimple(data []byte) bool {
	for _, method := range []string{http.MethodGet + " ", http.MethodHead + " "} {
		n := min(len(method), len(data))
		if string(data[:n]) == method[:n] {
			return true
		}
	}
	return false
}

// notSimple lists the headers of requests that are left to net/http: those that announce a
// body or ask for a response to the head, and those that concern the connection.
var notSimple = []string{"Content-Length", "Trailer", "Expect", "Upgrade", "Connection", "Proxy-Connection"}

// simpleRequest parses the head of a request that has no body and does not concern the
// connection. It returns false for every other request, and for one that net/http might
// interpret in another way or reject.
func simpleRequest(head []byte) (*http.Request, bool) {
	if !mayBeSimple(head) || bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return nil, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || r.Proto != "HTTP/1.1" || !httpguts.ValidHostHeader(r.Host) || countHosts(head) != 1 {
		return nil, false
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return nil, false
	}
	for _, name := range notSimple {
		if _, ok := r.Header[name]; ok {
			return nil, false
		}
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return nil, false
			}
		}
	}
	return r, true
}

// countHosts returns the number of Host headers. http.ReadRequest removes them from the
// parsed headers.
func countHosts(head []byte) int {
	n := 0
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, _, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Host") {
			n++
		}
	}
	return n
}
