package config

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// HeadKey is the store key of the head in force.
const HeadKey = "config/head"

// recentChanges is the number of changes whose IDs a head records: its own and those of its ancestors.
const recentChanges = 64

// Prefixes of the store keys of pages and of the immutable copies of heads.
const (
	pagePrefix = "config/pages/"
	headPrefix = "config/heads/"
)

func pageKey(h Hash) string { return pagePrefix + string(h) }

// headCopyKey returns the store key of the immutable copy of a head.
func headCopyKey(h Hash) string { return headPrefix + string(h) }

// ChangeInfo records the change that made a version: who made it, when and why.
type ChangeInfo struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Note     string    `json:"note,omitempty"`
	Time     time.Time `json:"time"`
	// Digest is the hash of the content of the change. It distinguishes two changes that were given
	// the same ID.
	Digest Hash `json:"digest"`
}

// Ancestor refers to an earlier version by the ID of its change and the hash of its head.
type Ancestor struct {
	ChangeID string `json:"change_id"`
	Head     Hash   `json:"head"`
}

// headFormat is the format of heads, pages and index pages. A head of another format
// is rejected, because it would decode to empty tables.
const headFormat = 2

// Head is the root of a version: it records the change that made the version and refers to
// the ancestors and to the index pages.
type Head struct {
	Format int `json:"format"`
	// Version is 1 for the first head and rises by one with each change.
	Version uint64     `json:"version"`
	Change  ChangeInfo `json:"change"`
	// Ancestors are the previous versions, the latest first.
	Ancestors []Ancestor `json:"ancestors"`
	// Index holds the references to the index pages of each table, in the order of their keys.
	Index map[Table][]PageRef `json:"index"`
}

// encode returns the encoded head as it is stored, or ErrTooLarge.
func (h Head) encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	if len(data) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "head of version %d with %d index pages has %d bytes, the limit is %d",
			h.Version, h.indexCount(), len(data), maxBytes)
	}
	return data, nil
}

func (h Head) indexCount() int {
	n := 0
	for _, refs := range h.Index {
		n += len(refs)
	}
	return n
}

// DecodeHead decodes and checks a stored head. Its errors are ErrCorrupt and ErrTooLarge.
func DecodeHead(data []byte) (Head, error) {
	if len(data) > maxBytes {
		return Head{}, errors.Wrapf(ErrTooLarge, "head has %d bytes, the limit is %d", len(data), maxBytes)
	}
	var h Head
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&h); err != nil {
		return Head{}, mark(errors.Wrap(err, "decode head"), ErrCorrupt)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Head{}, errors.Wrap(ErrCorrupt, "head is followed by other data")
	}
	return h, h.check()
}

func (h Head) check() error {
	if h.Format != headFormat {
		return errors.Wrapf(ErrCorrupt, "head has format %d, want %d", h.Format, headFormat)
	}
	want := min(h.Version-1, recentChanges-1)
	if h.Version == 0 || uint64(len(h.Ancestors)) != want {
		return errors.Wrapf(ErrCorrupt, "head of version %d has the wrong number of ancestors: %d", h.Version, len(h.Ancestors))
	}
	for _, a := range h.Ancestors {
		if !a.Head.valid() {
			return errors.Wrapf(ErrCorrupt, "head of version %d: invalid head hash %q of the ancestor made by change %q", h.Version, a.Head, a.ChangeID)
		}
	}
	for table, refs := range h.Index {
		if !slices.Contains(tables, table) {
			return errors.Wrapf(ErrCorrupt, "head of version %d: unknown table %q", h.Version, table)
		}
		if err := checkRefs(refs); err != nil {
			return errors.Wrapf(err, "head of version %d: index of %s", h.Version, table)
		}
	}
	return nil
}

// next returns the head of the version after h. ownHash is the hash of h, and h is the zero Head
// before the first version.
func (h Head) next(ownHash Hash, change ChangeInfo, index map[Table][]PageRef) Head {
	n := Head{Format: headFormat, Version: h.Version + 1, Change: change, Ancestors: []Ancestor{}, Index: index}
	if h.Version == 0 {
		return n
	}
	n.Ancestors = append(n.Ancestors, Ancestor{ChangeID: h.Change.ID, Head: ownHash})
	kept := min(len(h.Ancestors), recentChanges-2)
	n.Ancestors = append(n.Ancestors, h.Ancestors[:kept]...)
	return n
}

// recentVersion returns the version that the change with the given ID made, if h records that change.
func (h Head) recentVersion(changeID string) (uint64, bool) {
	if h.Version > 0 && h.Change.ID == changeID {
		return h.Version, true
	}
	for i, a := range h.Ancestors {
		if a.ChangeID == changeID {
			return h.Version - 1 - uint64(i), true
		}
	}
	return 0, false
}
