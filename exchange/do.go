// Package exchange sends an HTTP request at most once over http.Transport,
// reports whether any of it may have been sent, and relays the response.
package exchange

import (
	"cmp"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNoResponse marks a request without a response.
var ErrNoResponse = errors.New("no response")

// errTooManyInformational means that a server sent informational responses without end.
var errTooManyInformational = errors.New("too many informational responses")

// errUnsolicited means that a response had begun before its request was sent.
var errUnsolicited = errors.New("response began before the request was sent")

// errNotFinal means that the status of a response is not one that can end an exchange.
var errNotFinal = errors.New("the status of the response is not between 200 and 599")

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// errMalformedTrailer means that a field of the trailer of a response has no valid name.
var errMalformedTrailer = errors.New("the trailer of the response is malformed")

// maxInformational bounds the informational responses to one request. http.Transport leaves that to
// the receiver of these responses.
const maxInformational = 16

// tracker records which connection one request uses, the last one if there are several.
type tracker struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore int64
	mayHaveSent  bool
	// accept is nil while the request has no connection.
	accept func()
	// unsolicited is set when the response began before the request was sent.
	unsolicited bool
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.mayHaveSent = true
		return
	}
	if t.conn != nil {
		// http.Transport sends a request that can be replayed again when a reused connection has broken.
		t.mayHaveSent = true
		t.accept()
	}
	t.conn = c
	t.writesBefore, t.accept = c.begin()
}

// gotFirstResponseByte records whether the response began before the request was sent. The
// transport reads from the connection only while its buffer is empty, so the first byte came with
// the last Read.
func (t *tracker) gotFirstResponseByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.unsolicited = t.conn.readBefore(t.writesBefore)
	}
}

func (t *tracker) isUnsolicited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsolicited
}

// head returns what is known of the head of the response.
func (t *tracker) head() headScanner {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return headScanner{}
	}
	return t.conn.scannedHead()
}

// acceptResponse lets the connection carry the next request.
func (t *tracker) acceptResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accept != nil {
		t.accept()
	}
}

// stopWrites prevents further writes and reports whether any byte of the request may
// have been sent.
func (t *tracker) stopWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.mayHaveSent
	}
	defer t.accept()
	return t.conn.stopWrites() > t.writesBefore || t.mayHaveSent
}

// Do sends req, which must come from NewRequest unless it may be sent more than once. on1xx receives informational responses.
// The connection carries its next request only once the body of the response is read from or closed.
// A response that began before the request was sent, whose status is not final or whose head is malformed, is an
// error.
// An error is marked ErrNoResponse; sent is then false only when the receiver cannot act
// on the request: no byte of it was or can be sent, or it has an Expect header and none
// of its body was or can be sent.
func Do(t http.RoundTripper, req *http.Request, on1xx func(int, textproto.MIMEHeader)) (res *http.Response, sent bool, err error) {
	tr := &tracker{}
	informational := 0
	trace := &httptrace.ClientTrace{
		GotConn:              tr.gotConn,
		GotFirstResponseByte: tr.gotFirstResponseByte,
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return errTooManyInformational
			}
			on1xx(code, header)
			return nil
		},
	}
	res, err = t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		err = checkResponse(res, tr)
	}
	if err == nil {
		res.Body = &responseBody{ReadCloser: res.Body, response: res, tracker: tr}
		return res, true, nil
	}
	if res != nil {
		defer res.Body.Close()
	}
	if head := tr.head(); head.isMalformed() {
		// http.Transport tells only that the head is not complete.
		err = errMalformedHead
	}
	sent = tr.stopWrites()
	if body, ok := req.Body.(*Body); ok && req.Header.Get("Expect") != "" {
		// The receiver acts only on a request with its body, which the transport sends
		// only once the receiver has asked for it.
		body.Close()
		sent = sent && body.started.Load()
	}
	return nil, sent, errors.Mark(err, ErrNoResponse)
}

// checkResponse reports why a response cannot be the one to its request.
func checkResponse(res *http.Response, tr *tracker) error {
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		// http.Transport returns 101, for which nobody has asked, and every other number of three digits.
		return errNotFinal
	}
	if tr.isUnsolicited() {
		return errUnsolicited
	}
	if head := tr.head(); head.coded && !res.ProtoAtLeast(1, 1) {
		// http.Transport ignores a transfer coding of HTTP/1.0, which knows none, and takes the chunks for the body.
		return errMalformedHead
	}
	return nil
}

// responseBody is the body of a response with the tracker of its connection.
type responseBody struct {
	io.ReadCloser
	tracker *tracker
	// response is nil once the body has been read to its end, and end is then what a Read returns.
	response *http.Response
	end      error
}

// Read implements io.Reader. A body ends with io.EOF only if the trailer behind it is well-formed.
func (b *responseBody) Read(p []byte) (int, error) {
	b.tracker.acceptResponse()
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	return n, b.endError()
}

// endError returns io.EOF, or the error of a malformed trailer. It lets go of the response, whose Body may have been
// replaced by a long text: a caller that closes this body late does not keep that in memory.
func (b *responseBody) endError() error {
	if b.response != nil {
		b.end = cmp.Or(checkTrailer(b.response.Trailer), io.EOF)
		b.response = nil
	}
	return b.end
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.tracker.acceptResponse()
	return b.ReadCloser.Close()
}

// Discard closes a response that Do returned, and its connection, which is not used again.
func Discard(res *http.Response) {
	if b, ok := res.Body.(*responseBody); ok {
		b.tracker.stopWrites()
	}
	res.Body.Close()
}
