package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxBufferedBytes is the length up to which an answer is read to its end before it is relayed.
const MaxBufferedBytes = 256 << 10

// BufferBody reads the body of an answer of up to MaxBufferedBytes. whole is false when there is
// more; data is then the first part, and the body of res still has all of it. It returns
// ErrRead when the body breaks off.
func BufferBody(res *http.Response) (whole bool, data []byte, err error) {
	data, err = io.ReadAll(io.LimitReader(res.Body, MaxBufferedBytes+1))
	if err != nil {
		return false, nil, errors.Mark(err, ErrRead)
	}
	if len(data) <= MaxBufferedBytes {
		return true, data, nil
	}
	res.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), res.Body), res.Body}
	return false, data, nil
}
