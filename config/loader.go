package config

import (
	"context"
	"time"
)

// Loader reads the configuration for a follower from the store.
// Head, WatchHead and Pages use no follower, so a node can call them outside its control goroutine.
type Loader struct {
	store Store
}

// NewLoader returns a loader for a store.
func NewLoader(store Store) *Loader { return &Loader{store: store} }

// Head returns the encoded head in force and its ETag.
// Its errors are ErrNoVersion, when no head is stored, and ErrUnavailable.
func (l *Loader) Head(ctx context.Context) ([]byte, string, error) {
	o, err := get(ctx, l.store, HeadKey)
	return o.Value, o.ETag, err
}

// WatchHead waits up to wait, in whole seconds, for a head whose ETag differs from etag.
// It returns nil data when there is none by then. The context must not end before the wait.
func (l *Loader) WatchHead(ctx context.Context, etag string, wait time.Duration) ([]byte, string, error) {
	o, changed, err := l.store.Watch(ctx, HeadKey, etag, wait)
	if err != nil {
		return nil, etag, storeError(err, HeadKey)
	}
	if !changed {
		return nil, etag, nil
	}
	return o.Value, o.ETag, nil
}

// Pages reads pages by hash and verifies the hashes. Its errors are ErrNoVersion, ErrCorrupt and
// ErrUnavailable.
func (l *Loader) Pages(ctx context.Context, hashes []Hash) (map[Hash][]byte, error) {
	return getPages(ctx, l.store, hashes)
}

// Load updates a follower to the version in force in the store and returns the ETag of its head.
func (l *Loader) Load(ctx context.Context, f *Follower) (string, error) {
	data, etag, err := l.Head(ctx)
	if err != nil {
		return "", err
	}
	if _, err := f.OfferHead(data); err != nil {
		return "", err
	}
	return etag, l.LoadMissingPages(ctx, f)
}

// LoadMissingPages reads the pages that a follower is missing: index pages first, then the pages
// that they refer to.
func (l *Loader) LoadMissingPages(ctx context.Context, f *Follower) error {
	for missing := f.MissingPages(); len(missing) > 0; missing = f.MissingPages() {
		pages, err := l.Pages(ctx, missing)
		if err != nil {
			return err
		}
		for hash, data := range pages {
			if err := f.OfferPage(hash, data); err != nil {
				return err
			}
		}
	}
	return nil
}
