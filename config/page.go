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

// Table is the name of a table of the configuration.
type Table string

// The tables.
const (
	Routes        Table = "routes"
	Pools         Table = "pools"
	Organisations Table = "organisations"
)

// tables lists all tables in the order that diffs and error messages use.
var tables = []Table{Routes, Pools, Organisations}

// meanEntriesPerPage is the mean number of rows in a page, and of page references in an index page.
const meanEntriesPerPage = 64

// maxBytes bounds an encoded page or head. It is the largest value that the store accepts.
const maxBytes = objectstore.MaxValueBytes

// Hash is the SHA-256 of an encoded page or head, in unpadded URL-safe base64.
// Base64 makes heads and index pages a third smaller than hexadecimal.
type Hash string

// hashOf returns the hash of an encoded page or head.
func hashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// valid reports whether h has the form of a hash and is therefore safe to use in a store key.
func (h Hash) valid() bool {
	b, err := base64.RawURLEncoding.Strict().DecodeString(string(h))
	return err == nil && len(b) == sha256.Size && base64.RawURLEncoding.EncodeToString(b) == string(h)
}

// row is one row of a table. Its data is kept as it was read, so that an editor preserves
// fields that a newer release of the software wrote and does not rewrite unchanged pages.
type row struct {
	key   string
	data  json.RawMessage
	value rowValue
}

// rowValue is the decoded value of a row: a route.Route, pool.Pool or organisation.Organisation.
type rowValue interface {
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

func parseAs[T rowValue](data json.RawMessage) (row, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return row{}, mark(err, ErrCorrupt)
	}
	return row{key: value.Key(), data: data, value: value}, nil
}

func encodeRow(value rowValue) (row, error) {
	data, err := json.Marshal(value)
	return row{key: value.Key(), data: data, value: value}, err
}

// endsPage reports whether the row with the given key is the last of its page.
// This depends on the key alone, so a change rewrites only the pages around its rows.
func endsPage(key string) bool { return isBoundary(key, 0) }

// endsIndexPage reports whether the page whose last row has the given key is the last of its index page.
func endsIndexPage(key string) bool { return isBoundary(key, 8) }

// isBoundary decides from the 8 bytes of the key's hash at offset. Pages and index pages use
// different offsets, so that their boundaries are independent of each other.
func isBoundary(key string, offset int) bool {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[offset:])%meanEntriesPerPage == 0
}

// page is an encoded page of rows or index page.
type page struct {
	hash Hash
	data []byte
}

// encodePage encodes rows as a JSON array with one row per line.
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

// decodePage returns the rows of a page. It rejects a page that is empty or whose keys are not
// strictly ascending.
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
			return nil, errors.Wrapf(ErrCorrupt, "page of %s: row %q does not sort after the previous row %q", table, r.key, rows[i-1].key)
		}
		rows[i] = r
	}
	return rows, nil
}
