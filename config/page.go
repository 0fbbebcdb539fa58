package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Table names one of the tables of rows.
type Table string

// The tables.
const (
	Routes        Table = "routes"
	Pools         Table = "pools"
	Organisations Table = "organisations"
)

// tables lists the tables in the order of messages and diffs.
var tables = []Table{Routes, Pools, Organisations}

// entriesPerPage is the mean number of rows of a page, and of pages of an index page.
const entriesPerPage = 64

// maxBytes bounds an encoded page or head, by the largest value of the store.
const maxBytes = objectstore.MaxValueBytes

// Hash is the SHA-256 of an encoded page or head, in unpadded URL-safe base64.
// Base64 makes heads and index pages a third smaller than hexadecimal.
type Hash string

// hashOf returns the hash of an encoded page or head.
func hashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// valid reports whether h can be a hash, and so is safe in a key of the store.
func (h Hash) valid() bool {
	b, err := base64.RawURLEncoding.Strict().DecodeString(string(h))
	return err == nil && len(b) == sha256.Size && base64.RawURLEncoding.EncodeToString(b) == string(h)
}

// row is one row of a table. Its data stays as it was read, so that an editor
// keeps fields that a newer version wrote and does not rewrite unchanged pages.
type row struct {
	key   string
	data  json.RawMessage
	value keyed
}

// keyed is a route.Route, pool.Pool or organisation.Organisation.
type keyed interface {
	Key() string
	Validate() error
}

func parseRow(table Table, data json.RawMessage) (row, error) {
	switch table {
	case Routes:
		return parseAs[route.Route](data)
	case Pools:
		return parseAs[pool.Pool](data)
	case Organisations:
		return parseAs[organisation.Organisation](data)
	}
	return row{}, errors.Wrapf(ErrCorrupt, "unknown table %q", table)
}

func parseAs[T keyed](data json.RawMessage) (row, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return row{}, mark(err, ErrCorrupt)
	}
	return row{key: value.Key(), data: data, value: value}, nil
}

func encodeRow(value keyed) (row, error) {
	data, err := json.Marshal(value)
	return row{key: value.Key(), data: data, value: value}, err
}

// endsPage reports whether the row of a key is the last of its page.
// The boundary depends on the key alone, so a change moves only the pages around its rows.
func endsPage(key string) bool { return boundary(key, 0) }

// endsIndexPage reports whether the page whose last row has the key is the last of its index page.
func endsIndexPage(key string) bool { return boundary(key, 8) }

// boundary takes a number of a part of the key's hash, so that the levels are independent.
func boundary(key string, offset int) bool {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[offset:])%entriesPerPage == 0
}

// page is one encoded page.
type page struct {
	hash Hash
	data []byte
}

// encodePage encodes rows as a JSON array with one row in a line.
func encodePage(table Table, rows []row) (page, error) {
	var b bytes.Buffer
	separator := "["
	for _, r := range rows {
		b.WriteString(separator)
		b.Write(r.data)
		separator = ",\n"
	}
	b.WriteString("]")
	if b.Len() > maxBytes {
		return page{}, errors.Wrapf(ErrTooLarge, "page of %s from %s to %s has %d bytes, the limit is %d",
			table, rows[0].key, rows[len(rows)-1].key, b.Len(), maxBytes)
	}
	return page{hash: hashOf(b.Bytes()), data: b.Bytes()}, nil
}

// decodePage returns the rows of a page, which are not empty and rise by key.
func decodePage(table Table, data []byte) ([]row, error) {
	if len(data) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "page of %s has %d bytes, the limit is %d", table, len(data), maxBytes)
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, mark(err, ErrCorrupt)
	}
	if len(raw) == 0 {
		return nil, errors.Wrapf(ErrCorrupt, "page of %s is empty", table)
	}
	rows := make([]row, len(raw))
	for i, data := range raw {
		r, err := parseRow(table, data)
		if err != nil {
			return nil, err
		}
		if i > 0 && rows[i-1].key >= r.key {
			return nil, errors.Wrapf(ErrCorrupt, "page of %s: row %q is not after %q", table, r.key, rows[i-1].key)
		}
		rows[i] = r
	}
	return rows, nil
}
