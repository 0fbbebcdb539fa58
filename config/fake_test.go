package config

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// fakeStore is an in-memory store that can intercept and lose writes of the head.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	// writes counts all writes that took effect; ETags are made from it.
	writes int
	// beforeHeadWrite runs before a write of the head, without the lock.
	beforeHeadWrite func()
	// headWriteFault returns the fault of a write of the head.
	headWriteFault func() writeFault
	// headWrites counts the writes of the head that took effect, bytesWritten the bytes of all
	// writes that did.
	headWrites, bytesWritten int
	// calls counts all calls.
	calls int
	// delayed holds writes that have not taken effect yet.
	delayed []func()
}

type writeFault int

const (
	noFault      writeFault = iota
	lostAnswer              // the write takes effect, but its answer is lost
	lostRequest             // the write has no effect, and there is no answer
	delayedWrite            // there is no answer, and the write takes effect after the next read of the head
)

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func (f *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	o, ok := f.objects[key]
	if key == HeadKey {
		for _, write := range f.delayed {
			write()
		}
		f.delayed = nil
	}
	if !ok {
		return o, objectstore.ErrNotFound
	}
	// The value is copied, as with a real store: benchmarks measure the memory that a follower holds.
	return objectstore.Object{Value: bytes.Clone(o.Value), ETag: o.ETag}, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, c objectstore.Condition) (string, error) {
	fault := noFault
	if key == HeadKey && f.beforeHeadWrite != nil {
		f.beforeHeadWrite()
	}
	if key == HeadKey && f.headWriteFault != nil {
		fault = f.headWriteFault()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var etag string
	var err error
	switch fault {
	case delayedWrite:
		f.delayed = append(f.delayed, func() { _, _ = f.apply(key, value, c) })
	case noFault, lostAnswer:
		etag, err = f.apply(key, value, c)
	}
	if fault != noFault {
		return "", objectstore.ErrUncertain
	}
	return etag, err
}

func (f *fakeStore) apply(key string, value []byte, c objectstore.Condition) (string, error) {
	o, exists := f.objects[key]
	if c.IfNoneMatch && exists || c.IfMatch != "" && o.ETag != c.IfMatch {
		return "", objectstore.ErrConflict
	}
	f.writes++
	f.bytesWritten += len(value)
	if key == HeadKey {
		f.headWrites++
	}
	f.objects[key] = objectstore.Object{Value: value, ETag: fmt.Sprintf("%q", fmt.Sprint(f.writes))}
	return f.objects[key].ETag, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]objectstore.ListEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []objectstore.ListEntry
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, objectstore.ListEntry{Key: key, ETag: o.ETag})
		}
	}
	return entries, nil
}

func (f *fakeStore) Delete(_ context.Context, key string, c objectstore.Condition) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, exists := f.objects[key]
	if !exists {
		return objectstore.ErrNotFound
	}
	if c.IfMatch != "" && c.IfMatch != o.ETag {
		return objectstore.ErrConflict
	}
	delete(f.objects, key)
	return nil
}

func (f *fakeStore) Watch(ctx context.Context, key, _ string, _ time.Duration) (objectstore.Object, bool, error) {
	o, err := f.Get(ctx, key)
	return o, err == nil, err
}
