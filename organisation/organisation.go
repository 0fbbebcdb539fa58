// Package organisation defines the customers of the fleet and the secrets that identify
// them. Only the hash of a secret is kept.
package organisation

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned, wrapped with the cause, for an invalid organisation or hash.
var ErrInvalid = errors.New("invalid organisation")

// Organisation is a customer of the fleet.
type Organisation struct {
	// Name identifies the organisation; routes refer to it.
	Name string `json:"name"`
	// SecretSHA256 is the hash of the organisation's secret.
	SecretSHA256 Hash `json:"secret_sha256"`
	// KeyHashes are the hashes of the API keys that identify the organisation where callers send
	// no name beside their secret.
	KeyHashes []Hash `json:"key_hashes,omitempty"`
	// Priority ranks the organisation's requests before those of others; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Limit bounds the organisation's requests over all nodes.
	Limit Limit `json:"limit,omitzero"`
}

// Limit is a rate limit with a burst. The zero Limit sets no limit.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64 `json:"burst,omitempty"`
}

// Unlimited reports whether the limit allows any number of requests.
func (l Limit) Unlimited() bool { return l.Rate == 0 }

// Key returns the key of the organisation's row in the configuration.
func (o Organisation) Key() string { return o.Name }

// Validate returns ErrInvalid if the name is empty or the hash is missing.
func (o Organisation) Validate() error {
	if o.Name == "" {
		return errors.Wrap(ErrInvalid, "name is empty")
	}
	if o.SecretSHA256 == (Hash{}) {
		return errors.Wrapf(ErrInvalid, "organisation %s: secret_sha256 is missing; expected a lower-case hexadecimal SHA-256 hash", o.Name)
	}
	return nil
}

// Hash is the SHA-256 hash of a secret. Its text form is lower-case hexadecimal.
type Hash [sha256.Size]byte

// HashSecret returns the hash of a secret.
func HashSecret(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// CheckSecret reports whether secret has the hash. It compares the hashes in constant time.
func CheckSecret(secret string, hash Hash) bool {
	sum := HashSecret(secret)
	return subtle.ConstantTimeCompare(sum[:], hash[:]) == 1
}

// String returns the text form. It is empty for the zero hash, which means that no hash is
// set.
func (h Hash) String() string {
	if h == (Hash{}) {
		return ""
	}
	return hex.EncodeToString(h[:])
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns ErrInvalid if the text is
// neither empty nor the text form of a hash.
func (h *Hash) UnmarshalText(text []byte) error {
	var decoded Hash
	n, err := hex.Decode(decoded[:], text[:min(len(text), 2*sha256.Size)])
	if len(text) > 0 && (err != nil || n != sha256.Size || decoded.String() != string(text)) {
		return errors.Wrapf(ErrInvalid, "%q is not a lower-case hexadecimal SHA-256 hash", text)
	}
	*h = decoded
	return nil
}
