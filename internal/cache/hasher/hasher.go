// Package hasher splits prompts into cache blocks and derives the blocks' keys.
// Keys are bound to a team, model, adapter and weight version, so that a key of
// one never identifies a block of another.
package hasher

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const (
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 1024
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4
	// BlockBytes is the number of prompt bytes in one cache block.
	BlockBytes = BlockTokens * BytesPerToken
)

// Digest is a hash of a block's text and all text before it. It is not bound to a
// team and never leaves the process.
type Digest [sha256.Size]byte

// Tokens returns the number of tokens in a prompt of n bytes, rounded up.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Digests returns a chained digest for each full block of prompt. Text after the
// last full block is ignored.
func Digests(prompt string) []Digest {
	n := len(prompt) / BlockBytes
	digests := make([]Digest, 0, n)
	h := sha256.New()
	var previous Digest
	for i := range n {
		h.Reset()
		h.Write(previous[:])
		h.Write([]byte(prompt[i*BlockBytes : (i+1)*BlockBytes]))
		h.Sum(previous[:0])
		digests = append(digests, previous)
	}
	return digests
}

// Scope is what a block key is bound to besides the text.
type Scope struct {
	Team    identifier.Team
	Model   identifier.Model
	Adapter identifier.Adapter
	Version identifier.WeightVersion
}

// Keyer derives block keys from digests with a secret, so that callers cannot
// compute them.
type Keyer struct {
	secret []byte
}

// Config configures a Keyer.
type Config struct {
	// Secret is the key of the HMAC and is shared by all daemons of the fleet.
	Secret []byte
}

// New returns a Keyer with a copy of the secret.
func New(cfg Config) *Keyer {
	secret := make([]byte, len(cfg.Secret))
	copy(secret, cfg.Secret)
	return &Keyer{secret: secret}
}

// Keys returns the block keys of digests in scope, in the same order.
func (k *Keyer) Keys(scope Scope, digests []Digest) []identifier.BlockKey {
	key := k.scopeKey(scope)
	mac := hmac.New(sha256.New, key)
	keys := make([]identifier.BlockKey, len(digests))
	var sum [sha256.Size]byte
	for i := range digests {
		mac.Reset()
		mac.Write(digests[i][:])
		mac.Sum(sum[:0])
		copy(keys[i][:], sum[:])
	}
	return keys
}

// scopeKey returns the HMAC key for the blocks of scope. Each field is preceded by
// its length, so that no two scopes hash the same bytes.
func (k *Keyer) scopeKey(scope Scope) []byte {
	mac := hmac.New(sha256.New, k.secret)
	writeField(mac, string(scope.Team))
	writeField(mac, string(scope.Model))
	writeField(mac, string(scope.Adapter))
	writeField(mac, string(scope.Version))
	return mac.Sum(nil)
}

func writeField(h hash.Hash, field string) {
	n := len(field)
	h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
	h.Write([]byte(field))
}
