package specifier

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Host is the configuration of one entry host.
type Host struct {
	// DataCentre names the data centre that the host is in.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// State determines whether the host's daemon receives new requests.
	State State `json:"state"`
	// Peer is the address at which other daemons reach the host's daemon; an IP address and port that no other entry uses.
	Peer netip.AddrPort `json:"peer"`
}

// DefaultHost returns the defaults for a host.
func DefaultHost() Host { return Host{State: StateIn} }

// SetDefaults sets h to DefaultHost.
func (h *Host) SetDefaults() { *h = DefaultHost() }

func (v *validator) checkHost(key string, h Host) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	checkReference(v, at("data-centre"), h.DataCentre, v.fleet.DataCentres, "data centres")
	decoder.CheckOneOf(&v.Reporter, at("state"), h.State, h.State.Allowed())
	v.checkAddress(at("peer"), h.Peer)
}
