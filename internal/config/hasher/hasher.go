// Package hasher keeps bearer keys out of the configuration: it hashes keys
// and finds the team of a presented key by its hash.
package hasher

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports a key hash that is malformed.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// HashKey returns the SHA-256 hash of a bearer key in hexadecimal digits.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// prefixBytes is the length of the part of a hash that selects a bucket.
const prefixBytes = 8

type prefix [prefixBytes]byte

type entry struct {
	digest [sha256.Size]byte
	team   identifier.Team
}

// Config holds what a Table is built from.
type Config struct {
	// Teams are the teams whose keys the table knows.
	Teams map[identifier.Team]specifier.Team
}

// Table finds the team of a bearer key. It does not change after New.
type Table struct{ buckets map[prefix][]entry }

// New returns a Table of all keys of cfg.Teams, or an *Error for a malformed
// key hash.
func New(cfg Config) (*Table, error) {
	t := &Table{buckets: map[prefix][]entry{}}
	for name, team := range cfg.Teams {
		for _, hash := range team.KeyHashes {
			if err := t.add(name, hash); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

func (t *Table) add(name identifier.Team, hash string) error {
	e := entry{team: name}
	if hex.DecodedLen(len(hash)) != sha256.Size {
		err := errors.Newf("key hash of team %q has %d digits, want %d", name, len(hash), 2*sha256.Size)
		return &Error{failer.Detail[Kind]{Op: "add key", Kind: KindInvalid, Err: err}}
	}
	if _, err := hex.Decode(e.digest[:], []byte(hash)); err != nil {
		err = errors.Wrapf(err, "key hash of team %q", name)
		return &Error{failer.Detail[Kind]{Op: "add key", Kind: KindInvalid, Err: err}}
	}
	p := prefix(e.digest[:prefixBytes])
	t.buckets[p] = append(t.buckets[p], e)
	return nil
}

// Team returns the team of key, and false when no team has it. Only the hash
// of key is compared, and whole hashes are compared in constant time.
func (t *Table) Team(key string) (identifier.Team, bool) {
	digest := sha256.Sum256([]byte(key))
	for _, e := range t.buckets[prefix(digest[:prefixBytes])] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			return e.team, true
		}
	}
	return "", false
}
