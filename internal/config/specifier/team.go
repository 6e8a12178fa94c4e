package specifier

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Team is one organisation whose requests and cache are kept apart from those of others.
type Team struct {
	// KeyHashes are SHA-256 hashes of the team's bearer keys in 64 hexadecimal digits; at least one, each of one team only.
	KeyHashes []string `json:"key-hashes"`
	// Weight is the team's share of contended capacity; from 0.000001 to 1000000.
	Weight float64 `json:"weight"`
	// RequestsPerSecond limits the team's requests over the fleet; 0 means no limit.
	RequestsPerSecond float64 `json:"requests-per-second"`
	// TokensPerSecond limits the team's tokens over the fleet; 0 means no limit.
	TokensPerSecond float64 `json:"tokens-per-second"`
	// Services lists the services the team may use; empty means all.
	Services []identifier.Service `json:"services,omitempty"`
}

// Bounds of a team's weight.
const (
	minTeamWeight = 1e-6
	maxTeamWeight = 1e6
)

// DefaultTeam returns the settings of a team that names none.
func DefaultTeam() Team { return Team{Weight: 1} }

// SetDefaults replaces t by DefaultTeam.
func (t *Team) SetDefaults() { *t = DefaultTeam() }

func (v *validator) team(key string, t Team) {
	at := func(name string) string { return decoder.Join(key, name) }
	decoder.Within(&v.Reporter, at("weight"), t.Weight, minTeamWeight, maxTeamWeight)
	v.finite(at("requests-per-second"), t.RequestsPerSecond)
	v.finite(at("tokens-per-second"), t.TokensPerSecond)
	distinct(v, at("services"), t.Services)
	for i, service := range t.Services {
		reference(v, decoder.Index(at("services"), i), service, v.fleet.Services, "services")
	}
	if len(t.KeyHashes) == 0 {
		v.Reportf(at("key-hashes"), "is empty, want at least one SHA-256 hash of a key")
	}
	for i, hash := range t.KeyHashes {
		v.keyHash(decoder.Index(at("key-hashes"), i), hash)
	}
}

func (v *validator) keyHash(key, hash string) {
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
