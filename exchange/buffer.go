package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxBufferedBytes is the maximum length of an answer that is read completely before it
// is relayed.
const MaxBufferedBytes = 256 << 10

// BufferBody reads the body of res if it has at most MaxBufferedBytes. For a longer body
// whole is false, data is the first part, and the body of res still yields all of it.
// The error is marked ErrRead when the body breaks off.
func BufferBody(res *http.Response) (whole bool, data []byte, err error) {
	data, err = readParts(io.LimitReader(res.Body, MaxBufferedBytes+1))
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

// partBytes is the size of the parts in which a body is read.
const partBytes = 16 << 10

var parts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// readParts reads r to its end. Unlike io.ReadAll it does not leave several times the size of a long body to
// the garbage collector, nor returns a slice with spare room.
func readParts(r io.Reader) ([]byte, error) {
	var read []*[partBytes]byte
	defer func() {
		for _, p := range read {
			parts.Put(p)
		}
	}()
	total := 0
	for {
		if total == len(read)*partBytes {
			read = append(read, parts.Get().(*[partBytes]byte))
		}
		n, err := r.Read(read[len(read)-1][total%partBytes:])
		total += n
		if err == nil {
			continue
		}
		if err != io.EOF {
			return nil, err
		}
		data := make([]byte, 0, total)
		for _, p := range read {
			data = append(data, p[:min(partBytes, total-len(data))]...)
		}
		return data, nil
	}
}
