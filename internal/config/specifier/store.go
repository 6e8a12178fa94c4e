package specifier

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Store is the configuration of one host that stores cache blocks.
type Store struct {
	// DataCentre names the data centre that the store is in.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is the address of the store; an IP address and port that no other entry uses.
	Address netip.AddrPort `json:"address"`
	// LinkBytesPerSecond is the bandwidth of the store's link, in bytes per second; 1 to 1125899906842624.
	LinkBytesPerSecond int64 `json:"link-bytes-per-second"`
	// State determines whether the store is used for imports and exports of blocks.
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
