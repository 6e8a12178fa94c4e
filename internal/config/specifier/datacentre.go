package specifier

import (
	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// State says whether new work is assigned to an entry.
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
	// Region names the group of data centres that work may spill over to; required.
	Region identifier.Region `json:"region"`
	// State says whether the data centre takes new work.
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
