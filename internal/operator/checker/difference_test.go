package checker

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// describe lists differences with their values and effects.
func describe(differences []Difference) []string {
	lines := []string{}
	for _, d := range differences {
		line := fmt.Sprintf("%d %s %s", d.Line, d.Action, d.Entry)
		for _, v := range d.Values {
			line += fmt.Sprintf(", %s %s -> %s", v.Name, v.Before, v.After)
		}
		for _, e := range d.Effects {
			line += "; " + e
		}
		lines = append(lines, line)
	}
	return lines
}

// TestDifferences guards against differences that are missing, are invented or have the wrong effect.
func TestDifferences(t *testing.T) {
	const (
		engine = `{"name":"s","healthPath":"/healthz","maxConns":10,"engine":{"slots":1,"kvCapacity":9,"tokenKvBytes":5}}`
		store  = `{"name":"s","kvStoreAddr":"127.0.0.1:1"}`
	)
	replaced := func(text, old, with string) string { return strings.Replace(text, old, with, 1) }
	cases := []struct {
		name, before, after string
		want                []string
	}{
		{"none", good(), good(), []string{}},
		{"spaces and order", good("route", `{"name":"r","host":"h"}`), good("route", `{ "host" : "h", "name": "r" }`), []string{}},
		{"order of entries", config([]string{goodRoute, `{"name":"q"}`}, nil, nil, "{}"), config([]string{`{"name":"q"}`, goodRoute}, nil, nil, "{}"), []string{}},
		{"repeated name", config([]string{goodRoute, `{"name":"r"}`}, nil, nil, "{}"), config([]string{goodRoute}, nil, nil, "{}"), []string{}},
		{"version", good(), replaced(good(), `:1,`, `:2,`), []string{"1 changed version, version 1 -> 2"}},
		{"lower version", replaced(good(), `:1,`, `:2,`), good(), []string{
			"1 changed version, version 2 -> 1; hosts ignore the configuration, since its version is below the one in force",
		}},
		{"goal", good(), good("route", replaced(goodRoute, "100,", "200,")), []string{"2 changed route r, goalMs 100 -> 200"}},
		{"prefix", good(), good("route", replaced(goodRoute, `"/"`, `"/a"`)), []string{
			`2 changed route r, pathPrefix "/" -> "/a"; requests to h/ match a shorter prefix or none`,
		}},
		{"service of a route", good(), good("route", replaced(goodRoute, `"s"`, `"z"`)), []string{
			`2 changed route r, service "s" -> "z"; new requests go to other services or in other shares`,
		}},
		{"kind", good(), good("route", replaced(goodRoute, "safe", "unsafe")), []string{
			`2 changed route r, kind "safe" -> "unsafe"; requests are no longer repeated after a failure`,
		}},
		{"kind back", good("route", replaced(goodRoute, "safe", "unsafe")), good(), []string{`2 changed route r, kind "unsafe" -> "safe"; requests may run more than once`}},
		{"public", good(), good("route", replaced(goodRoute, `2}`, `2,"public":true}`)), []string{"2 changed route r, public  -> true; callers need no key"}},
		{"no longer public", good("route", replaced(goodRoute, `2}`, `2,"public":true}`)), good(), []string{
			"2 changed route r, public true -> ; callers without a key lose access",
		}},
		{"route renamed", good("route", `{"name":"r","host":"h"}`), good("route", `{"name":"q","host":"h"}`), []string{
			`2 added route q, host  -> "h", name  -> "q"`, "2 removed route r; requests to h match a shorter prefix or none",
		}},
		{"connections", good(), good("service", replaced(goodService, "10", "9")), []string{
			"3 changed service s, maxConns 10 -> 9; all hosts together run at most 9 requests at a target, further ones wait",
		}},
		{"more connections", good(), good("service", replaced(goodService, "10", "11")), []string{"3 changed service s, maxConns 10 -> 11"}},
		{"service removed", good(), config([]string{goodRoute}, nil, []string{goodTeam}, goodLimits), []string{
			"3 removed service s; its targets get no more requests; connections to its targets are closed once they have been idle",
		}},
		{"engine", good(), good("service", engine), []string{
			`3 changed service s, engine  -> {"slots":1,"kvCapacity":9,"tokenKvBytes":5}; hosts place its requests by cached parts only while it has an engine`,
		}},
		{"size of tokens", good("service", engine), good("service", replaced(engine, ":5", ":6")), []string{
			`3 changed service s, engine {"slots":1,"kvCapacity":9,"tokenKvBytes":5} -> {"slots":1,"kvCapacity":9,"tokenKvBytes":6}; cached parts take another size`,
		}},
		{"store", good("service", store), good("service", replaced(store, ":1", ":2")), []string{
			`3 changed service s, kvStoreAddr "127.0.0.1:1" -> "127.0.0.1:2"; the contents of the store are read anew; connections to the former address are closed`,
		}},
		{"store removed", good("service", store), config([]string{goodRoute}, nil, []string{goodTeam}, goodLimits), []string{
			"3 removed service s; the cached parts of the store are no longer used and are computed again",
		}},
		{"one key of two", good("team", `{"name":"t","apiKeys":["k","l"]}`), good(), []string{
			`4 changed team t, apiKeys ["sha256:8254c329","sha256:acac86c0"] -> ["sha256:8254c329"]; 1 of 2 keys of the team lose access`,
		}},
		{"all keys", good(), good("team", `{"name":"t"}`), []string{`4 changed team t, apiKeys ["sha256:8254c329"] -> ; the team loses access`}},
		{"key of another team", good(), good("team", `{"name":"u","apiKeys":["k"]}`), []string{
			"4 removed team t; 1 of 1 keys of the team belong to another team", `4 added team u, apiKeys  -> ["sha256:8254c329"], name  -> "u"`,
		}},
		{"last team", good(), config([]string{goodRoute}, []string{goodService}, nil, goodLimits), []string{
			"4 removed team t; the team loses access; no team is left, so that only public routes can be used",
		}},
		{"last team and the list", `{"version":1,"tenants":[` + goodTeam + `]}`, `{"version":1}`, []string{
			"1 removed list of teams; all routes need no key", "1 removed team t",
		}},
		{"first team", config([]string{goodRoute}, []string{goodService}, nil, goodLimits), good("team", `{"name":"t"}`), []string{
			`4 added team t, name  -> "t"`,
		}},
		{"first team and the list", `{"version":1}`, `{"version":1,"tenants":[{"name":"t"}]}`, []string{
			"1 added list of teams; callers without a key lose access to all routes that aren't public", `1 added team t, name  -> "t"`,
		}},
		{"empty list of teams", `{"version":1}`, `{"version":1,"tenants":[]}`, []string{
			"1 added list of teams; callers without a key lose access to all routes that aren't public",
		}},
		{"empty list of teams removed", `{"version":1,"tenants":null}`, `{"version":1}`, []string{
			"1 removed list of teams; all routes need no key",
		}},
		{"isolated", good(), good("team", `{"name":"t","apiKeys":["k"],"isolated":true}`), []string{"4 changed team t, isolated  -> true; " + rereadEffect}},
		{"isolated team removed", config(nil, nil, []string{goodTeam, `{"name":"u","isolated":true}`}, "{}"), config(nil, nil, []string{goodTeam}, "{}"), []string{
			"5 removed team u; " + rereadEffect,
		}},
		{"body", good(), good("limits", replaced(goodLimits, "4194304", "10")), []string{
			"4 changed limits, maxBodyBytes 4194304 -> 10; requests with a body above 10 bytes are refused",
		}},
		{"unreadable entry", good(), good("route", "5", "service", "5", "team", "5", "limits", "5"), []string{}},
		{"unreadable entry in force", good("route", "5", "service", "5", "team", "5", "limits", "5"), good(), []string{}},
		{"text that breaks off", good(), good()[:30], []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := draft(t, c.before)
			assert.DeepEqual(t, describe(Check(Input{Draft: draft(t, c.after), InForce: &before}).Differences), c.want)
		})
	}
}
