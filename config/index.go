package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// PageRef names a page of rows or an index page.
type PageRef struct {
	// Last is the key of the last row under the page.
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
		return page{}, errors.Wrapf(ErrTooLarge, "index page to %s has %d bytes, the limit is %d",
			refs[len(refs)-1].Last, len(data), maxBytes)
	}
	return page{hash: hashOf(data), data: data}, nil
}

// decodeIndex returns the references of an index page, which are not empty and rise by key.
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
			return errors.Wrapf(ErrCorrupt, "page to %q is not after %q", r.Last, refs[i-1].Last)
		}
		if !r.Hash.valid() || seen[r.Hash] {
			return errors.Wrapf(ErrCorrupt, "bad or repeated page hash %q", r.Hash)
		}
		seen[r.Hash] = true
	}
	return nil
}

// checkLast checks that the page of a reference ends with the key that the reference names.
func (r PageRef) checkLast(last string) error {
	if last != r.Last {
		return errors.Wrapf(ErrCorrupt, "page %s ends with %q instead of %q", r.Hash, last, r.Last)
	}
	return nil
}

// findRef returns the page that holds a key, if any page does.
func findRef(refs []PageRef, key string) (PageRef, bool) {
	i, _ := slices.BinarySearchFunc(refs, key, func(r PageRef, key string) int { return strings.Compare(r.Last, key) })
	if i == len(refs) {
		return PageRef{}, false
	}
	return refs[i], true
}

// within returns the pages that may hold keys of from up to to, both included.
func within(refs []PageRef, from, to string) []PageRef {
	compare := func(r PageRef, key string) int { return strings.Compare(r.Last, key) }
	start, _ := slices.BinarySearchFunc(refs, from, compare)
	end, _ := slices.BinarySearchFunc(refs, to, compare)
	return refs[start:min(end+1, len(refs))]
}
