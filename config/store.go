package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Store is the part of the object store that the package uses. *objectstore.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (string, error)
	Watch(ctx context.Context, key, etag string, wait time.Duration) (objectstore.Object, bool, error)
}

// parallelCalls bounds the concurrent calls of one editor, loader or garbage collector,
// so that loading thousands of pages leaves the store usable for other clients.
const parallelCalls = 8

// retryDelay is the delay before repeating a call that the store did not answer, or that it
// rejected because of its rate limit or because the head had changed.
const retryDelay = 50 * time.Millisecond

// get reads an object. It repeats the read while the store rejects it because of its rate limit.
func get(ctx context.Context, s Store, key string) (objectstore.Object, error) {
	for {
		o, err := s.Get(ctx, key)
		if err == nil {
			return o, nil
		}
		if !errors.Is(err, objectstore.ErrRateLimited) || !pause(ctx) {
			return o, storeError(err, key)
		}
	}
}

// getVerified reads an immutable object and checks that its value has the given hash.
func getVerified(ctx context.Context, s Store, key string, hash Hash) ([]byte, error) {
	o, err := get(ctx, s, key)
	if err != nil {
		return nil, err
	}
	if hashOf(o.Value) != hash {
		return nil, errors.Wrapf(ErrCorrupt, "value of %s does not match its hash", key)
	}
	return o.Value, nil
}

// putImmutable writes an object whose key contains the hash of its value, so that repeating the
// write is harmless. It also writes an object that exists: the new ETag keeps a garbage collection
// from deleting it, see GarbageCollector.
func putImmutable(ctx context.Context, s Store, key string, value []byte) error {
	for {
		_, err := s.Put(ctx, key, value, objectstore.Condition{})
		if err == nil {
			return nil
		}
		repeat := errors.Is(err, objectstore.ErrRateLimited) || errors.Is(err, objectstore.ErrUncertain)
		if !repeat || !pause(ctx) {
			return storeError(err, key)
		}
	}
}

// pause waits for retryDelay before a call is repeated. It returns false when the context ends first.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// getPages reads pages and checks that they match their hashes.
func getPages(ctx context.Context, s Store, hashes []Hash) (map[Hash][]byte, error) {
	data := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, hash := range hashes {
		group.Go(func() (err error) {
			data[i], err = getVerified(ctx, s, pageKey(hash), hash)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	pages := make(map[Hash][]byte, len(hashes))
	for i, hash := range hashes {
		pages[hash] = data[i]
	}
	return pages, nil
}

func putPages(ctx context.Context, s Store, pages []page) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for _, p := range pages {
		group.Go(func() error { return putImmutable(ctx, s, pageKey(p.hash), p.data) })
	}
	return group.Wait()
}
