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

// fakeStore is an in-memory store whose writes of the head can be intercepted.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	version int
	// beforeHead runs before a write of the head, without the lock.
	beforeHead func()
	// loseHead says what happens to a write of the head.
	loseHead func() loss
	// headWrites counts writes of the head that took effect, bytes all bytes written.
	headWrites, bytes int
	// calls counts all calls.
	calls int
	// late holds writes that have not taken effect yet.
	late []func()
}

type loss int

const (
	answered    loss = iota
	lostAnswer       // the write takes effect, its answer is lost
	lostRequest      // the write has no effect, its answer is lost
	lateWrite        // the answer is lost, the write takes effect after the next read of the head
)

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func (f *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	o, ok := f.objects[key]
	if key == HeadKey {
		for _, write := range f.late {
			write()
		}
		f.late = nil
	}
	if !ok {
		return o, objectstore.ErrNotFound
	}
	// A copy, as of a real store: benchmarks count the bytes that a follower holds.
	return objectstore.Object{Value: bytes.Clone(o.Value), ETag: o.ETag}, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, c objectstore.Condition) (string, error) {
	what := answered
	if key == HeadKey && f.beforeHead != nil {
		f.beforeHead()
	}
	if key == HeadKey && f.loseHead != nil {
		what = f.loseHead()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var etag string
	var err error
	switch what {
	case lateWrite:
		f.late = append(f.late, func() { _, _ = f.apply(key, value, c) })
	case answered, lostAnswer:
		etag, err = f.apply(key, value, c)
	}
	if what != answered {
		return "", objectstore.ErrUncertain
	}
	return etag, err
}

func (f *fakeStore) apply(key string, value []byte, c objectstore.Condition) (string, error) {
	o, exists := f.objects[key]
	if c.IfNoneMatch && exists || c.IfMatch != "" && o.ETag != c.IfMatch {
		return "", objectstore.ErrConflict
	}
	f.version++
	f.bytes += len(value)
	if key == HeadKey {
		f.headWrites++
	}
	f.objects[key] = objectstore.Object{Value: value, ETag: fmt.Sprintf("%q", fmt.Sprint(f.version))}
	return f.objects[key].ETag, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]objectstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []objectstore.Entry
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, objectstore.Entry{Key: key, ETag: o.ETag})
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
