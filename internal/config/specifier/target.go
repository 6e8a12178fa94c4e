package specifier

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Target is the configuration of one worker.
type Target struct {
	// Service names the service that the target serves.
	Service identifier.Service `json:"service"`
	// DataCentre names the data centre that the target is in.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is where the target is reached; an IP address and port of its own.
	Address netip.AddrPort `json:"address"`
	// State says whether the target takes new work.
	State State `json:"state"`
	// ColdLimit bounds the requests that run at once on a cold target, from 1 to warm-limit.
	ColdLimit int `json:"cold-limit"`
	// WarmLimit bounds the requests that run at once on a warm target, from 1 to 100000.
	WarmLimit int `json:"warm-limit"`
	// ChecksFence is true when the target refuses orders with an old fencing number.
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
