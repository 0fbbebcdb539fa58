// Package idempotency decides which attempt holds an idempotency key.
//
// Keys hash to shards. A shard is a log of numbered, immutable segments in the
// object store. Whoever creates the next number first wins, so safety rests on
// the store alone; the owner of a shard is only a hint that avoids contention.
//
// A written segment counts only if the floor of the log, read after the write,
// is not above its number. The floor is raised before segments below it are
// deleted. Without this check a paused owner could create a deleted number again.
//
// A key is kept for ClaimRetention by the count of time of its shard. Each segment carries
// the count: that of the segment before it, plus the time that its writer
// measured, by its own clock, since it learned that the segment before exists.
// Time in between is not counted, so the count never runs ahead of real time,
// and a takeover only makes keys last longer.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawlane/jackdawlane/attempt"
)

// Shards is the number of shards. It is not a setting: nodes with different
// numbers would look for one key in different logs.
const Shards = 32

// keyBytes of the SHA-256 leave 64 bits against collisions that an organisation seeks.
const keyBytes = 16

// Key is the hash of organisation, route and key.
type Key [keyBytes]byte

// HashKey returns the hash of a caller's key on a route.
func HashKey(organisation, route, key string) Key {
	h := hashOf(organisation, route, key)
	return Key(h[:keyBytes])
}

// Shard returns the number of the key's shard.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k[:]) % Shards)
}

// Fingerprint tells apart requests that carry the same key. Length is that of
// the body, -1 when unknown, and prefix is its first part.
func Fingerprint(method, path string, length int64, prefix []byte) uint64 {
	text := binary.BigEndian.AppendUint64(nil, uint64(length))
	h := hashOf(method, path, string(text), string(prefix))
	return binary.BigEndian.Uint64(h[:])
}

// hashOf prefixes each part with its length, so that no two lists of parts look the same.
func hashOf(parts ...string) [sha256.Size]byte {
	var b []byte
	for _, p := range parts {
		b = binary.BigEndian.AppendUint64(b, uint64(len(p)))
		b = append(b, p...)
	}
	return sha256.Sum256(b)
}

// ClaimWindow bounds the time from the receipt of a request to the making of an
// attempt ID that it claims a key for.
const ClaimWindow = time.Minute

// ClaimRetention returns how long a claim is kept, so that a request received within
// retention of another finds that one's claim. Its attempt is taken by a guard
// at most ClaimWindow and attempt.MaxAge after its receipt. A quarter more
// covers clocks whose rates differ by up to 10 %.
func ClaimRetention(retention time.Duration) time.Duration {
	return (retention + ClaimWindow + attempt.MaxAge) * 5 / 4
}

// Weight orders the nodes for a shard by rendezvous hashing; the highest should own it.
func Weight(shard int, nodeID string) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(nodeID), uint64(shard))
	return xxhash.Sum64(text)
}
