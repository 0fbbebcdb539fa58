package config

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/route"
)

func organisationRows(t assert.TestingT, names []string) []row {
	rows := make([]row, len(names))
	for i, name := range names {
		r, err := encodeRow(organisation.Organisation{Name: name, SecretSHA256: organisation.HashSecret(name)})
		assert.NilError(t, err)
		rows[i] = r
	}
	slices.SortFunc(rows, compareKeys)
	return rows
}

// encodePages encodes sorted rows as pages and index pages.
func encodePages(t assert.TestingT, rows []row) (pages, index []page) {
	var edits []rowEdit
	for _, r := range rows {
		edits = append(edits, rowEdit{r.key, &r})
	}
	b := tableBuilder{history: newHistory(newFakeStore()), table: Organisations}
	assert.NilError(t, b.rewrite(context.Background(), nil, edits))
	for _, p := range b.pages {
		if slices.ContainsFunc(b.index, func(ref PageRef) bool { return ref.Hash == p.hash }) {
			index = append(index, p)
		} else {
			pages = append(pages, p)
		}
	}
	return pages, index
}

func drawNames(t *rapid.T, minCount int) []string {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), minCount, 600, rapid.ID[int]).Draw(t, "names")
	names := make([]string, len(numbers))
	for i, n := range numbers {
		names[i] = fmt.Sprintf("o%04d", n)
	}
	return names
}

// If a page decoded to other rows than were encoded, storing the configuration would change it.
func TestPagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := organisationRows(t, drawNames(t, 0))
		pages, _ := encodePages(t, rows)
		var got []row
		for _, p := range pages {
			decoded, err := decodePage(Organisations, p.data)
			assert.NilError(t, err)
			again, err := encodePage(Organisations, decoded)
			assert.NilError(t, err)
			assert.Equal(t, again.hash, p.hash)
			got = append(got, decoded...)
		}
		assert.Equal(t, len(got), len(rows))
		for i := range rows {
			assert.Equal(t, string(got[i].data), string(rows[i].data))
		}
	})
}

// If the boundaries of pages depended on other rows, a change of one row would rewrite many pages.
func TestOneRowRewritesAtMostTwoPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t, 300)
		extra := fmt.Sprintf("o%04dx", rapid.IntRange(0, 5000).Draw(t, "extra"))
		before, beforeIndex := encodePages(t, organisationRows(t, names))
		after, afterIndex := encodePages(t, organisationRows(t, append(names, extra)))
		rewritten := countRewritten(before, after)
		assert.Assert(t, rewritten >= 1 && rewritten <= 2, "%d pages rewritten", rewritten)
		rewritten = countRewritten(beforeIndex, afterIndex)
		assert.Assert(t, rewritten >= 1 && rewritten <= 2, "%d index pages rewritten", rewritten)
	})
}

// drawBoundaryNames draws names of which about half end a page and some also end an index page.
func drawBoundaryNames(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) string {
		if rapid.Bool().Draw(t, "boundary") {
			return rapid.SampledFrom(boundaryNames).Draw(t, "name")
		}
		return fmt.Sprintf("o%05d", rapid.IntRange(0, 40_000).Draw(t, "number"))
	}), 1, 600, rapid.ID[string]).Draw(t, "names")
}

var boundaryNames = func() []string {
	var names []string
	for i := range 40_000 {
		if name := fmt.Sprintf("o%05d", i); endsPage(name) {
			names = append(names, name)
		}
	}
	return names
}()

func countRewritten(before, after []page) int {
	rewritten := 0
	for _, p := range after {
		if !slices.ContainsFunc(before, func(b page) bool { return b.hash == p.hash }) {
			rewritten++
		}
	}
	return rewritten
}

// If pages depended on the changes that led to a version, equal tables would have different pages and
// page boundaries would deteriorate over time. Writing a page of the older version again would waste calls.
func TestRewriteEqualsFullEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		e := NewEditor(s, time.Now)
		rows := make(map[string]row)
		for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
			c := Change{ID: fmt.Sprint("c", i), Operator: "ann"}
			for _, name := range drawBoundaryNames(t) {
				if _, exists := rows[name]; exists && rapid.Bool().Draw(t, "delete") {
					c.Delete.Organisations = append(c.Delete.Organisations, name)
					delete(rows, name)
					continue
				}
				secret := organisation.HashSecret(fmt.Sprint(i))
				c.Upsert.Organisations = append(c.Upsert.Organisations, organisation.Organisation{Name: name, SecretSHA256: secret})
				r, err := encodeRow(c.Upsert.Organisations[len(c.Upsert.Organisations)-1])
				assert.NilError(t, err)
				rows[name] = r
			}
			stored := s.writes
			plan, err := e.DryRun(context.Background(), c)
			assert.NilError(t, err)
			_, err = NewEditor(s, time.Now).Commit(context.Background(), c)
			assert.NilError(t, err)
			// A commit writes its new pages, the immutable copy of the head, and the head.
			assert.Equal(t, s.writes-stored, plan.NewPages+2)
		}
		_, index := encodePages(t, slices.SortedFunc(maps.Values(rows), compareKeys))
		head, err := DecodeHead(s.objects[HeadKey].Value)
		assert.NilError(t, err)
		assert.Equal(t, len(head.Index[Organisations]), len(index))
		for i, p := range index {
			assert.Equal(t, head.Index[Organisations][i].Hash, p.hash)
		}
	})
}

// A page, index page or head over the size limit must be rejected when it is encoded, not later by the store.
// The error for a page of rows must name its table and its first row.
func TestEncodeRejectsLargePageAndHead(t *testing.T) {
	r, err := encodeRow(route.Route{Name: "big", Organisation: "o", Pool: "p", PathPrefix: "/" + string(make([]byte, maxBytes))})
	assert.NilError(t, err)
	_, err = encodePage(Routes, []row{r})
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.ErrorContains(t, err, "page of routes from o/big")
	refs := make([]PageRef, 30_000)
	for i := range refs {
		refs[i] = PageRef{Last: fmt.Sprintf("%05d", i), Hash: hashOf(fmt.Append(nil, i))}
	}
	_, err = Head{Version: 1, Index: map[Table][]PageRef{Routes: refs}}.encode()
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = encodeIndex(refs)
	assert.ErrorIs(t, err, ErrTooLarge)
}

// A page of rows from a peer or the store must be rejected if it is empty, malformed or unsorted,
// or has a key twice.
func TestDecodePageRejectsMalformedPages(t *testing.T) {
	for _, text := range []string{``, `[]`, `null`, `{}`, `[1]`, `[{"name":"b"},{"name":"a"}]`, `[{"name":"a"},{"name":"a"}]`, `[{"name":"a"}] x`} {
		_, err := decodePage(Organisations, []byte(text))
		assert.ErrorIs(t, err, ErrCorrupt, text)
	}
}

// An index page from a peer or the store must be rejected if it is empty, malformed or unsorted,
// has an invalid hash, or has a hash twice.
func TestDecodeIndexRejectsMalformedPages(t *testing.T) {
	a, b := string(hashOf([]byte("a"))), string(hashOf([]byte("b")))
	for _, text := range []string{``, `[]`, `null`, `{}`, `[1]`, `[{"last":"a","hash":"x"}]`,
		`[{"last":"b","hash":"` + a + `"},{"last":"a","hash":"` + b + `"}]`, `[{"last":"a","hash":"` + a + `"},{"last":"b","hash":"` + a + `"}]`} {
		_, err := decodeIndex([]byte(text))
		assert.ErrorIs(t, err, ErrCorrupt, text)
	}
}

// Data from peers and from the store must not make a node panic.
func FuzzDecode(f *testing.F) {
	head, err := Head{}.next("", ChangeInfo{ID: "a"}, map[Table][]PageRef{Pools: {{Last: "p", Hash: hashOf(nil)}}}).encode()
	assert.NilError(f, err)
	f.Add(head)
	f.Add([]byte(`[{"name":"a","organisation":"o","path_prefix":"/","pool":"p"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := DecodeHead(data); err == nil {
			encoded, err := h.encode()
			assert.NilError(t, err)
			_, err = DecodeHead(encoded)
			assert.NilError(t, err)
		}
		_, _ = NewFollower().OfferHead(data)
		for _, table := range tables {
			rows, err := decodePage(table, data)
			if err != nil {
				continue
			}
			p, err := encodePage(table, rows)
			assert.NilError(t, err)
			again, err := decodePage(table, p.data)
			assert.NilError(t, err)
			assert.Equal(t, len(again), len(rows))
		}
	})
}
