package specifier

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Team is the configuration of one organisation. Its requests and its cache are
// isolated from those of other teams.
type Team struct {
	// KeyHashes lists the SHA-256 hashes of the team's bearer keys in 64 hexadecimal digits; at least one, each unique in the fleet.
	KeyHashes []string `json:"key-hashes"`
	// Weight is the team's relative share of contended capacity; from 0.000001 to 1000000.
	Weight float64 `json:"weight"`
	// RequestsPerSecond is the team's request rate limit in the whole fleet; 0 means no limit.
	RequestsPerSecond float64 `json:"requests-per-second"`
	// TokensPerSecond is the team's token rate limit in the whole fleet; 0 means no limit.
	TokensPerSecond float64 `json:"tokens-per-second"`
	// Services lists the services that the team may use, at least one; all if left out.
	Services []identifier.Service `json:"services,omitempty"`
}

// Limits of a team's weight.
const (
	minTeamWeight = 1e-6
	maxTeamWeight = 1e6
)

// DefaultTeam returns the defaults for a team.
func DefaultTeam() Team { return Team{Weight: 1} }

// SetDefaults sets t to DefaultTeam.
func (t *Team) SetDefaults() { *t = DefaultTeam() }

func (v *validator) checkTeam(key string, t Team) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	decoder.CheckRange(&v.Reporter, at("weight"), t.Weight, minTeamWeight, maxTeamWeight)
	v.checkNonNegative(at("requests-per-second"), t.RequestsPerSecond)
	v.checkNonNegative(at("tokens-per-second"), t.TokensPerSecond)
	if t.Services != nil && len(t.Services) == 0 {
		v.Reportf(at("services"), "is empty, want at least one service, or no list for all services")
	}
	checkDistinct(v, at("services"), t.Services)
	for i, service := range t.Services {
		checkReference(v, decoder.IndexKey(at("services"), i), service, v.fleet.Services, "services")
	}
	if len(t.KeyHashes) == 0 {
		v.Reportf(at("key-hashes"), "is empty, want at least one SHA-256 hash of a key")
	}
	for i, hash := range t.KeyHashes {
		v.checkKeyHash(decoder.IndexKey(at("key-hashes"), i), hash)
	}
}

// checkKeyHash reports a malformed or repeated hash.
func (v *validator) checkKeyHash(key, hash string) {
	digest, err := hex.DecodeString(hash)
	if err != nil || len(digest) != sha256.Size {
		v.Reportf(key, "is %q, want %d hexadecimal digits", hash, hex.EncodedLen(sha256.Size))
		return
	}
	hash = strings.ToLower(hash)
	if other, ok := v.hashes[hash]; ok {
		v.Reportf(key, "repeats the key hash of %s", other)
		return
	}
	v.hashes[hash] = key
}
