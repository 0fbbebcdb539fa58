package config

import (
	"fmt"
	"slices"
	"testing"

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

func drawNames(t *rapid.T, least int) []string {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), least, 600, rapid.ID[int]).Draw(t, "names")
	names := make([]string, len(numbers))
	for i, n := range numbers {
		names[i] = fmt.Sprintf("o%04d", n)
	}
	return names
}

// A page that decodes to other rows would change the configuration while it is stored.
func TestPagesKeepRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := organisationRows(t, drawNames(t, 0))
		pages, err := encodePages(Organisations, rows)
		assert.NilError(t, err)
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

// Boundaries that depend on other rows would make one change rewrite many pages.
func TestOneRowMovesAtMostTwoPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t, 300)
		extra := fmt.Sprintf("o%04dx", rapid.IntRange(0, 5000).Draw(t, "extra"))
		before, err := encodePages(Organisations, organisationRows(t, names))
		assert.NilError(t, err)
		after, err := encodePages(Organisations, organisationRows(t, append(names, extra)))
		assert.NilError(t, err)
		moved := 0
		for _, p := range after {
			if !slices.ContainsFunc(before, func(b page) bool { return b.hash == p.hash }) {
				moved++
			}
		}
		assert.Assert(t, moved >= 1 && moved <= 2, "%d pages moved", moved)
	})
}

// A page over the limit must be named in the error, not refused later by the store.
func TestEncodeRefusesLargePageAndHead(t *testing.T) {
	r, err := encodeRow(route.Route{Name: "big", Organisation: "o", Pool: "p", PathPrefix: "/" + string(make([]byte, maxBytes))})
	assert.NilError(t, err)
	_, err = encodePage(Routes, []row{r})
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.ErrorContains(t, err, "page of routes from o/big")
	h := Head{Version: 1, Pages: map[Table][]Hash{Routes: make([]Hash, 30_000)}}
	for i := range h.Pages[Routes] {
		h.Pages[Routes][i] = hashOf(fmt.Append(nil, i))
	}
	_, err = h.encode()
	assert.ErrorIs(t, err, ErrTooLarge)
}

func TestDecodePageRefuses(t *testing.T) {
	for _, text := range []string{``, `[]`, `null`, `{}`, `[1]`, `[{"name":"b"},{"name":"a"}]`, `[{"name":"a"},{"name":"a"}]`, `[{"name":"a"}] x`} {
		_, err := decodePage(Organisations, []byte(text))
		assert.ErrorIs(t, err, ErrCorrupt, text)
	}
}

// Bytes of peers and of the store must not panic a node.
func FuzzDecode(f *testing.F) {
	head, err := Head{}.next("", ChangeInfo{ID: "a"}, map[Table][]Hash{Pools: {hashOf(nil)}}).encode()
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
