package hop

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// GuardTime is a reading of the clock of one incarnation of a guard. Guards send it
// with their replies, and an entry puts the latest reading of a guard's clock into the ID
// of each attempt that it sends to that guard. A guard can thus tell by its own clock
// alone whether its record of the attempt may have expired.
type GuardTime struct {
	// Incarnation identifies the incarnation of the guard. 0 means that no reading is known.
	Incarnation uint64
	// Age is the time since the start of the incarnation.
	Age time.Duration
}

// String returns the form that ParseGuardTime reads: the incarnation, '.' and the age in
// milliseconds.
func (t GuardTime) String() string {
	return fmt.Sprintf("%d.%d", t.Incarnation, t.Age.Milliseconds())
}

// maxAgeMS is the largest age in milliseconds that a time.Duration can hold.
const maxAgeMS = math.MaxInt64 / int64(time.Millisecond)

// ParseGuardTime reads the form that GuardTime.String returns.
func ParseGuardTime(text string) (GuardTime, bool) {
	incarnationText, ageText, _ := strings.Cut(text, ".")
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil {
		return GuardTime{}, false
	}
	ms, err := strconv.ParseInt(ageText, 10, 64)
	if err != nil || ms < 0 || ms > maxAgeMS {
		return GuardTime{}, false
	}
	return GuardTime{Incarnation: incarnation, Age: time.Duration(ms) * time.Millisecond}, true
}

// attemptIDBytes is the number of random bytes in an attempt ID, enough that IDs cannot
// be guessed and do not collide.
const attemptIDBytes = 16

// NewAttemptID returns a new attempt ID: random bytes in hex, followed by '-' and the
// last reading of the guard's clock that the entry knows.
func NewAttemptID(known GuardTime) string {
	var b [attemptIDBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:]) + "-" + known.String()
}

// AttemptGuardTime returns the reading of the guard's clock in an attempt ID, and false
// if the ID is malformed.
func AttemptGuardTime(id string) (GuardTime, bool) {
	random, text, _ := strings.Cut(id, "-")
	if len(random) != hex.EncodedLen(attemptIDBytes) {
		return GuardTime{}, false
	}
	return ParseGuardTime(text)
}
