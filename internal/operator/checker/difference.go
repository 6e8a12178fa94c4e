package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// listDiff compares the entries of one kind by their names. Of several entries with a name, the last one counts, as for
// hosts; of routes the first.
type listDiff struct {
	noun string
	// beforeWhole and afterWhole are false if entries are missing that can't be decoded. An entry that may be one of them
	// is no difference.
	beforeWhole, afterWhole bool
	before, after           map[string]*descriptor.DraftEntry
	// effects returns the effects of a difference; either entry may be nil.
	effects func(before, after *descriptor.DraftEntry, values []Change) []string
}

func (d listDiff) run() []Difference {
	names := maps.Clone(d.before)
	maps.Copy(names, d.after)
	var result []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, after := d.before[name], d.after[name]
		entry := strings.TrimSpace(d.noun + " " + shorten(name))
		switch {
		case after == nil && d.afterWhole:
			result = append(result, Difference{Action: ActionRemoved, Entry: entry, Key: before.Key, Line: before.Line, Effects: d.effects(before, nil, nil)})
		case before == nil && d.beforeWhole:
			result = append(result, Difference{
				Action: ActionAdded, Entry: entry, Key: after.Key, Line: after.Line,
				Values: changedValues(&descriptor.DraftEntry{}, after), Effects: d.effects(nil, after, nil),
			})
		case before != nil && after != nil:
			if values := changedValues(before, after); len(values) > 0 {
				result = append(result, Difference{
					Action: ActionChanged, Entry: entry, Key: after.Key, Line: after.Line, Values: values, Effects: d.effects(before, after, values),
				})
			}
		}
	}
	return result
}

// changedValues returns the values that differ, sorted by name.
func changedValues(before, after *descriptor.DraftEntry) []Change {
	changes := map[string]Change{}
	for _, v := range before.Values {
		changes[v.Name] = Change{Name: v.Name, Before: v.Text}
	}
	for _, v := range after.Values {
		c := changes[v.Name]
		c.Name, c.After = v.Name, v.Text
		changes[v.Name] = c
	}
	var result []Change
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		if c := changes[name]; c.Before != c.After {
			result = append(result, c)
		}
	}
	return result
}

// configs are the configurations to compare.
type configs struct {
	before, after                 *descriptor.Draft
	oldRoutes, newRoutes          map[string]*descriptor.DraftRoute
	oldServices, newServices      map[string]*descriptor.DraftService
	oldTeams, newTeams            map[string]*descriptor.DraftTeam
	oldOwners, newOwners          map[string]string // Teams by their keys.
	oldKeysRequired, keysRequired bool
}

// diff returns the differences between the version in force and a configuration, entry by entry.
func diff(before, after *descriptor.Draft) []Difference {
	c := &configs{before: before, after: after}
	c.oldRoutes, c.newRoutes = routesByName(before), routesByName(after)
	c.oldServices, c.newServices = servicesByName(before), servicesByName(after)
	c.oldTeams, c.newTeams = teamsByName(before), teamsByName(after)
	c.oldOwners, c.newOwners = owners(before), owners(after)
	c.oldKeysRequired, c.keysRequired = before.TeamsListed || !before.TeamsWhole, after.TeamsListed || !after.TeamsWhole
	result := c.diffVersion()
	result = append(result, listDiff{
		noun: "route", beforeWhole: before.RoutesWhole, afterWhole: after.RoutesWhole,
		before: entriesOf(c.oldRoutes, func(r *descriptor.DraftRoute) *descriptor.DraftEntry { return &r.DraftEntry }),
		after:  entriesOf(c.newRoutes, func(r *descriptor.DraftRoute) *descriptor.DraftEntry { return &r.DraftEntry }), effects: c.routeEffects,
	}.run()...)
	result = append(result, listDiff{
		noun: "service", beforeWhole: before.ServicesWhole, afterWhole: after.ServicesWhole,
		before: entriesOf(c.oldServices, func(s *descriptor.DraftService) *descriptor.DraftEntry { return &s.DraftEntry }),
		after:  entriesOf(c.newServices, func(s *descriptor.DraftService) *descriptor.DraftEntry { return &s.DraftEntry }), effects: c.serviceEffects,
	}.run()...)
	result = append(result, c.diffTeamList()...)
	result = append(result, listDiff{
		noun: "team", beforeWhole: before.TeamsWhole, afterWhole: after.TeamsWhole,
		before: entriesOf(c.oldTeams, func(t *descriptor.DraftTeam) *descriptor.DraftEntry { return &t.DraftEntry }),
		after:  entriesOf(c.newTeams, func(t *descriptor.DraftTeam) *descriptor.DraftEntry { return &t.DraftEntry }), effects: c.teamEffects,
	}.run()...)
	return append(result, c.diffLimits()...)
}

func entriesOf[E any](entries map[string]E, entry func(E) *descriptor.DraftEntry) map[string]*descriptor.DraftEntry {
	result := make(map[string]*descriptor.DraftEntry, len(entries))
	for name, e := range entries {
		result[name] = entry(e)
	}
	return result
}

func routesByName(d *descriptor.Draft) map[string]*descriptor.DraftRoute {
	result := map[string]*descriptor.DraftRoute{}
	for i := range d.Routes {
		if r := &d.Routes[i]; result[r.DraftEntry.Name] == nil {
			result[r.DraftEntry.Name] = r
		}
	}
	return result
}

func servicesByName(d *descriptor.Draft) map[string]*descriptor.DraftService {
	result := map[string]*descriptor.DraftService{}
	for i := range d.Services {
		result[d.Services[i].DraftEntry.Name] = &d.Services[i]
	}
	return result
}

func teamsByName(d *descriptor.Draft) map[string]*descriptor.DraftTeam {
	result := map[string]*descriptor.DraftTeam{}
	for i := range d.Teams {
		result[d.Teams[i].Name] = &d.Teams[i]
	}
	return result
}

// owners returns the teams by their keys; the last team with a key has it.
func owners(d *descriptor.Draft) map[string]string {
	result := map[string]string{}
	for i := range d.Teams {
		for _, k := range d.Teams[i].Keys {
			result[k.Key] = d.Teams[i].Name
		}
	}
	return result
}

// diffVersion returns the difference of the versions. Hosts use a configuration only if its version is higher than that of
// the one in force.
func (c *configs) diffVersion() []Difference {
	if !c.before.VersionRead || !c.after.VersionRead || c.before.Version == c.after.Version {
		return nil
	}
	d := Difference{
		Action: ActionChanged, Entry: "version", Key: c.after.VersionAt.Key, Line: c.after.VersionAt.Line,
		Values: []Change{{Name: c.after.VersionAt.Key, Before: fmt.Sprint(c.before.Version), After: fmt.Sprint(c.after.Version)}},
	}
	if c.after.Version < c.before.Version {
		d.Effects = []string{"hosts ignore the configuration, since its version is below the one in force"}
	}
	return []Difference{d}
}

// diffTeamList returns the difference between a configuration with a list of teams, which may be empty, and one without.
func (c *configs) diffTeamList() []Difference {
	if !c.before.TeamsWhole || !c.after.TeamsWhole || c.oldKeysRequired == c.keysRequired {
		return nil
	}
	if c.keysRequired {
		return []Difference{{
			Action: ActionAdded, Entry: "list of teams", Key: c.after.TeamsAt.Key, Line: c.after.TeamsAt.Line,
			Effects: []string{"callers without a key lose access to all routes that aren't public"},
		}}
	}
	return []Difference{{
		Action: ActionRemoved, Entry: "list of teams", Key: c.before.TeamsAt.Key, Line: c.before.TeamsAt.Line,
		Effects: []string{"all routes need no key"},
	}}
}

func (c *configs) diffLimits() []Difference {
	if !c.before.LimitsRead || !c.after.LimitsRead {
		return nil
	}
	before, after := &c.before.Limits, &c.after.Limits
	values := changedValues(&before.DraftEntry, &after.DraftEntry)
	if len(values) == 0 {
		return nil
	}
	d := Difference{Action: ActionChanged, Entry: "limits", Key: after.Key, Line: after.Line, Values: values}
	if after.MaxBodyBytes != before.MaxBodyBytes {
		d.Effects = append(d.Effects, fmt.Sprintf("requests with a body above %s are refused", bodyLimit(after.MaxBodyBytes)))
	}
	return []Difference{d}
}

// bodyLimit describes a limit for bodies; hosts use their default for 0.
func bodyLimit(bytes int) string {
	if bytes <= 0 {
		return "the hosts' default"
	}
	return fmt.Sprintf("%d bytes", bytes)
}
