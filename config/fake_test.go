package config

import (
	"context"
	"fmt"
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
}

type loss int

const (
	answered    loss = iota
	lostAnswer       // the write takes effect, its answer is lost
	lostRequest      // the write has no effect, its answer is lost
)

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func (f *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.objects[key]
	if !ok {
		return o, objectstore.ErrNotFound
	}
	return o, nil
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
	if what == lostRequest {
		return "", objectstore.ErrUncertain
	}
	o, exists := f.objects[key]
	if c.IfNoneMatch && exists || c.IfMatch != "" && o.ETag != c.IfMatch {
		if what == lostAnswer {
			return "", objectstore.ErrUncertain
		}
		return "", objectstore.ErrConflict
	}
	f.version++
	f.bytes += len(value)
	if key == HeadKey {
		f.headWrites++
	}
	f.objects[key] = objectstore.Object{Value: value, ETag: fmt.Sprintf("%q", fmt.Sprint(f.version))}
	if what == lostAnswer {
		return "", objectstore.ErrUncertain
	}
	return f.objects[key].ETag, nil
}

func (f *fakeStore) Watch(ctx context.Context, key, _ string, _ time.Duration) (objectstore.Object, bool, error) {
	o, err := f.Get(ctx, key)
	return o, err == nil, err
}
