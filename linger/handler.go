package linger

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxRestBytes is the size up to which the rest of a body is read before an answer, so that the
	// connection can be kept.
	maxRestBytes = 256 << 10
	// maxRestTime bounds how long the answer waits for that.
	maxRestTime = 200 * time.Millisecond
)

// handler keeps the server from reading requests behind an unread body.
type handler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoMajor != 1 {
		h.next.ServeHTTP(w, r)
		return
	}
	if r.ProtoMinor > 0 {
		h.serve(c, w, r)
		return
	}
	// An answer to HTTP/1.0 may end with the connection. Until the handler has returned, whatever
	// closes the connection must not make the answer look complete.
	c.setUnfinished(true)
	h.serve(c, w, r)
	c.setUnfinished(false)
}

// serve serves a request of HTTP/1 on the connection.
func (h *handler) serve(c *conn, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	// net/http looks at the body of its own copy of the request.
	inner := r.WithContext(r.Context())
	b := &body{ReadCloser: r.Body, outer: r, inner: inner}
	rw := &responseWriter{ResponseWriter: w, request: r, body: b}
	defer func() {
		if rw.closing || !b.ended.Load() {
			c.end()
		}
	}()
	inner.Body = b
	h.next.ServeHTTP(rw, inner)
	rw.beforeAnswer()
}

// body is a request body that knows whether it was read to its end.
type body struct {
	io.ReadCloser
	// outer is the request of net/http, which gets the trailer at the end of the body, inner the one
	// of the handler.
	outer, inner *http.Request
	read         atomic.Int64
	ended        atomic.Bool
	failed       atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	switch {
	case err == io.EOF:
		b.inner.Trailer = b.outer.Trailer
		b.ended.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// responseWriter announces the close of the connection in an answer that is given before the body
// of the request has ended.
type responseWriter struct {
	http.ResponseWriter
	request    *http.Request
	body       *body
	fullDuplex bool
	// answered is set once the answer has begun, closing when it announces the close.
	answered, closing bool
}

// beforeAnswer prepares the headers of the answer.
func (w *responseWriter) beforeAnswer() {
	if w.answered {
		return
	}
	w.answered = true
	if w.body.ended.Load() || w.readRest() {
		return
	}
	w.closing = true
	w.Header().Set("Connection", "close")
}

// readRest reads the rest of a body if it is short, and reports whether the body has ended. It
// does not read a body that the client may not have begun to send, or that the handler may be
// reading.
func (w *responseWriter) readRest() bool {
	rest := w.request.ContentLength - w.body.read.Load()
	if w.fullDuplex || w.body.failed.Load() || rest > maxRestBytes || w.request.Header.Get("Expect") != "" {
		return false
	}
	controller := http.NewResponseController(w.ResponseWriter)
	if controller.SetReadDeadline(time.Now().Add(maxRestTime)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, w.body, maxRestBytes+1)
	return err == io.EOF && w.body.ended.Load() && controller.SetReadDeadline(time.Time{}) == nil
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeAnswer()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.beforeAnswer()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written so far. http.ResponseController uses it.
func (w *responseWriter) FlushError() error {
	w.beforeAnswer()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// EnableFullDuplex lets the handler read the body after it has begun the answer.
func (w *responseWriter) EnableFullDuplex() error {
	w.fullDuplex = true
	return http.NewResponseController(w.ResponseWriter).EnableFullDuplex()
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
