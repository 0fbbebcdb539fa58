package attempt

import "time"

type item struct {
	id  string
	due time.Time
}

// queue holds attempt IDs in the order in which they fall due.
type queue struct {
	items []item
}

func (q *queue) push(id string, due time.Time) {
	q.items = append(q.items, item{id, due})
}

func (q *queue) due(now time.Time) bool {
	return len(q.items) > 0 && !q.items[0].due.After(now)
}

func (q *queue) pop() (string, bool) {
	if len(q.items) == 0 {
		return "", false
	}
	id := q.items[0].id
	q.items[0] = item{}
	q.items = q.items[1:]
	return id, true
}
