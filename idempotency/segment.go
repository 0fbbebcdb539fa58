package idempotency

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// ErrMalformed marks a key or a segment that this package did not write.
var ErrMalformed = errors.New("malformed key or segment")

// ParseKey returns the key in a message. It returns ErrMalformed.
func ParseKey(b []byte) (Key, error) {
	if len(b) != keyBytes {
		return Key{}, errors.Wrapf(ErrMalformed, "key of %d bytes", len(b))
	}
	return Key(b), nil
}

// ParseSegment decodes a segment. It returns ErrMalformed.
func ParseSegment(b []byte) (*pb.KeySegment, error) {
	segment := &pb.KeySegment{}
	if err := proto.Unmarshal(b, segment); err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	for _, r := range segment.GetRecords() {
		if _, err := ParseKey(r.GetKey()); err != nil {
			return nil, err
		}
	}
	return segment, nil
}
