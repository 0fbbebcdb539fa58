package idempotency

import "time"

type item[T any] struct {
	value T
	count time.Duration
}

// queue holds values in the order of their counts of time.
type queue[T any] struct{ items []item[T] }

func (q *queue[T]) push(v T, count time.Duration) {
	q.items = append(q.items, item[T]{v, count})
}

// due reports whether the first value is at most as late as count.
func (q *queue[T]) due(count time.Duration) bool {
	return len(q.items) > 0 && q.items[0].count <= count
}

func (q *queue[T]) pop() T {
	v := q.items[0].value
	q.items = q.items[1:]
	return v
}
