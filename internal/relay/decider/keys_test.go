package decider

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// keyedRoutes are a public route and one that isn't, as the platform's configurations have them.
const keyedRoutes = `"routes":[{"name":"pay","host":"h","pathPrefix":"/pay/","kind":"unsafe","service":"plain"},` +
	`{"name":"open","host":"h","pathPrefix":"/open/","kind":"unsafe","service":"plain","public":true}],"services":[{"name":"plain"}]`

// drawTeams returns the field with the teams of a configuration, preceded by a comma, or nothing.
func drawTeams(rt *rapid.T) string {
	lists := []string{"", "null", "[]"}
	if n := rapid.IntRange(0, len(lists)).Draw(rt, "list"); n < len(lists) {
		if lists[n] == "" {
			return ""
		}
		return `,"tenants":` + lists[n]
	}
	keys := rapid.SampledFrom([]string{
		``, `,"apiKeys":null`, `,"apiKeys":[]`, `,"apiKeys":["key-a"]`, `,"apiKeys":["key-b","key-a"]`, `,"apiKeys":7`, `,"apiKeys":[7,"key-a"]`,
		`,"apiKeys":[""]`, `,"apiKeys":["key-b",null]`,
	})
	var teams []string
	for n := range rapid.IntRange(1, 3).Draw(rt, "teams") {
		if rapid.IntRange(0, 5).Draw(rt, "unreadable") == 0 {
			teams = append(teams, "null")
			continue
		}
		teams = append(teams, fmt.Sprintf(`{"name":"team-%d"%s}`, n, keys.Draw(rt, "keys")))
	}
	return `,"tenants":[` + strings.Join(teams, ",") + `]`
}

// allows reports whether a request with a key may run on a route that isn't public, by the text of the
// configuration in force. Teams that can't be decoded as a whole have no keys.
func allows(t assert.TestingT, config, key string) bool {
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(config), &fields))
	list, ok := fields["tenants"]
	if !ok {
		return true
	}
	var teams []json.RawMessage
	assert.NilError(t, json.Unmarshal(list, &teams))
	for _, raw := range teams {
		var team struct {
			Name string   `json:"name"`
			Keys []string `json:"apiKeys"`
		}
		if json.Unmarshal(raw, &team) != nil {
			continue
		}
		for _, k := range team.Keys {
			if k != "" && k == key {
				return true
			}
		}
	}
	return false
}

// TestRequestsRunWithoutKnownKey guards against requests that run although the configuration in force doesn't allow
// their key, and against requests that are refused although it does, while configurations lose and get the list of
// teams, teams and keys, in any order and as the first one of a host.
func TestRequestsRunWithoutKnownKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newUnconfiguredHost(t, "a", "a")
		for version := range rapid.IntRange(1, 5).Draw(rt, "configurations") {
			config := fmt.Sprintf(`{"version":%d,%s%s}`, version+1, keyedRoutes, drawTeams(rt))
			cfg, _, err := decoder.Config([]byte(config))
			assert.NilError(rt, err)
			h.setConfig(cfg)
			h.handle(TargetsListed{Targets: []descriptor.Target{plainTarget(1)}, Whole: true})
			for _, key := range []string{"", "key-a", "key-b", "key-c"} {
				for _, path := range []string{"/pay/", "/open/"} {
					h.lastNumber++
					effect := requestEffect(h.handle(RequestArrived{Number: h.lastNumber, Host: "h", Path: path, Key: key, Timeout: time.Second}))
					_, sent := effect.(Send)
					if want := path == "/open/" || allows(rt, config, key); sent != want {
						rt.Fatalf("%s: request with the key %q to %s: %+v", config, key, path, effect)
					}
					if refuse, ok := effect.(Refuse); ok {
						assert.Equal(rt, refuse.Kind, RefusalUnknownKey)
					} else {
						h.handle(AttemptDone{Number: h.lastNumber, Status: 200})
					}
				}
			}
		}
	})
}

// TestRequestBeforeConfigurationRuns guards against requests that run before the host knows a configuration, and so
// whether they need a key.
func TestRequestBeforeConfigurationRuns(t *testing.T) {
	h := newUnconfiguredHost(t, "a", "a")
	h.handle(TargetsListed{Targets: []descriptor.Target{plainTarget(1)}, Whole: true})
	h.handle(ConfigConfirmed{AsOf: h.clock})
	assert.Assert(t, !h.Ready())
	for _, key := range []string{"", "key-a"} {
		h.lastNumber++
		effect := requestEffect(h.handle(RequestArrived{Number: h.lastNumber, Host: "h", Path: "/pay/", Key: key, Timeout: time.Second}))
		assert.Equal(t, effect.(Refuse).Kind, RefusalUnconfigured)
	}
}
