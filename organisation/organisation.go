// Package organisation tells organisations apart by a credential of which only a hash is kept.
package organisation

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks an organisation whose fields break a rule.
var ErrInvalid = errors.New("invalid organisation")

// Organisation is a customer of the fleet.
type Organisation struct {
	// Name identifies the organisation; routes refer to it.
	Name string `json:"name"`
	// SecretSHA256 is the hex SHA-256 of the organisation's secret.
	SecretSHA256 string `json:"secret_sha256"`
}

// Key returns the row key of the organisation.
func (o Organisation) Key() string { return o.Name }

// Validate returns ErrInvalid when a field breaks a rule.
func (o Organisation) Validate() error {
	if o.Name == "" {
		return errors.Wrap(ErrInvalid, "name is empty")
	}
	if !ValidHash(o.SecretSHA256) {
		return errors.Wrapf(ErrInvalid, "organisation %s: secret_sha256 is not a hex SHA-256", o.Name)
	}
	return nil
}

// HashSecret returns the hex SHA-256 of a secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// CheckSecret reports whether secret hashes to the hex SHA-256 hash, in constant time.
func CheckSecret(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(hash)) == 1
}

// ValidHash reports whether s is a lower-case hex SHA-256.
func ValidHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && hex.EncodeToString(b) == s
}
