package exchange

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ShortBytes is the length up to which an answer is read to its end before it is relayed.
const ShortBytes = 256 << 10

// ReadShort reads a body of up to ShortBytes. whole is false when there is more;
// data is then the first part. It returns ErrRead when the body breaks off.
func ReadShort(body io.Reader) (whole bool, data []byte, err error) {
	data, err = io.ReadAll(io.LimitReader(body, ShortBytes+1))
	if err != nil {
		return false, nil, errors.Mark(err, ErrRead)
	}
	return len(data) <= ShortBytes, data, nil
}
