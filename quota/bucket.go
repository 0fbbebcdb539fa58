// Package quota decides which requests of an organisation may run under its rate limit. It is pure:
// time and the replies of other nodes are parameters.
//
// The limit is split into one part for each region. Each part has two owners, nodes of the region that
// rendezvous hashing of the organisation's name selects. The primary holds a token bucket of the part's
// rate and burst; the standby, which is asked while the primary does not serve, holds only the part's
// share of the tolerated excess. The permits of all owners together therefore stay within the tolerated
// bound even when entries disagree about which owners can be reached.
package quota

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/organisation"
)

const (
	// rounding tolerates the rounding errors of the number of tokens, so that a permit is not refused
	// for the lack of a tiny fraction of a token.
	rounding = 1e-9
	// maxAgain bounds the stated time until the next token, which may never be due.
	maxAgain = time.Hour
)

// Bucket is a token bucket. Its tokens accrue with time, and it starts without any.
type Bucket struct {
	limit  organisation.Limit
	tokens float64
	// at is the time until which accrued tokens are counted.
	at time.Duration
	// creditableSince is the earliest time of grants that may be returned. leastRoom is the least room
	// that the bucket had since then, in tokens. A returned token must not count if the bucket would
	// have been full in the meantime without its grant, because the token would then have been lost.
	creditableSince time.Duration
	leastRoom       float64
}

// NewBucket returns a bucket whose tokens accrue from the time since, which may be in the future.
// Grants before now cannot be returned to it.
func NewBucket(now, since time.Duration, limit organisation.Limit) *Bucket {
	return &Bucket{limit: limit, at: since, creditableSince: now, leastRoom: math.Inf(1)}
}

// SetLimit changes the limit. The time since the last change of the number of tokens counts at the
// lower of the two rates, because it is not known when within it the change took effect.
func (b *Bucket) SetLimit(now time.Duration, limit organisation.Limit) {
	if limit == b.limit {
		return
	}
	b.limit.Rate = min(b.limit.Rate, limit.Rate)
	b.advance(now)
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst)
	// The room under the previous limit says nothing about the room under this one.
	b.creditableSince, b.leastRoom = now, math.Inf(1)
}

// advance adds the tokens that accrued until now. It ignores times that run backwards.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.limit.Burst, b.tokens+(now-b.at).Seconds()*b.limit.Rate)
	b.at = now
	b.leastRoom = min(b.leastRoom, b.limit.Burst-b.tokens)
	if b.leastRoom < 1 {
		b.creditableSince, b.leastRoom = now, math.Inf(1)
	}
}

// Take takes up to n tokens. If it takes fewer, it returns the time until the next token is due.
func (b *Bucket) Take(now time.Duration, n int) (granted int, again time.Duration) {
	b.advance(now)
	// The tokens of a huge burst may not fit into an int.
	granted = max(0, int(min(float64(n), b.tokens+rounding)))
	b.tokens -= float64(granted)
	if granted == n {
		return granted, 0
	}
	return granted, b.untilNext(now)
}

// untilNext returns the time until a whole token is in the bucket, at most maxAgain.
func (b *Bucket) untilNext(now time.Duration) time.Duration {
	wait := max(0, b.at-now)
	if b.limit.Burst < 1 || b.limit.Rate <= 0 {
		return maxAgain
	}
	seconds := (1 - b.tokens) / b.limit.Rate
	if seconds > maxAgain.Seconds() {
		return maxAgain
	}
	return min(maxAgain, wait+max(time.Millisecond, time.Duration(math.Ceil(seconds*float64(time.Second)))))
}

// Return puts back the token of a grant that was not used, and reports whether it counts. It does not if
// the bucket would have been full since then without the grant. The bucket then holds what it would hold
// if the grant had never been made, so the return allows no permit beyond the limit.
func (b *Bucket) Return(now, grantedAt time.Duration) bool {
	b.advance(now)
	if grantedAt < b.creditableSince || b.limit.Burst-b.tokens < 1 {
		return false
	}
	b.tokens++
	b.leastRoom--
	if b.leastRoom < 1 {
		b.creditableSince, b.leastRoom = now, math.Inf(1)
	}
	return true
}

// full reports whether the bucket holds all the tokens that it can hold.
func (b *Bucket) full(now time.Duration) bool {
	b.advance(now)
	return b.tokens >= b.limit.Burst
}
