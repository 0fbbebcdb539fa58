package hop

import (
	"strconv"
	"time"
)

// FormatMS returns the value of a header that holds a time in milliseconds, rounded down. A negative time
// becomes 0.
func FormatMS(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

// ParseMS parses a header that holds a time in milliseconds. Without a valid value it returns 0 and false.
func ParseMS(text string) (d time.Duration, ok bool) {
	ms, err := strconv.ParseUint(text, 10, 40)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
