package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxBufferedBytes is the maximum length of an answer that is read completely before it
// is relayed.
const MaxBufferedBytes = 256 << 10

// BufferBody reads the body of res if it has at most MaxBufferedBytes. For a longer body
// whole is false, data is the first part, and the body of res still yields all of it.
// The error is marked ErrRead when the body breaks off.
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
