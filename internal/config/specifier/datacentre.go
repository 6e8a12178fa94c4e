package specifier

import (
	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// State determines whether new work is assigned to an entry.
type State string

// The states of an entry.
const (
	StateIn  State = "in"
	StateOut State = "out"
)

// Allowed returns all states.
func (State) Allowed() []State { return []State{StateIn, StateOut} }

// DataCentre is the configuration of one data centre.
type DataCentre struct {
	// Region names the group of data centres among which requests may spill over; required.
	Region identifier.Region `json:"region"`
	// State determines whether the targets of the data centre receive new requests.
	State State `json:"state"`
}

// DefaultDataCentre returns the defaults for a data centre.
func DefaultDataCentre() DataCentre { return DataCentre{State: StateIn} }

// SetDefaults sets d to DefaultDataCentre.
func (d *DataCentre) SetDefaults() { *d = DefaultDataCentre() }

func (v *validator) checkDataCentre(key string, d DataCentre) {
	if !ValidName(string(d.Region)) {
		v.Reportf(decoder.JoinKey(key, "region"), "is %q, want the name of a region", d.Region)
	}
	decoder.CheckOneOf(&v.Reporter, decoder.JoinKey(key, "state"), d.State, d.State.Allowed())
}
