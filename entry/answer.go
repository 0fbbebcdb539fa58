package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/exchange"
)

// answer is a complete answer that the entry holds.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
}

// hold reads a short answer to its end. It returns false when the answer is too
// long to hold; the body of res then still has all of it. It returns
// exchange.ErrRead when the answer breaks off.
func hold(res *http.Response) (*answer, bool, error) {
	whole, body, err := exchange.BufferBody(res)
	if err != nil || !whole {
		return nil, false, err
	}
	return &answer{status: res.StatusCode, header: res.Header, trailer: res.Trailer, body: body}, true, nil
}

// deliverHeld sends an answer to the caller.
func (t *task) deliverHeld(w http.ResponseWriter, a *answer) {
	t.status = a.status
	reply := exchange.NewResponseWriter(w)
	t.sendHead(reply, a.status, a.header, a.trailer)
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	reply.WriteTrailer(a.trailer)
}
