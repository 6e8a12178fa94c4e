package checker

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// diffFleets returns the differences between the version in force and a configuration, entry by entry. Absent keys of
// entries compare as their defaults.
func diffFleets(before, after *specifier.Draft) []Difference {
	inForce, wanted := encodedEntries(before), encodedEntries(after)
	var result []Difference
	for _, section := range slices.Sorted(maps.Keys(fleetEffects)) {
		result = append(result, listDiff{
			noun: strings.TrimSuffix(section, "s"), beforeWhole: before.Complete(section), afterWhole: after.Complete(section),
			before: inForce[section], after: wanted[section], effects: fleetEffects[section],
		}.run()...)
	}
	return result
}

// encodedEntries returns the entries of a fleet by section and name.
func encodedEntries(d *specifier.Draft) map[string]map[string]*descriptor.DraftEntry {
	result := map[string]map[string]*descriptor.DraftEntry{}
	text, err := json.Marshal(d.Fleet)
	if err != nil {
		return result // A number that isn't finite can't come from JSON.
	}
	for _, section := range decoder.Members(text) {
		entries := map[string]*descriptor.DraftEntry{}
		for _, entry := range decoder.Members(section.Value) {
			key := decoder.JoinKey(section.Name, entry.Name)
			e := &descriptor.DraftEntry{Position: descriptor.Position{Key: key, Line: d.Index.Line(key)}, Name: entry.Name}
			for _, value := range decoder.Members(entry.Value) {
				e.Values = append(e.Values, descriptor.DraftValue{Name: value.Name, Text: string(value.Value)})
			}
			entries[entry.Name] = e
		}
		result[section.Name] = entries
	}
	return result
}

// effectsFunc returns the effects of a difference of an entry; either entry may be nil.
type effectsFunc func(before, after *descriptor.DraftEntry, values []Change) []string

// valueEffects returns an effectsFunc from the effect of each changed value, and the effects of the removal.
func valueEffects(removed []string, byValue map[string]string) effectsFunc {
	return func(before, after *descriptor.DraftEntry, values []Change) []string {
		if after == nil {
			return removed
		}
		var effects []string
		for _, v := range values {
			if effect := byValue[v.Name]; effect != "" {
				effects = append(effects, effect)
			}
		}
		return effects
	}
}

const (
	closedEffect = "connections to the former address are closed"
	stateEffect  = "new work is assigned to it only while its state is in"
)

// fleetEffects are the effects of differences by section.
var fleetEffects = map[string]effectsFunc{
	"data-centres": valueEffects([]string{"its targets get no more requests"}, map[string]string{"state": stateEffect, "region": "requests spill over to other data centres"}),
	"hosts":        valueEffects([]string{"other daemons close their connections to it"}, map[string]string{"peer": closedEffect, "state": stateEffect}),
	"models": valueEffects(nil, map[string]string{
		"version": "targets load other weights, and prompts are read again", "block-bytes": "cached blocks take another size",
	}),
	"profiles": valueEffects(nil, map[string]string{"max-deadline": "longer time limits of requests are reduced to it"}),
	"services": valueEffects([]string{"its requests are refused"}, map[string]string{
		"kind": "its requests are handled as those of the other kind", "non-repeatable": "which requests run at most once changes",
	}),
	"stores": valueEffects([]string{"its cached blocks are no longer used", "connections to it are closed"}, map[string]string{
		"address": closedEffect, "state": stateEffect,
	}),
	"targets": valueEffects([]string{"connections to it are closed"}, map[string]string{"address": closedEffect, "state": stateEffect}),
	"teams":   fleetTeamEffects,
}

// fleetTeamEffects returns the effects on the callers of a team.
func fleetTeamEffects(before, after *descriptor.DraftEntry, values []Change) []string {
	if before == nil {
		return nil
	}
	if after == nil {
		return []string{"the team loses access"}
	}
	var effects []string
	for _, v := range values {
		had, has := stringsOf(v.Before), stringsOf(v.After)
		switch lost := missing(had, has); {
		case v.Name == "key-hashes" && len(lost) == len(had) && len(had) > 0:
			effects = append(effects, "the team loses access")
		case v.Name == "key-hashes" && len(lost) > 0:
			effects = append(effects, "callers with a removed key lose access")
		case v.Name == "services" && len(has) > 0 && len(had) == 0:
			effects = append(effects, "the team loses access to all other services")
		case v.Name == "services" && len(has) > 0 && len(lost) > 0:
			effects = append(effects, "the team loses access to "+shorten(strings.Join(lost, ", ")))
		}
	}
	return effects
}

// stringsOf decodes a list of strings; it is empty for other values.
func stringsOf(text string) []string {
	var list []string
	if json.Unmarshal([]byte(text), &list) != nil {
		return nil
	}
	return list
}

// missing returns the elements of a that b lacks.
func missing(a, b []string) []string {
	has := make(map[string]bool, len(b))
	for _, e := range b {
		has[e] = true
	}
	var result []string
	for _, e := range a {
		if !has[e] {
			result = append(result, e)
		}
	}
	return result
}
