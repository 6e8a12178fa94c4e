package checker

import (
	"maps"
	"slices"
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// FleetInput is a configuration in the project's own format.
type FleetInput struct {
	Draft specifier.Draft
	// InForce is the configuration to compare with, or nil.
	InForce *specifier.Draft
}

// fleetState collects the findings of one check.
type fleetState struct {
	checkState
	draft *specifier.Draft
}

// CheckFleet checks a configuration in the project's own format. Findings that depend on a part which can't be decoded are
// left out.
func CheckFleet(in FleetInput) Report {
	c := &fleetState{draft: &in.Draft}
	for _, p := range in.Draft.Problems {
		c.at(KindError, p.Key, "%s", p.Message)
	}
	c.checkServices()
	c.checkUse()
	c.checkProfiles()
	var differences []Difference
	if in.InForce != nil {
		differences = diffFleets(in.InForce, &in.Draft)
	}
	return newReport(&c.checkState, differences)
}

func (c *fleetState) at(kind Kind, key, format string, args ...any) {
	line := 1 // The file as a whole.
	if key != "" {
		line = c.draft.Index.Line(key)
	} else if broken := c.draft.Index.Broken(); broken > 0 {
		line = broken
	}
	c.reportf(kind, descriptor.Position{Key: key, Line: line}, format, args...)
}

// checkServices reports services and paths that no request can use.
func (c *fleetState) checkServices() {
	f := &c.draft.Fleet
	served := map[identifier.Service]bool{}
	for _, t := range f.Targets {
		served[t.Service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		key := decoder.JoinKey("services", string(name))
		if c.draft.Complete("targets") && !served[name] {
			c.at(KindNeverMatches, key, "service %q has no targets", name)
		}
		// A prefix that another one begins is sorted behind it.
		prefixes := f.Services[name].NonRepeatable
		order := make([]int, len(prefixes))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int { return strings.Compare(prefixes[a], prefixes[b]) })
		last := -1
		for _, i := range order {
			if last >= 0 && strings.HasPrefix(prefixes[i], prefixes[last]) {
				c.at(KindNeverMatches, decoder.IndexKey(decoder.JoinKey(key, "non-repeatable"), i), "the prefix is covered by element %d, %q", last, shorten(prefixes[last]))
				continue
			}
			last = i
		}
	}
}

// checkUse reports profiles and models that no service uses.
func (c *fleetState) checkUse() {
	f := &c.draft.Fleet
	if !c.draft.Complete("services") {
		return
	}
	profiles, models := map[identifier.Profile]bool{}, map[identifier.Model]bool{}
	for _, s := range f.Services {
		profiles[s.Profile] = true
		for _, m := range s.Models {
			models[m] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Profiles)) {
		if !profiles[name] {
			c.at(KindNeverMatches, decoder.JoinKey("profiles", string(name)), "no service uses profile %q", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Models)) {
		if !models[name] {
			c.at(KindNeverMatches, decoder.JoinKey("models", string(name)), "no service uses model %q", name)
		}
	}
}

// checkProfiles reports limits of profiles that contradict each other, if the file states them.
func (c *fleetState) checkProfiles() {
	f := &c.draft.Fleet
	repeatable, used := map[identifier.Profile]bool{}, map[identifier.Profile]bool{}
	for _, s := range f.Services {
		used[s.Profile] = true
		if !slices.Contains(s.NonRepeatable, "/") {
			repeatable[s.Profile] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Profiles)) {
		p, key := f.Profiles[name], decoder.JoinKey("profiles", string(name))
		at := func(value string) string { return decoder.JoinKey(key, value) }
		attempts := p.MaxAttempts > 1 && c.draft.Index.Has(at("max-attempts"))
		if attempts && used[name] && !repeatable[name] && c.draft.Complete("services") {
			c.at(KindLimits, at("max-attempts"), "%d attempts are more than its services can make: their requests run at most once", p.MaxAttempts)
		}
		if attempts && p.RetryBudget == 0 {
			c.at(KindLimits, at("max-attempts"), "%d attempts are more than the retry budget of 0 allows", p.MaxAttempts)
		}
		if c.draft.Index.Has(at("stall-timeout")) && p.StallTimeout.Duration > p.DefaultDeadline.Duration {
			c.at(KindLimits, at("stall-timeout"), "the stall timeout of %v is above the default deadline of %v", p.StallTimeout, p.DefaultDeadline)
		}
	}
}
