package decider

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// tenantState is what a configuration says of a team.
type tenantState struct{ absent, keyless, isolated bool }

// teamNames are the teams of the tests of scopes.
var teamNames = []string{"team-a", "team-b", "team-c"}

// configOf returns the test configuration with the given teams. The key of a team is its name.
func configOf(t assert.TestingT, version int64, tenants []tenantState) *descriptor.Config {
	spec := `{"name":"other","apiKeys":["other"]}`
	for i, tenant := range tenants {
		keys := fmt.Sprintf("%q", teamNames[i])
		if tenant.keyless {
			keys = ""
		}
		if !tenant.absent {
			spec += fmt.Sprintf(`,{"name":%q,"apiKeys":[%s],"isolated":%v}`, teamNames[i], keys, tenant.isolated)
		}
	}
	decoded, _, err := decoder.Config(fmt.Appendf(nil, `{"version":%d,"tenants":[%s]}`, version, spec))
	assert.NilError(t, err)
	cfg := testConfig(version)
	cfg.Keys, cfg.IsolatedTeams = decoded.Keys, decoded.IsolatedTeams
	return cfg
}

// setConfig puts a configuration in force.
func (h *host) setConfig(cfg *descriptor.Config) {
	h.handle(ConfigListed{Config: cfg})
	h.handle(ConfigConfirmed{AsOf: h.clock})
}

// TestPartsFromBeforeIsolationAreShared guards against requests that use cached parts of a team which was isolated
// after it had made them, or that let it use those of others: in engines and stores, made through this host or
// another, before its restart or after, while the team has a key or none. Requests that wait while the configuration
// changes count by the new one.
func TestPartsFromBeforeIsolationAreShared(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		version := int64(2) // Hosts start with version 1.
		tenants := make([]tenantState, len(teamNames))
		current := configOf(rt, version, tenants)
		hosts := make([]*host, 2)
		start := func(i int) {
			hosts[i] = newHost(t, string(rune('a'+i)), 2, 0)
			hosts[i].setConfig(current)
		}
		for i := range hosts {
			start(i)
		}
		// makers are the teams that have made parts under each salt.
		makers := map[string][]string{}
		check := func(h *host, team string, send Send) {
			isIsolated := func(name string) bool { return slices.Contains(h.config.IsolatedTeams, name) }
			for _, maker := range makers[send.Salt] {
				if maker != team && (isIsolated(maker) || isIsolated(team)) {
					rt.Fatalf("%s and %s share the salt %q, isolated are %v", maker, team, send.Salt, h.config.IsolatedTeams)
				}
			}
			if !slices.Contains(makers[send.Salt], team) {
				makers[send.Salt] = append(makers[send.Salt], team)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"configuration": func(rt *rapid.T) {
				tenant := &tenants[rapid.IntRange(0, len(tenants)-1).Draw(rt, "team")]
				switch rapid.IntRange(0, 3).Draw(rt, "change") {
				case 0, 1:
					tenant.isolated = !tenant.isolated
				case 2:
					tenant.keyless = !tenant.keyless
				case 3:
					// A team that is removed shares nothing any more, and counts as not isolated.
					tenant.absent = !tenant.absent && !tenant.isolated
				}
				version++
				current = configOf(rt, version, tenants)
			},
			"update":  func(rt *rapid.T) { hosts[rapid.IntRange(0, 1).Draw(rt, "host")].setConfig(current) },
			"restart": func(rt *rapid.T) { start(rapid.IntRange(0, 1).Draw(rt, "host")) },
			"request": func(rt *rapid.T) {
				h := hosts[rapid.IntRange(0, 1).Draw(rt, "host")]
				team := rapid.SampledFrom(teamNames).Draw(rt, "team")
				_, effect := h.request("/long/", team, longPrompt("s"))
				if send, ok := effect.(Send); ok {
					check(h, team, send)
					h.handle(AttemptDone{Number: send.Number, Status: 200})
				}
			},
		})
	})
}

// TestRepeatedRequestKeepsScope guards against a request of a team that has become isolated meanwhile and goes on at
// another engine with the parts of all teams.
func TestRepeatedRequestKeepsScope(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	tenants := make([]tenantState, len(teamNames))
	h.setConfig(configOf(t, 2, tenants))
	number, effect := h.request("/short/", teamNames[0], shortPrompt("s"))
	shared := effect.(Send).Salt
	tenants[0].isolated = true
	h.setConfig(configOf(t, 3, tenants))
	repeated := requestEffect(h.handle(AttemptFailed{Number: number, Reason: FailureUnreachable, NotRun: true})).(Send)
	assert.Assert(t, repeated.Salt != shared)
	_, effect = h.request("/short/", teamNames[1], shortPrompt("s"))
	assert.Assert(t, effect.(Send).Salt != shared && effect.(Send).Salt != repeated.Salt)
}

// TestEndedScopesFillStores guards against parts that no team may use any more and that stay in the stores, and
// against freeing them while a host that is cut off may still import them.
func TestEndedScopesFillStores(t *testing.T) {
	leases := &leaseStore{}
	h := newHost(t, "a", 2, 0)
	leases.tickHosts(time.Second, h)
	tenants := make([]tenantState, len(teamNames))
	h.setConfig(configOf(t, 2, tenants))
	h.advance(scopeSettleTime)
	part := descriptor.PartChange{Held: true, Salt: model + ":1", Part: "s", Tokens: 5000}
	h.handle(PartsChanged{Store: storeAddress(2), Whole: true, AsOf: h.clock, Changes: descriptor.PartChanges{Boot: 1, Next: 1, Changes: []descriptor.PartChange{part}}})
	freed := func(d time.Duration) []FreeParts {
		var list []FreeParts
		for end := h.clock.Add(d); h.clock.Before(end); {
			h.advance(50 * time.Millisecond)
			h.confirmStores()
			h.handle(ConfigConfirmed{AsOf: h.clock})
			list = append(list, effectsOf[FreeParts](leases.handleLeaseCalls(h, h.handle(Tick{})))...)
		}
		return list
	}
	imports := func() bool {
		_, effect := h.request("/long/", teamNames[1], longPrompt("s"))
		send := effect.(Send)
		h.handle(AttemptDone{Number: send.Number, Status: 200})
		return slices.Contains(send.Sources, storeAddress(2))
	}
	assert.Assert(t, imports())
	assert.Equal(t, len(freed(20*time.Second)), 0)

	tenants[0].isolated = true
	h.setConfig(configOf(t, 3, tenants))
	assert.Assert(t, !imports())
	assert.Equal(t, len(freed(h.cfg.RevokeAfter+maxFetchTime)), 0, "freed while a host that is cut off may import the part")

	tenants[0].isolated = false
	h.setConfig(configOf(t, 4, tenants))
	assert.Assert(t, !imports(), "imported while another host may free the part")
	assert.Equal(t, len(freed(20*time.Second)), 0, "freed while the scope is in use again")
	assert.Assert(t, imports())

	tenants[1].isolated = true
	h.setConfig(configOf(t, 5, tenants))
	assert.Equal(t, len(freed(h.cfg.RevokeAfter+maxFetchTime+2*scopeFreeMargin)), 1)
}

// TestUnconfirmedHostImportsParts guards against a host that is cut off and imports parts, on a public route, which
// the others free after a change of the isolated teams.
func TestUnconfirmedHostImportsParts(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	cfg := testConfig(2)
	cfg.Routes[0].Public = true
	h.setConfig(cfg)
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	arrive := func() Send {
		h.lastNumber++
		return requestEffect(h.handle(RequestArrived{Number: h.lastNumber, Host: "h", Path: "/long/", Timeout: 5 * time.Second, Prompt: longPrompt("s")})).(Send)
	}
	assert.Assert(t, slices.Contains(arrive().Sources, storeAddress(2)))
	h.advance(h.cfg.RevokeAfter)
	h.confirmStores()
	assert.Assert(t, !slices.Contains(arrive().Sources, storeAddress(2)))
}
