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

// GuardTime is a reading of the clock of one incarnation of a guard. Guards put
// it on replies, and entries put it into attempt IDs, so that a guard can tell
// by its own clock alone whether its record of an attempt can have expired.
type GuardTime struct {
	// Incarnation is that of the guard; 0 means that no reading is known.
	Incarnation uint64
	// Age is the time since the start of the incarnation.
	Age time.Duration
}

// String returns the form that ParseGuardTime reads: incarnation, '.' and milliseconds.
func (t GuardTime) String() string {
	return fmt.Sprintf("%d.%d", t.Incarnation, t.Age.Milliseconds())
}

// maxAgeMS keeps an age in milliseconds within a time.Duration.
const maxAgeMS = math.MaxInt64 / int64(time.Millisecond)

// ParseGuardTime reads the form that String writes.
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

// attemptIDBytes makes attempt IDs unguessable and free of collisions.
const attemptIDBytes = 16

// NewAttemptID returns a random attempt ID in hex, followed by '-' and the last
// reading of the guard's clock that the entry knows.
func NewAttemptID(known GuardTime) string {
	var b [attemptIDBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:]) + "-" + known.String()
}

// AttemptGuardTime returns the reading of the guard's clock in an attempt ID.
func AttemptGuardTime(id string) (GuardTime, bool) {
	random, text, _ := strings.Cut(id, "-")
	if len(random) != hex.EncodedLen(attemptIDBytes) {
		return GuardTime{}, false
	}
	return ParseGuardTime(text)
}
