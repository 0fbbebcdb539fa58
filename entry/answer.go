package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/exchange"
)

// bufferedAnswer is a complete answer that the entry has read into memory.
type bufferedAnswer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
}

// bufferAnswer reads a short answer to its end. It returns false when the answer is too long
// to buffer; the body of res can then still be read from its start. It returns
// exchange.ErrRead when the answer breaks off.
func bufferAnswer(res *http.Response) (*bufferedAnswer, bool, error) {
	complete, body, err := exchange.BufferBody(res)
	if err != nil || !complete {
		return nil, false, err
	}
	return &bufferedAnswer{status: res.StatusCode, header: res.Header, trailer: res.Trailer, body: body}, true, nil
}

// deliverBuffered sends a buffered answer to the caller.
func (rs *requestState) deliverBuffered(w http.ResponseWriter, a *bufferedAnswer) {
	rs.status.Store(int64(a.status))
	rw := exchange.NewResponseWriter(w)
	rs.writeHeader(rw, a.status, a.header, a.trailer)
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	rw.WriteTrailer(a.trailer)
}
