package attempt

import "time"

type item struct {
	id  string
	due time.Time
}

// expiryQueue holds attempt IDs in the order of their expiry times.
type expiryQueue struct {
	items []item
}

func (q *expiryQueue) push(id string, due time.Time) {
	q.items = append(q.items, item{id, due})
}

// due reports whether the first attempt ID has expired.
func (q *expiryQueue) due(now time.Time) bool {
	return len(q.items) > 0 && !q.items[0].due.After(now)
}

func (q *expiryQueue) pop() (string, bool) {
	if len(q.items) == 0 {
		return "", false
	}
	id := q.items[0].id
	q.items[0] = item{}
	q.items = q.items[1:]
	return id, true
}
