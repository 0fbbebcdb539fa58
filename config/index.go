package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// PageRef refers to a page of rows or to an index page.
type PageRef struct {
	// Last is the key of the last row in the page, or in the last page that the index page refers to.
	Last string `json:"last"`
	Hash Hash   `json:"hash"`
}

// encodeIndex encodes an index page as a JSON array.
func encodeIndex(refs []PageRef) (page, error) {
	data, err := json.Marshal(refs)
	if err != nil {
		return page{}, err
	}
	if len(data) > maxBytes {
		return page{}, errors.Wrapf(ErrTooLarge, "index page with last key %s has %d bytes, the limit is %d",
			refs[len(refs)-1].Last, len(data), maxBytes)
	}
	return page{hash: hashOf(data), data: data}, nil
}

// decodeIndex returns the references of an index page. It rejects an index page that is empty,
// whose keys are not strictly ascending, or that has an invalid or repeated hash.
func decodeIndex(data []byte) ([]PageRef, error) {
	if len(data) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "index page has %d bytes, the limit is %d", len(data), maxBytes)
	}
	var refs []PageRef
	if err := json.Unmarshal(data, &refs); err != nil {
		return nil, mark(err, ErrCorrupt)
	}
	if len(refs) == 0 {
		return nil, errors.Wrap(ErrCorrupt, "index page is empty")
	}
	return refs, checkRefs(refs)
}

func checkRefs(refs []PageRef) error {
	seen := make(map[Hash]bool, len(refs))
	for i, r := range refs {
		if i > 0 && refs[i-1].Last >= r.Last {
			return errors.Wrapf(ErrCorrupt, "page with last key %q does not sort after the previous page, with last key %q", r.Last, refs[i-1].Last)
		}
		if !r.Hash.valid() || seen[r.Hash] {
			return errors.Wrapf(ErrCorrupt, "invalid or repeated page hash %q", r.Hash)
		}
		seen[r.Hash] = true
	}
	return nil
}

// checkLast checks that the last key of the page that r refers to is the one that r records.
func (r PageRef) checkLast(last string) error {
	if last != r.Last {
		return errors.Wrapf(ErrCorrupt, "last key of page %s is %q, but its reference records %q", r.Hash, last, r.Last)
	}
	return nil
}

// findRef returns the reference to the only page that can hold a key; false when the key is after all pages.
func findRef(refs []PageRef, key string) (PageRef, bool) {
	i, _ := slices.BinarySearchFunc(refs, key, func(r PageRef, key string) int { return strings.Compare(r.Last, key) })
	if i == len(refs) {
		return PageRef{}, false
	}
	return refs[i], true
}

// refsInRange returns the references to the pages that may hold keys in the range [from, to], both included.
func refsInRange(refs []PageRef, from, to string) []PageRef {
	compare := func(r PageRef, key string) int { return strings.Compare(r.Last, key) }
	start, _ := slices.BinarySearchFunc(refs, from, compare)
	end, _ := slices.BinarySearchFunc(refs, to, compare)
	return refs[start:min(end+1, len(refs))]
}
