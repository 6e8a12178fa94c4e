// Package hasher hashes bearer keys and looks up the team of a key by its hash,
// so that the configuration does not contain the keys themselves.
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

// HashKey returns the hexadecimal SHA-256 hash of a bearer key.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// prefixBytes is the length of the hash prefix that selects a bucket.
const prefixBytes = 8

type digestPrefix [prefixBytes]byte

type tableEntry struct {
	digest [sha256.Size]byte
	team   identifier.Team
}

// Config holds the options of a Table.
type Config struct {
	// Teams are the teams whose keys can be looked up.
	Teams map[identifier.Team]specifier.Team
}

// Table looks up the team of a bearer key. It is immutable.
type Table struct{ buckets map[digestPrefix][]tableEntry }

// New returns a Table of the keys of all teams, or an *Error if a key hash is
// malformed.
func New(cfg Config) (*Table, error) {
	t := &Table{buckets: map[digestPrefix][]tableEntry{}}
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
	e := tableEntry{team: name}
	if hex.DecodedLen(len(hash)) != sha256.Size {
		err := errors.Newf("key hash of team %q has %d digits, want %d", name, len(hash), 2*sha256.Size)
		return &Error{failer.Detail[Kind]{Op: "add key", Kind: KindInvalid, Err: err}}
	}
	if _, err := hex.Decode(e.digest[:], []byte(hash)); err != nil {
		err = errors.Wrapf(err, "key hash of team %q", name)
		return &Error{failer.Detail[Kind]{Op: "add key", Kind: KindInvalid, Err: err}}
	}
	p := digestPrefix(e.digest[:prefixBytes])
	t.buckets[p] = append(t.buckets[p], e)
	return nil
}

// Team returns the team that owns key, or false if there is none. It compares only
// hashes, and whole hashes in constant time.
func (t *Table) Team(key string) (identifier.Team, bool) {
	digest := sha256.Sum256([]byte(key))
	for _, e := range t.buckets[digestPrefix(digest[:prefixBytes])] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			return e.team, true
		}
	}
	return "", false
}
