package health

import (
	"math/rand/v2"
	"time"
)

const (
	minRetestGap = 100 * time.Millisecond
	// maxRetestGap is the gap after which the next idempotent request is always sent as a re-test.
	maxRetestGap = 500 * time.Millisecond
)

// AdmitRetest reports whether a guard sends a request to a suspected or ejected
// backend server to re-test it. sinceLast is the time since the last such request.
// Only idempotent requests qualify, since they may be repeated at another backend server.
// The rate is at most 10 requests/s and does not grow further with demand.
func AdmitRetest(sinceLast time.Duration, idempotent bool, r *rand.Rand) bool {
	if !idempotent || sinceLast < minRetestGap {
		return false
	}
	return r.Float64() < float64(sinceLast)/float64(maxRetestGap)
}
