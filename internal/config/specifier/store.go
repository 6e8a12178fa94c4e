package specifier

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Store is the configuration of one store host.
type Store struct {
	// DataCentre names the data centre that the store is in.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is where the store is reached; an IP address and port of its own.
	Address netip.AddrPort `json:"address"`
	// LinkBytesPerSecond is the limit of the store's link, in bytes a second; 1 to 1125899906842624.
	LinkBytesPerSecond int64 `json:"link-bytes-per-second"`
	// State says whether the store takes new blocks.
	State State `json:"state"`
}

const (
	defaultLinkBytesPerSecond = 1_250_000_000
	maxLinkBytesPerSecond     = 1 << 50
)

// DefaultStore returns the defaults for a store.
func DefaultStore() Store {
	return Store{LinkBytesPerSecond: defaultLinkBytesPerSecond, State: StateIn}
}

// SetDefaults sets s to DefaultStore.
func (s *Store) SetDefaults() { *s = DefaultStore() }

func (v *validator) checkStore(key string, s Store) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	checkReference(v, at("data-centre"), s.DataCentre, v.fleet.DataCentres, "data centres")
	v.checkAddress(at("address"), s.Address)
	decoder.CheckOneOf(&v.Reporter, at("state"), s.State, s.State.Allowed())
	decoder.CheckRange(&v.Reporter, at("link-bytes-per-second"), s.LinkBytesPerSecond, 1, maxLinkBytesPerSecond)
}
