package admission

import (
	"fmt"
	"math"
	"time"
)

// Load is the load of a queue as sent in the load header of replies.
type Load struct {
	Running, Queued, Limit int
	// Wait is the expected wait of a new short request.
	Wait time.Duration
}

// Ratio returns the number of running and queued requests divided by the limit.
func (l Load) Ratio() float64 { return float64(l.Running+l.Queued) / float64(max(1, l.Limit)) }

// String formats the load for the load header, such as "9/7;wait-ms=12".
func (l Load) String() string {
	return fmt.Sprintf("%d/%d;wait-ms=%d", l.Running+l.Queued, l.Limit, l.Wait.Milliseconds())
}

// ParseLoad reads the load ratio and the expected wait from the value of a load header.
func ParseLoad(s string) (ratio float64, wait time.Duration, err error) {
	var busy, limit, ms int64
	if _, err := fmt.Sscanf(s, "%d/%d;wait-ms=%d", &busy, &limit, &ms); err != nil {
		return 0, 0, fmt.Errorf("load %q: %w", s, err)
	}
	if busy < 0 || limit < 1 || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, 0, fmt.Errorf("load %q: out of range", s)
	}
	return float64(busy) / float64(limit), time.Duration(ms) * time.Millisecond, nil
}
