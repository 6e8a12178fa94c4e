package checker

import (
	"fmt"
	"slices"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

func (c *configs) routeEffects(before, after *descriptor.DraftEntry, _ []Change) []string {
	if before == nil {
		return nil
	}
	old := c.oldRoutes[before.Name]
	if after == nil {
		return []string{fmt.Sprintf("requests to %s%s match a shorter prefix or none", shorten(old.Host), shorten(old.Prefix))}
	}
	r := c.newRoutes[after.Name]
	var effects []string
	if old.Host != r.Host || old.Prefix != r.Prefix {
		effects = append(effects, fmt.Sprintf("requests to %s%s match a shorter prefix or none", shorten(old.Host), shorten(old.Prefix)))
	}
	if old.Public && !r.Public && c.keysRequired {
		effects = append(effects, "callers without a key lose access")
	}
	if !old.Public && r.Public {
		effects = append(effects, "callers need no key")
	}
	if old.Repeatable() && !r.Repeatable() {
		effects = append(effects, "requests are no longer repeated after a failure")
	}
	if !old.Repeatable() && r.Repeatable() {
		effects = append(effects, "requests may run more than once")
	}
	if !slices.Equal(old.Shares, r.Shares) {
		effects = append(effects, "new requests go to other services or in other shares")
	}
	return effects
}

func (c *configs) serviceEffects(before, after *descriptor.DraftEntry, _ []Change) []string {
	if before == nil {
		return nil
	}
	old := c.oldServices[before.Name]
	if after == nil {
		if old.Store != nil {
			return []string{"the cached parts of the store are no longer used and are computed again"}
		}
		return []string{"its targets get no more requests", "connections to its targets are closed once they have been idle"}
	}
	s := c.newServices[after.Name]
	var effects []string
	switch {
	case old.Store == nil && s.Store == nil:
	case old.Store == nil || s.Store == nil || old.Store.Address != s.Store.Address:
		effects = append(effects, "the contents of the store are read anew", "connections to the former address are closed")
	}
	if s.MaxConnections > 0 && (s.MaxConnections < old.MaxConnections || old.MaxConnections == 0) {
		effects = append(effects, fmt.Sprintf("all hosts together run at most %d requests at a target, further ones wait", s.MaxConnections))
	}
	if (old.Engine == nil) != (s.Engine == nil) {
		effects = append(effects, "hosts place its requests by cached parts only while it has an engine")
	} else if s.Engine != nil && s.Engine.TokenBytes != old.Engine.TokenBytes {
		effects = append(effects, "cached parts take another size")
	}
	return effects
}

func (c *configs) teamEffects(before, after *descriptor.DraftEntry, _ []Change) []string {
	var effects []string
	if before == nil {
		if c.newTeams[after.Name].Isolated {
			effects = append(effects, rereadEffect)
		}
		return effects
	}
	old := c.oldTeams[before.Name]
	effects = c.accessEffects(old)
	wasIsolated, isIsolated := old.Isolated, false
	if after != nil {
		isIsolated = c.newTeams[after.Name].Isolated
	}
	if wasIsolated != isIsolated {
		effects = append(effects, rereadEffect)
	}
	if after == nil && c.after.TeamsListed && c.after.TeamsWhole && len(c.after.Teams) == 0 {
		effects = append(effects, "no team is left, so that only public routes can be used")
	}
	return effects
}

// rereadEffect is due to the salt of cached parts, which depends on the set of isolated teams.
const rereadEffect = "the set of isolated teams changes: engines read the shared parts of all prompts again"

// accessEffects returns what happens to callers with the former keys of a team.
func (c *configs) accessEffects(old *descriptor.DraftTeam) []string {
	held, lost, moved := 0, 0, 0
	seen := map[string]bool{}
	for _, k := range old.Keys {
		if seen[k.Key] || c.oldOwners[k.Key] != old.Name {
			continue
		}
		seen[k.Key] = true
		held++
		switch owner, ok := c.newOwners[k.Key]; {
		case !ok:
			lost++
		case owner != old.Name:
			moved++
		}
	}
	var effects []string
	switch {
	case lost > 0 && c.after.TeamsWhole && c.keysRequired && lost == held:
		effects = append(effects, "the team loses access")
	case lost > 0 && c.after.TeamsWhole && c.keysRequired:
		effects = append(effects, fmt.Sprintf("%d of %d keys of the team lose access", lost, held))
	}
	if moved > 0 {
		effects = append(effects, fmt.Sprintf("%d of %d keys of the team belong to another team", moved, held))
	}
	return effects
}
