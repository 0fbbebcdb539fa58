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
// to buffer, or when the answers of other requests take the memory for it; the body of res can then
// still be read from its start. It returns exchange.ErrRead when the answer breaks off.
func (rs *requestState) bufferAnswer(res *http.Response) (*bufferedAnswer, bool, error) {
	size := int64(exchange.MaxBufferedBytes)
	if res.ContentLength >= 0 {
		size = min(size, res.ContentLength)
	}
	if !rs.answerMemory.Take(size) {
		return nil, false, nil
	}
	complete, body, err := exchange.BufferBody(res)
	if err != nil {
		rs.answerMemory.Return(size)
		return nil, false, err
	}
	if !complete {
		return nil, false, nil
	}
	rs.answerMemory.Return(size - int64(len(body)))
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
