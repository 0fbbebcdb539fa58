package config

import (
	"context"
	"time"
)

// Loader reads the configuration for a follower from the store.
// Its reads touch no follower, so a node can make them outside its control goroutine.
type Loader struct {
	store Store
}

// NewLoader returns a loader over a store.
func NewLoader(store Store) *Loader { return &Loader{store: store} }

// Head returns the encoded head in force and its ETag.
// It returns ErrNoVersion when there is none and ErrUnavailable.
func (l *Loader) Head(ctx context.Context) ([]byte, string, error) {
	o, err := get(ctx, l.store, HeadKey)
	return o.Value, o.ETag, err
}

// WatchHead waits up to wait, in whole seconds, for a head whose ETag is not etag.
// It returns nil data when there is none. The context must outlast the wait.
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

// Pages returns pages by hash, with the hashes verified. Errors are ErrNoVersion, ErrCorrupt and ErrUnavailable.
func (l *Loader) Pages(ctx context.Context, hashes []Hash) (map[Hash][]byte, error) {
	return getPages(ctx, l.store, hashes)
}

// Load brings a follower to the version in the store and returns the ETag of its head.
func (l *Loader) Load(ctx context.Context, f *Follower) (string, error) {
	data, etag, err := l.Head(ctx)
	if err != nil {
		return "", err
	}
	if _, err := f.OfferHead(data); err != nil {
		return "", err
	}
	return etag, l.Complete(ctx, f)
}

// Complete reads the pages that a follower lacks: index pages first, then the pages that they name.
func (l *Loader) Complete(ctx context.Context, f *Follower) error {
	for lacking := f.MissingPages(); len(lacking) > 0; lacking = f.MissingPages() {
		pages, err := l.Pages(ctx, lacking)
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
