package idempotency

import "time"

type item[T any] struct {
	value     T
	shardTime time.Duration
}

// queue holds values in the order of their shard times.
type queue[T any] struct{ items []item[T] }

func (q *queue[T]) push(v T, shardTime time.Duration) {
	q.items = append(q.items, item[T]{v, shardTime})
}

// due reports whether the shard time of the first value is at most shardTime.
func (q *queue[T]) due(shardTime time.Duration) bool {
	return len(q.items) > 0 && q.items[0].shardTime <= shardTime
}

func (q *queue[T]) pop() T {
	v := q.items[0].value
	q.items = q.items[1:]
	return v
}
