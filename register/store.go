package register

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/idempotency"
	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Store is the part of the object store that the register uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Put(ctx context.Context, key string, value []byte, c objectstore.Condition) (string, error)
	Delete(ctx context.Context, key string, c objectstore.Condition) error
	List(ctx context.Context, prefix string) ([]objectstore.ListEntry, error)
}

// shardLog reads and writes the log of one shard in the store. Timeout bounds each
// call.
type shardLog struct {
	store   Store
	prefix  string
	timeout time.Duration
}

func newShardLog(store Store, shard int, timeout time.Duration) shardLog {
	return shardLog{store: store, prefix: fmt.Sprintf("keys/%d/", shard), timeout: timeout}
}

// segmentKey returns the store key of the segment with the number n.
func (l shardLog) segmentKey(n uint64) string { return l.prefix + strconv.FormatUint(n, 10) }

// floorKey returns the store key of the floor: the number below which segments are
// deleted and no segment takes effect (see package idempotency).
func (l shardLog) floorKey() string { return l.prefix + "floor" }

// call executes one call to the store. When the result is uncertain, the error says
// why. A conflict is no error.
func (l shardLog) call(ctx context.Context, op idempotency.Op) (idempotency.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	var r idempotency.Result
	var err error
	switch op.Kind {
	case idempotency.OpReadFloor:
		r, err = l.readFloor(ctx)
	case idempotency.OpRead:
		r.Segments, err = l.readSegments(ctx, op.Number, op.Count)
	case idempotency.OpCreate:
		err = l.create(ctx, op)
	case idempotency.OpList:
		r.Numbers, err = l.list(ctx)
	case idempotency.OpRaiseFloor:
		r.Tag, err = l.raiseFloor(ctx, op)
	case idempotency.OpDelete:
		err = l.delete(ctx, op.Number)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		return idempotency.Result{Conflict: true}, nil
	}
	r.Uncertain = err != nil
	return r, err
}

func (l shardLog) readFloor(ctx context.Context) (idempotency.Result, error) {
	o, err := l.store.Get(ctx, l.floorKey())
	if errors.Is(err, objectstore.ErrNotFound) {
		return idempotency.Result{}, nil
	}
	if err != nil {
		return idempotency.Result{}, err
	}
	n, err := strconv.ParseUint(string(o.Value), 10, 64)
	return idempotency.Result{Floor: n, Tag: o.ETag}, err
}

// readSegments reads count segments in parallel, starting with number. It returns the
// segments before the first missing one.
func (l shardLog) readSegments(ctx context.Context, number uint64, count int) ([]*pb.KeySegment, error) {
	found := make([]*pb.KeySegment, count)
	errs := make([]error, count)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() { found[i], errs[i] = l.readSegment(ctx, number+uint64(i)) })
	}
	wait.Wait()
	for i := range count {
		if errors.Is(errs[i], objectstore.ErrNotFound) {
			return found[:i], nil
		}
		if errs[i] != nil {
			return nil, errs[i]
		}
	}
	return found, nil
}

func (l shardLog) readSegment(ctx context.Context, number uint64) (*pb.KeySegment, error) {
	o, err := l.store.Get(ctx, l.segmentKey(number))
	if err != nil {
		return nil, err
	}
	return idempotency.ParseSegment(o.Value)
}

func (l shardLog) create(ctx context.Context, op idempotency.Op) error {
	value, err := proto.Marshal(op.Segment)
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, l.segmentKey(op.Number), value, objectstore.Condition{IfNoneMatch: true})
	return err
}

func (l shardLog) list(ctx context.Context) ([]uint64, error) {
	entries, err := l.store.List(ctx, l.prefix)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, e := range entries {
		if n, err := strconv.ParseUint(strings.TrimPrefix(e.Key, l.prefix), 10, 64); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

func (l shardLog) raiseFloor(ctx context.Context, op idempotency.Op) (string, error) {
	c := objectstore.Condition{IfMatch: op.Tag, IfNoneMatch: op.Tag == ""}
	return l.store.Put(ctx, l.floorKey(), []byte(strconv.FormatUint(op.Number, 10)), c)
}

func (l shardLog) delete(ctx context.Context, number uint64) error {
	err := l.store.Delete(ctx, l.segmentKey(number), objectstore.Condition{})
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	return err
}
