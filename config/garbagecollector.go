package config

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// MinKeptVersions is the smallest number of versions that a collection keeps: those that a head
// records, its own included.
const MinKeptVersions = recentChanges

// GarbageCollectorStore is the part of the object store that a garbage collection uses.
// *objectstore.Client implements it.
type GarbageCollectorStore interface {
	Store
	List(ctx context.Context, prefix string) ([]objectstore.ListEntry, error)
	Delete(ctx context.Context, key string, condition objectstore.Condition) error
}

// GarbageCollector deletes pages and copies of heads that no kept version uses.
//
// It is safe to run during commits and relies on no clock. It lists the objects and then
// writes the head in force again, unchanged, on condition that its ETag is still the one that was read.
// The store then rejects the conditional write of the head of every commit that read the head earlier,
// because the ETag is new, and that commit starts over. A commit that starts later writes each page that
// the version in force lacks, which gives the page a new ETag. Therefore an object that no kept version uses
// and whose ETag is still the listed one is not used by any commit that can still succeed. It is deleted on
// condition that its ETag is still the listed one.
type GarbageCollector struct {
	store   GarbageCollectorStore
	history *history
}

// NewGarbageCollector returns a garbage collector for a store.
func NewGarbageCollector(store GarbageCollectorStore) *GarbageCollector {
	return &GarbageCollector{store: store, history: newHistory(store)}
}

// CollectionResult reports what a garbage collection found and deleted.
type CollectionResult struct {
	// Version is the version in force; OldestKept is the oldest version that is kept.
	Version    uint64 `json:"version"`
	OldestKept uint64 `json:"oldest"`
	// Objects is the number of pages and copies of heads in the store; Unused is the number of them
	// that no kept version uses.
	Objects int `json:"objects"`
	Unused  int `json:"unused"`
	// Deleted is lower than Unused after a dry run, and when commits have written unused objects again.
	Deleted int `json:"deleted"`
}

// Collect keeps the latest versions, as many as the parameter kept says, the version in force
// included. It deletes the pages and copies of heads that none of these versions uses. A dry run
// writes and deletes nothing. The errors are ErrInvalidChange when kept is below MinKeptVersions,
// ErrNoVersion when there is no configuration, ErrCorrupt and ErrUnavailable.
func (c *GarbageCollector) Collect(ctx context.Context, kept uint64, dryRun bool) (CollectionResult, error) {
	if kept < MinKeptVersions {
		return CollectionResult{}, errors.Wrapf(ErrInvalidChange, "cannot keep only %d versions, the least is %d", kept, MinKeptVersions)
	}
	return c.collect(ctx, kept, dryRun)
}

func (c *GarbageCollector) collect(ctx context.Context, kept uint64, dryRun bool) (CollectionResult, error) {
	objects, err := c.list(ctx)
	if err != nil {
		return CollectionResult{}, err
	}
	head, err := c.fence(ctx, dryRun)
	if err != nil {
		return CollectionResult{}, err
	}
	oldest, used, err := c.used(ctx, head, kept)
	if err != nil {
		return CollectionResult{}, err
	}
	result := CollectionResult{Version: head.Version, OldestKept: oldest, Objects: len(objects)}
	unused := slices.DeleteFunc(objects, func(o objectstore.ListEntry) bool { return used[o.Key] })
	result.Unused = len(unused)
	if !dryRun {
		result.Deleted, err = c.delete(ctx, unused)
	}
	return result, err
}

func (c *GarbageCollector) list(ctx context.Context) ([]objectstore.ListEntry, error) {
	var all []objectstore.ListEntry
	for _, prefix := range []string{pagePrefix, headPrefix} {
		entries, err := c.store.List(ctx, prefix)
		if err != nil {
			return nil, storeError(err, prefix)
		}
		all = append(all, entries...)
	}
	return all, nil
}

// fence writes the head in force again, so that no commit that read it earlier can succeed.
func (c *GarbageCollector) fence(ctx context.Context, dryRun bool) (storedHead, error) {
	for {
		o, err := get(ctx, c.store, HeadKey)
		if err != nil {
			return storedHead{}, err
		}
		head, err := DecodeHead(o.Value)
		if err != nil || dryRun {
			return storedHead{Head: head, hash: hashOf(o.Value)}, err
		}
		_, err = c.store.Put(ctx, HeadKey, o.Value, objectstore.Condition{IfMatch: o.ETag})
		if err == nil {
			return storedHead{Head: head, hash: hashOf(o.Value)}, nil
		}
		// A write without an answer is repeated: only an answered write shows that the ETag changed
		// after the listing.
		repeat := errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrUncertain, objectstore.ErrRateLimited)
		if !repeat || !pause(ctx) {
			return storedHead{}, storeError(err, HeadKey)
		}
	}
}

// used returns the keys of all objects of the kept versions, and the oldest of these versions.
// The history ends early where an earlier collection deleted the versions before.
func (c *GarbageCollector) used(ctx context.Context, head storedHead, kept uint64) (uint64, map[string]bool, error) {
	used := make(map[string]bool)
	seen := make(map[Hash]bool)
	oldest := head.Version
	err := c.addVersion(ctx, head, seen, used)
	for ; err == nil && kept > 1 && head.Version > 1; kept-- {
		head, err = c.history.readHead(ctx, head.Ancestors[0].Head)
		if err == nil {
			err = c.addVersion(ctx, head, seen, used)
		}
		if errors.Is(err, ErrNoVersion) {
			return oldest, used, nil
		}
		oldest = head.Version
	}
	return oldest, used, err
}

func (c *GarbageCollector) addVersion(ctx context.Context, head storedHead, seen map[Hash]bool, used map[string]bool) error {
	used[headCopyKey(head.hash)] = true
	var unseen []PageRef
	for _, table := range tables {
		for _, ref := range head.Index[table] {
			used[pageKey(ref.Hash)] = true
			if !seen[ref.Hash] {
				seen[ref.Hash] = true
				unseen = append(unseen, ref)
			}
		}
	}
	refs, err := c.history.childRefs(ctx, unseen)
	for _, ref := range refs {
		used[pageKey(ref.Hash)] = true
	}
	c.history.trim()
	return err
}

// delete deletes the objects that were not written again since they were listed, and returns their number.
func (c *GarbageCollector) delete(ctx context.Context, objects []objectstore.ListEntry) (int, error) {
	var deleted atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for _, o := range objects {
		group.Go(func() error {
			done, err := c.deleteOne(ctx, o)
			if done {
				deleted.Add(1)
			}
			return err
		})
	}
	err := group.Wait()
	return int(deleted.Load()), err
}

func (c *GarbageCollector) deleteOne(ctx context.Context, o objectstore.ListEntry) (bool, error) {
	for {
		err := c.store.Delete(ctx, o.Key, objectstore.Condition{IfMatch: o.ETag})
		if err == nil {
			return true, nil
		}
		if errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrNotFound) {
			return false, nil
		}
		repeat := errors.IsAny(err, objectstore.ErrUncertain, objectstore.ErrRateLimited)
		if !repeat || !pause(ctx) {
			return false, storeError(err, o.Key)
		}
	}
}
