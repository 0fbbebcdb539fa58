package pipeline

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/membudget"
)

// maxHeldBytes is the size up to which a response is held until its turn. A longer one is
// written as it comes, once its turn has come.
const maxHeldBytes = 256 << 10

// maxCopiedBytes is the size up to which a held response is copied to be sent together with its head.
const maxCopiedBytes = 16 << 10

// response is the http.ResponseWriter of an exchange. It drops informational responses.
type response struct {
	exchange *exchange
	request  *http.Request
	header   http.Header
	// status is 0 until WriteHeader is called.
	status int
	// length is the Content-Length that the handler has set, or -1.
	length int64
	// written is the number of body bytes that the handler has written, also for a HEAD request,
	// whose response has no body.
	written int64
	held    bytes.Buffer
	// heldMemory is what held takes of the memory for all held responses.
	heldMemory *membudget.Lease
	// started is set once the head has been sent; chunked says how the body is then framed.
	started, chunked bool
	err              error
}

func newResponse(e *exchange, r *http.Request) *response {
	return &response{exchange: e, request: r, header: make(http.Header), length: -1, heldMemory: e.conn.server.answers.Lease()}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else {
		w.header.Del("Content-Length")
	}
}

// hasTurn reports whether all earlier responses have been written.
func (e *exchange) hasTurn() bool {
	select {
	case <-e.turn:
		return true
	default:
		return false
	}
}

// hasBody reports whether a response to the request has a body.
func (w *response) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if w.request.Method == http.MethodHead {
		w.written += int64(len(p))
		return len(p), nil
	}
	if !w.hasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.started && len(p) > maxCopiedBytes && w.length >= 0 && w.held.Len() == 0 && w.exchange.hasTurn() {
		// The response need not wait, its head is known, and it is too long to be copied behind the head.
		w.start()
	}
	if !w.started && w.held.Len()+len(p) <= maxHeldBytes && w.heldMemory.Take(int64(len(p))) {
		return w.held.Write(p)
	}
	w.start()
	w.writeBody(p)
	return len(p), w.err
}

// Flush implements http.Flusher.
func (w *response) Flush() {
	w.WriteHeader(http.StatusOK)
	w.start()
}

// start waits for the turn of the response and sends the head and what is held of the body.
func (w *response) start() {
	if w.started || w.err != nil {
		return
	}
	w.started = true
	w.chunked = w.hasBody() && w.length < 0
	if w.chunked {
		w.header.Set("Transfer-Encoding", "chunked")
	}
	w.sendHead()
	if w.held.Len() > 0 {
		held := bytes.Clone(w.held.Bytes())
		w.held.Reset()
		w.writeBody(held)
	}
}

// sendHead sends the head together with the body that is held, unless that is chunked.
func (w *response) sendHead() {
	e := w.exchange
	<-e.turn
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if e.conn.isFinal(e) {
		w.header.Set("Connection", "close")
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	trailers := w.trailerNames()
	exclude := make(map[string]bool)
	for _, name := range trailers {
		exclude[name] = true
	}
	if err := w.header.WriteSubset(&head, exclude); err != nil {
		w.fail(err)
		return
	}
	head.WriteString("\r\n")
	if w.chunked {
		w.send(head.Bytes())
		return
	}
	if w.held.Len() <= maxCopiedBytes {
		head.Write(w.held.Bytes())
		w.held.Reset()
	}
	w.send(head.Bytes())
	if w.held.Len() > 0 {
		w.send(w.held.Bytes())
		w.held.Reset()
	}
}

// writeBody sends a part of the body after the head.
func (w *response) writeBody(p []byte) {
	if !w.chunked {
		w.send(p)
		return
	}
	if len(p) == 0 {
		return
	}
	part := make([]byte, 0, len(p)+16)
	part = strconv.AppendInt(part, int64(len(p)), 16)
	part = append(part, "\r\n"...)
	part = append(part, p...)
	w.send(append(part, "\r\n"...))
}

func (w *response) send(p []byte) {
	if w.err != nil {
		return
	}
	if w.exchange.conn.isGone() {
		w.err = net.ErrClosed
		return
	}
	if _, err := w.exchange.conn.net.Write(p); err != nil {
		w.fail(err)
	}
}

// fail ends the connection, because the response on it is not complete.
func (w *response) fail(err error) {
	w.err = err
	w.exchange.conn.abort()
}

// trailerNames returns the names of the trailers that the handler has set or announced.
func (w *response) trailerNames() []string {
	var names []string
	for _, value := range w.header.Values("Trailer") {
		for _, name := range strings.Split(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range w.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			names = append(names, name)
		}
	}
	return names
}

// finish sends what has not been sent. It returns an error when the connection cannot be used
// for a further response, as after a response that is shorter than its Content-Length.
func (w *response) finish() error {
	w.WriteHeader(http.StatusOK)
	if w.length >= 0 && w.hasBody() && w.written < w.length {
		<-w.exchange.turn
		return http.ErrAbortHandler
	}
	if !w.started && len(w.trailerNames()) > 0 && w.hasBody() {
		w.length = -1
		w.header.Del("Content-Length")
		w.start()
	}
	if !w.started {
		if w.hasBody() || w.length < 0 && w.written > 0 {
			w.header.Set("Content-Length", strconv.FormatInt(w.written, 10))
		}
		w.started = true
		w.sendHead()
	}
	if w.chunked {
		w.sendTrailer()
	}
	return w.err
}

func (w *response) sendTrailer() {
	trailer := make(http.Header)
	for _, name := range w.trailerNames() {
		trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = w.header[name]
	}
	var end bytes.Buffer
	end.WriteString("0\r\n")
	if err := trailer.Write(&end); err != nil {
		w.fail(err)
		return
	}
	end.WriteString("\r\n")
	w.send(end.Bytes())
}
