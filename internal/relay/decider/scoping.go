package decider

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// scopeSettleTime is how long no parts are imported after a change of the scopes. Until then, another host
	// with the configuration before may free parts of a scope that has come back.
	scopeSettleTime = 3 * time.Second
	// scopeFreeMargin is how much longer the parts of a scope that has ended are kept than a host that is cut
	// off may use them.
	scopeFreeMargin = 500 * time.Millisecond
	// endedScopeRetention is how long a scope that has ended is remembered, to free parts that appear late.
	endedScopeRetention = time.Hour
)

// scoping divides the cache parts into scopes. An isolated team has a scope of its own. All others share one that
// depends on which teams are isolated, so that it never has parts of a team that is isolated now, whoever made
// them and whenever. A host needs to know nothing but the configuration for that.
type scoping struct {
	// commonScope is the scope of all teams that aren't isolated.
	commonScope string
	// endedScopes holds the scopes that a change of the configuration has ended, and when.
	endedScopes map[string]time.Time
	// scopesSettledAt is the time from which parts are imported after the last change of the scopes.
	scopesSettledAt time.Time
}

func newScoping() scoping { return scoping{endedScopes: map[string]time.Time{}} }

// Prefixes of scopes, so that no team's name is taken for the common scope.
const (
	commonScopePrefix = "set="
	teamScopePrefix   = "team="
)

// commonScope returns the scope of all teams but the isolated ones, which are sorted by name. It is empty if
// there are none.
func commonScope(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	h := xxh3.HashString128(strings.Join(isolated, "\x00")).Bytes()
	return commonScopePrefix + hex.EncodeToString(h[:8])
}

// scopesOf returns all scopes of a configuration.
func scopesOf(cfg *descriptor.Config) []string {
	scopes := []string{commonScope(cfg.IsolatedTeams)}
	for _, team := range cfg.IsolatedTeams {
		scopes = append(scopes, teamScopePrefix+team)
	}
	return scopes
}

// updateScopes adopts the scopes of the configuration, which follows another one unless before is nil.
func (s *State) updateScopes(before *descriptor.Config) {
	current := scopesOf(s.config)
	s.commonScope = current[0]
	if before == nil || slices.Equal(before.IsolatedTeams, s.config.IsolatedTeams) {
		return
	}
	for _, scope := range scopesOf(before) {
		if !slices.Contains(current, scope) {
			s.endedScopes[scope] = s.now
		}
	}
	for _, scope := range current {
		delete(s.endedScopes, scope)
	}
	s.scopesSettledAt = s.now.Add(scopeSettleTime)
	s.log("isolated teams changed", "", "version", s.config.Version, "isolated", len(s.config.IsolatedTeams), "ended-scopes", len(s.endedScopes))
}

// scope returns the scope of r's parts by the configuration in force, which may be newer than r.
func (s *State) scope(r *request) string {
	if r.team == nil {
		return s.commonScope
	}
	if _, isolated := slices.BinarySearch(s.config.IsolatedTeams, r.team.Name); isolated {
		return teamScopePrefix + r.team.Name
	}
	return s.commonScope
}

// mayImport reports whether parts may be imported: not while the configuration is too old to say whose parts they
// are, nor just after a change of the scopes.
func (s *State) mayImport() bool {
	return !s.configIsUnconfirmed() && !s.now.Before(s.scopesSettledAt)
}

// freeEndedScopes frees the parts of scopes that no host uses any more.
func (s *State) freeEndedScopes() {
	for scope, endedAt := range s.endedScopes {
		since := s.now.Sub(endedAt)
		if since > endedScopeRetention {
			delete(s.endedScopes, scope)
		}
		if since < s.cfg.RevokeAfter+maxFetchTime+scopeFreeMargin {
			continue
		}
		for _, st := range s.stores {
			s.freePartsOf(st, func(_ string, _ int, partScope string) bool { return partScope == scope })
		}
	}
}
