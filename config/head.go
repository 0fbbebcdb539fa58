package config

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// HeadKey is the key of the head in the store.
const HeadKey = "config/head"

// recentChanges is the number of change IDs that a head names, its own included.
const recentChanges = 64

// Prefixes of the keys of pages and of the copies of heads.
const (
	pagePrefix = "config/pages/"
	headPrefix = "config/heads/"
)

func pageKey(h Hash) string { return pagePrefix + string(h) }

// headCopyKey is the key of the immutable copy of a head.
func headCopyKey(h Hash) string { return headPrefix + string(h) }

// ChangeInfo says who made a version and why.
type ChangeInfo struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Note     string    `json:"note,omitempty"`
	Time     time.Time `json:"time"`
	// Digest tells apart two changes that were given the same ID.
	Digest Hash `json:"digest"`
}

// Ancestor names an earlier version: its change and the hash of its head.
type Ancestor struct {
	ChangeID string `json:"change_id"`
	Head     Hash   `json:"head"`
}

// headFormat is the format of heads, pages and index pages. A reader refuses a
// head of another format, which would look like empty tables.
const headFormat = 2

// Head names the index pages of a version.
type Head struct {
	Format int `json:"format"`
	// Version is 1 for the first head and rises by one with each change.
	Version uint64     `json:"version"`
	Change  ChangeInfo `json:"change"`
	// Ancestors are the previous versions, the latest first.
	Ancestors []Ancestor `json:"ancestors"`
	// Index holds the index pages of each table, in the order of their keys.
	Index map[Table][]PageRef `json:"index"`
}

// encode returns the stored form of a head, or ErrTooLarge.
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

// DecodeHead reads the stored form of a head. It returns ErrCorrupt or ErrTooLarge.
func DecodeHead(data []byte) (Head, error) {
	if len(data) > maxBytes {
		return Head{}, errors.Wrapf(ErrTooLarge, "head has %d bytes, the limit is %d", len(data), maxBytes)
	}
	var h Head
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&h); err != nil {
		return Head{}, mark(errors.Wrap(err, "head"), ErrCorrupt)
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
		return errors.Wrapf(ErrCorrupt, "head of version %d names %d ancestors", h.Version, len(h.Ancestors))
	}
	for _, a := range h.Ancestors {
		if !a.Head.valid() {
			return errors.Wrapf(ErrCorrupt, "head of version %d: bad hash %q of change %q", h.Version, a.Head, a.ChangeID)
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

// next returns the head that follows h, whose own hash is given; h is zero before the first version.
func (h Head) next(own Hash, change ChangeInfo, index map[Table][]PageRef) Head {
	n := Head{Format: headFormat, Version: h.Version + 1, Change: change, Ancestors: []Ancestor{}, Index: index}
	if h.Version == 0 {
		return n
	}
	n.Ancestors = append(n.Ancestors, Ancestor{ChangeID: h.Change.ID, Head: own})
	kept := min(len(h.Ancestors), recentChanges-2)
	n.Ancestors = append(n.Ancestors, h.Ancestors[:kept]...)
	return n
}

// recent returns the version that the change of an ID made, if the head names it.
func (h Head) recent(changeID string) (uint64, bool) {
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
