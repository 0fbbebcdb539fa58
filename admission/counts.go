package admission

// Counts says how many requests of one rank were dispatched, refused at their offer, displaced
// by more urgent ones, or dropped because they had waited too long.
type Counts struct {
	Dispatched int `json:"dispatched"`
	Refused    int `json:"refused"`
	Displaced  int `json:"displaced"`
	Expired    int `json:"expired"`
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Dispatched + o.Dispatched, c.Refused + o.Refused, c.Displaced + o.Displaced, c.Expired + o.Expired}
}

// maxCountedPriority is the largest part of a priority that is counted separately.
const maxCountedPriority = 3

// Counted returns the rank under which a request of rank r is counted, which bounds the number
// of counters.
func (r Rank) Counted() Rank {
	r.Priority.Organisation = min(r.Priority.Organisation, maxCountedPriority)
	r.Priority.Route = min(r.Priority.Route, maxCountedPriority)
	return r
}

// Label returns the name of a counted rank in metrics, such as "1,2" or "call 0,0".
func (r Rank) Label() string {
	if r.Call {
		return "call " + r.Priority.String()
	}
	return r.Priority.String()
}

// Counts returns the counts since the start of the queue, by counted rank.
func (q *Queue) Counts() map[Rank]Counts {
	counts := make(map[Rank]Counts, len(q.counts))
	for r, c := range q.counts {
		counts[r] = *c
	}
	return counts
}

func (q *Queue) count(it *item) *Counts {
	r := Rank{Call: it.Call, Priority: it.Priority}.Counted()
	if q.counts[r] == nil {
		q.counts[r] = &Counts{}
	}
	return q.counts[r]
}
