package admission

import (
	"fmt"
	"math"
	"time"
)

// Load is the state of a queue for the reply header.
type Load struct {
	Running, Queued, Limit int
	// Wait is the expected wait of new short work.
	Wait time.Duration
}

// Ratio is running and queued work over the limit.
func (l Load) Ratio() float64 { return float64(l.Running+l.Queued) / float64(max(1, l.Limit)) }

// String formats the load for the reply header, such as "9/7;wait-ms=12".
func (l Load) String() string {
	return fmt.Sprintf("%d/%d;wait-ms=%d", l.Running+l.Queued, l.Limit, l.Wait.Milliseconds())
}

// ParseLoad reads the ratio and the expected wait from a reply header.
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
