package exchange

import (
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Errors of reading and relaying a response body.
var (
	// ErrRead marks a response body that broke off.
	ErrRead = errors.New("response body broke off")
	// ErrWrite marks a failed write to the receiver of the response.
	ErrWrite = errors.New("write to the receiver of the response failed")
)

const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ResponseWriter writes one response. Informational responses may arrive concurrently
// from the transport until WriteHeader is called.
type ResponseWriter struct {
	w            http.ResponseWriter
	mu           sync.Mutex
	finalStarted bool
	trailerNames http.Header
}

// NewResponseWriter returns a ResponseWriter that writes to w.
func NewResponseWriter(w http.ResponseWriter) *ResponseWriter { return &ResponseWriter{w: w} }

// Informational forwards a 1xx response, unless the final response has started.
// It drops 100 and 101, which apply to a single connection.
func (r *ResponseWriter) Informational(code int, header textproto.MIMEHeader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finalStarted || code <= http.StatusSwitchingProtocols {
		return
	}
	h := r.w.Header()
	before := maps.Clone(h)
	maps.Copy(h, http.Header(header))
	hop.DropProjectHeaders(h)
	r.w.WriteHeader(code)
	clear(h)
	maps.Copy(h, before)
}

// StopInformational makes Informational drop all responses from now on. It does not end the
// response.
func (r *ResponseWriter) StopInformational() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalStarted = true
}

// WriteHeader writes status and headers. trailer names the trailers that will follow.
func (r *ResponseWriter) WriteHeader(status int, header, trailer http.Header) {
	r.StopInformational()
	h := r.w.Header()
	maps.Copy(h, header)
	if _, ok := header["Content-Type"]; !ok {
		// Keeps the HTTP server from guessing the content type.
		h["Content-Type"] = nil
	}
	r.trailerNames = trailerNames(trailer)
	// Package pipeline would send a header that is also named as a trailer after the body only.
	maps.DeleteFunc(r.trailerNames, func(name string, _ []string) bool { return len(header[name]) > 0 })
	for name := range r.trailerNames {
		h.Add("Trailer", name)
	}
	r.w.WriteHeader(status)
}

// Copy writes body and passes each part to tee. It flushes each part when flush
// is set. It returns the number of bytes written, and an error marked ErrRead or ErrWrite.
func (r *ResponseWriter) Copy(body io.Reader, flush bool, tee func([]byte)) (int64, error) {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	var written int64
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			tee(buffer[:n])
			m, err := r.w.Write(buffer[:n])
			written += int64(m)
			if err != nil {
				return written, errors.Mark(err, ErrWrite)
			}
		}
		if err == io.EOF {
			return written, nil
		}
		if err != nil {
			return written, errors.Mark(err, ErrRead)
		}
		if flush {
			r.Flush()
		}
	}
}

// Flush sends what was written so far.
func (r *ResponseWriter) Flush() { http.NewResponseController(r.w).Flush() }

// WriteTrailer writes the trailers after the body.
func (r *ResponseWriter) WriteTrailer(trailer http.Header) {
	h := r.w.Header()
	for name, values := range trailer {
		if strings.HasPrefix(name, hop.HeaderPrefix) {
			continue
		}
		if _, ok := r.trailerNames[name]; !ok {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}
