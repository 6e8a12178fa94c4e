package specifier

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Target is the configuration of one target.
type Target struct {
	// Service names the service that the target serves.
	Service identifier.Service `json:"service"`
	// DataCentre names the data centre that the target is in.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is the address of the target; an IP address and port that no other entry uses.
	Address netip.AddrPort `json:"address"`
	// State determines whether the target receives new requests.
	State State `json:"state"`
	// ColdLimit is the maximum number of concurrent requests on the target while it is cold, from 1 to warm-limit.
	ColdLimit int `json:"cold-limit"`
	// WarmLimit is the maximum number of concurrent requests on the target when it is warm, from 1 to 100000.
	WarmLimit int `json:"warm-limit"`
	// ChecksFence is true if the target rejects orders with an outdated fencing token.
	ChecksFence bool `json:"checks-fence"`
}

const maxWarmLimit = 100_000

// DefaultTarget returns the defaults for a target.
func DefaultTarget() Target { return Target{State: StateIn, ColdLimit: 2, WarmLimit: 32} }

// SetDefaults sets t to DefaultTarget.
func (t *Target) SetDefaults() { *t = DefaultTarget() }

func (v *validator) checkTarget(key string, t Target) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	checkReference(v, at("service"), t.Service, v.fleet.Services, "services")
	checkReference(v, at("data-centre"), t.DataCentre, v.fleet.DataCentres, "data centres")
	v.checkAddress(at("address"), t.Address)
	decoder.CheckOneOf(&v.Reporter, at("state"), t.State, t.State.Allowed())
	decoder.CheckRange(&v.Reporter, at("warm-limit"), t.WarmLimit, 1, maxWarmLimit)
	if t.ColdLimit < 1 || t.ColdLimit > t.WarmLimit {
		v.Reportf(at("cold-limit"), "is %d, want 1 to the warm-limit of %d", t.ColdLimit, t.WarmLimit)
	}
}
