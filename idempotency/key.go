// Package idempotency decides which attempt holds an idempotency key.
//
// Keys hash to shards. The state of a shard is a log of numbered, immutable
// segments in the object store. Several owners may write to one log: the store
// accepts only the first segment under each number. Correctness therefore depends
// on the store alone; assigning one owner to each shard only avoids contention.
//
// A segment takes effect only if the floor of the log, read after the segment was
// written, is not above its number. Segments below the floor are deleted, and the
// floor is raised before that. Without this check, a segment that a
// paused owner creates again under a deleted number would take effect.
//
// A claim is kept for ClaimRetention, measured in shard time. Each segment carries
// its shard time in the field count_ms. This is the shard time of the previous
// segment plus the time, on the writer's own clock, since the writer learned that
// the previous segment exists. The time between the creation of a segment and the
// moment when the next writer learns of it is not counted. So shard time never runs
// ahead of real time, and a change of owner can only make claims last longer.
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

// keyBytes is the length of a Key. 16 bytes of a SHA-256 hash leave a strength of
// 64 bits against an organisation that searches for collisions.
const keyBytes = 16

// Key is the hash of an organisation, a route and the idempotency key of a caller.
type Key [keyBytes]byte

// HashKey returns the Key for the idempotency key that a caller sent to a route.
func HashKey(organisation, route, key string) Key {
	h := hashOf(organisation, route, key)
	return Key(h[:keyBytes])
}

// Shard returns the number of the key's shard.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k[:]) % Shards)
}

// Fingerprint returns a hash that tells apart different requests with the same
// key. Length is the length of the body, -1 when it is unknown, and prefix is the
// first part of the body.
func Fingerprint(method, path string, length int64, prefix []byte) uint64 {
	text := binary.BigEndian.AppendUint64(nil, uint64(length))
	h := hashOf(method, path, string(text), string(prefix))
	return binary.BigEndian.Uint64(h[:])
}

// hashOf hashes a list of parts. It prefixes each part with its length, so that no
// two different lists give the same input to the hash.
func hashOf(parts ...string) [sha256.Size]byte {
	var b []byte
	for _, p := range parts {
		b = binary.BigEndian.AppendUint64(b, uint64(len(p)))
		b = append(b, p...)
	}
	return sha256.Sum256(b)
}

// ClaimWindow bounds the time from the receipt of a request to the creation of an
// attempt ID for which the request claims its key.
const ClaimWindow = time.Minute

// ClaimRetention returns how long a claim is kept, so that a request finds the claim
// of an earlier request that was received at most retention before it. A guard
// accepts the attempt of a request at most ClaimWindow plus attempt.MaxAge after
// the request was received. Another quarter of the sum covers clocks whose rates
// differ by up to 10 %.
func ClaimRetention(retention time.Duration) time.Duration {
	return (retention + ClaimWindow + attempt.MaxAge) * 5 / 4
}

// OwnerWeight returns the rendezvous hash of a node for a shard. The node with the
// highest weight should own the shard.
func OwnerWeight(shard int, nodeID string) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(nodeID), uint64(shard))
	return xxhash.Sum64(text)
}
