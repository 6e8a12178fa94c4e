package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// The parts of a configuration without findings.
const (
	goodRoute   = `{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":1000,"goalMs":100,"service":"s","attempts":2}`
	goodService = `{"name":"s","healthPath":"/healthz","maxConns":10}`
	goodTeam    = `{"name":"t","apiKeys":["k"]}`
	goodLimits  = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
)

// config is the text of a configuration, with each entry on a line of its own from line 2 on.
func config(routes, services, teams []string, limits string) string {
	return `{"version":1,"routes":[` + "\n" + strings.Join(routes, ",\n") + `],"services":[` + "\n" + strings.Join(services, ",\n") +
		`],"tenants":[` + "\n" + strings.Join(teams, ",\n") + `],"limits":` + "\n" + limits + `}`
}

func draft(t *testing.T, text string) descriptor.Draft {
	t.Helper()
	d, ok := decoder.Draft([]byte(text))
	assert.Assert(t, ok)
	return d
}

func good(replacements ...string) string {
	parts := map[string]string{"route": goodRoute, "service": goodService, "team": goodTeam, "limits": goodLimits}
	for i := 0; i < len(replacements); i += 2 {
		parts[replacements[i]] = replacements[i+1]
	}
	return config([]string{parts["route"]}, []string{parts["service"]}, []string{parts["team"]}, parts["limits"])
}

// summary describes findings by place, kind and the beginning of the message.
func summary(findings []Finding) []string {
	lines := []string{}
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%d %s %s: %s", f.Line, f.Key, f.Kind, f.Message))
	}
	return lines
}

func hostSettings() *descriptor.Settings {
	return &descriptor.Settings{
		MemoryMB: 100, GracePeriod: 8 * time.Second, DrainTime: 2 * time.Second, Regions: map[string]string{"zone": "region"},
	}
}

// TestFindings guards against faults that a check misses, and against findings at another place. Each case has one fault, or
// one and what follows from it.
func TestFindings(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"none", good(), []string{}},
		{"defaults only", `{"version":1}`, []string{}},
		{"version", `{"version":0}`, []string{"1 version error: is 0, want at least 1"}},
		{"no version", "{\n}", []string{"0 version error: is 0, want at least 1"}},
		{"unreadable version", `{"version":"7"}`, []string{"1 version error: is of type string, want whole number"}},
		{"version after a break", `{"limits":{},"routes":[`, []string{"1  error: isn't a JSON object from this line on"}},
		{"equal prefix", config([]string{goodRoute, strings.Replace(goodRoute, `"r"`, `"q"`, 1)}, []string{goodService}, []string{goodTeam}, goodLimits),
			[]string{`3 routes[1].pathPrefix never-matches: route "q" never matches, since route "r" at routes[0], line 2, has the same host and prefix`}},
		{"longer prefix and other host", config([]string{
			goodRoute, `{"name":"q","host":"h","pathPrefix":"/a","kind":"safe","service":"s"}`, `{"name":"p","host":"g","pathPrefix":"/","kind":"safe","service":"s"}`,
		}, []string{goodService}, []string{goodTeam}, goodLimits), []string{}},
		{"same name", config([]string{goodRoute, strings.Replace(goodRoute, `"/"`, `"/a"`, 1)}, []string{goodService}, []string{goodTeam}, goodLimits),
			[]string{`3 routes[1].name error: route "r" is already at routes[0], line 2`}},
		{"no name", good("route", strings.Replace(goodRoute, `"r"`, `""`, 1)), []string{"2 routes[0].name error: the route has no name"}},
		{"no host", good("route", strings.Replace(goodRoute, `"h"`, `""`, 1)), []string{`2 routes[0].host never-matches: route "r" never matches, since it has no host`}},
		{"prefix without slash", good("route", strings.Replace(goodRoute, `"/"`, `"a"`, 1)),
			[]string{`2 routes[0].pathPrefix never-matches: route "r" never matches, since its prefix doesn't begin with /`}},
		{"kind", good("route", strings.Replace(goodRoute, "safe", "sure", 1)), []string{`2 routes[0].kind error: is "sure", want safe, unsafe or stream`}},
		{"goal above timeout", good("route", strings.Replace(goodRoute, "100,", "1001,", 1)),
			[]string{"2 routes[0].goalMs limits: the goal of 1.001s is above the timeout of 1s"}},
		{"goal without timeout", good("route", strings.Replace(goodRoute, `"timeoutMs":1000,`, "", 1)), []string{}},
		{"goal with unreadable timeout", good("route", strings.Replace(goodRoute, "1000", `"1s"`, 1)),
			[]string{"2 routes[0].timeoutMs error: is of type string, want number"}},
		{"gap above timeout", good("route", strings.Replace(goodRoute, `"attempts":2`, `"gapAimMs":2000`, 1)),
			[]string{"2 routes[0].gapAimMs limits: the time between events of 2s is above the timeout of 1s"}},
		{"attempts of unsafe", good("route", strings.Replace(goodRoute, "safe", "unsafe", 1)),
			[]string{`2 routes[0].attempts limits: 2 attempts are more than route "r" can make: its requests run at most once`}},
		{"attempts of a stream", good("route", strings.Replace(goodRoute, "safe", "stream", 1)),
			[]string{`2 routes[0].attempts limits: 2 attempts are more than route "r" can make: its requests run at most once`}},
		{"attempts of a resumable stream", good("route", strings.Replace(goodRoute, `"safe"`, `"stream","resumable":true`, 1)), []string{}},
		{"negative attempts", good("route", strings.Replace(goodRoute, `"attempts":2`, `"attempts":-2`, 1)), []string{"2 routes[0].attempts error: is -2, want at least 1"}},
		{"negative priority", good("route", strings.Replace(goodRoute, `"attempts":2`, `"priority":-2`, 1)), []string{"2 routes[0].priority error: is -2, want at least 0"}},
		{"unknown service", good("route", strings.Replace(goodRoute, `"s"`, `"z"`, 1)),
			[]string{`2 routes[0].service error: service "z" does not exist`, `3 services[0] never-matches: service "s" has no route`}},
		{"unknown service beside an unreadable one", good("route", strings.Replace(goodRoute, `"s"`, `"z"`, 1), "service", "5"),
			[]string{"3 services[0] error: can't be read as an object"}},
		{"service beside an unreadable route", good("route", "5"), []string{"2 routes[0] error: can't be read as an object"}},
		{"no service", good("route", strings.Replace(goodRoute, `"service":"s",`, ``, 1)),
			[]string{`2 routes[0] error: route "r" has no service`, `3 services[0] never-matches: service "s" has no route`}},
		{"unreadable service of a route", good("route", strings.Replace(goodRoute, `"service":"s"`, `"service":5`, 1)),
			[]string{"2 routes[0].service error: is of type number, want string"}},
		{"weights", good("route", strings.Replace(goodRoute, `"service":"s"`, `"split":[{"service":"s","weight":-1}]`, 1)), []string{
			`2 routes[0].split error: the weight of service "s" is -1, want at least 0`,
			`2 routes[0].split limits: no service of route "r" has a weight above 0, so that the last one gets all requests`,
		}},
		{"route to a store", good("service", `{"name":"s","kvStoreAddr":"127.0.0.1:1"}`),
			[]string{`2 routes[0].service error: "s" is a store, want a service that answers requests`}},
		{"service values", good("service", `{"name":"s","maxConns":-1,"coldPerS":-1,"engine":{"slots":0}}`), []string{
			"3 services[0].maxConns error: is -1, want at least 0", "3 services[0].coldPerS error: is -1, want at least 0",
			"3 services[0].engine error: the engine has 0 slots and memory for 0 tokens, want at least 1 of each",
		}},
		{"store without room", config([]string{goodRoute}, []string{goodService, `{"name":"p","kvStoreAddr":"127.0.0.1:1","kvCapacity":-1}`}, []string{goodTeam}, goodLimits),
			[]string{"4 services[1] error: the store has a capacity of -1 tokens, want at least 0"}},
		{"team without keys", good("team", `{"name":"t"}`), []string{`4 tenants[0] never-matches: team "t" has no keys`}},
		{"empty list of teams", config([]string{goodRoute}, []string{goodService}, nil, goodLimits),
			[]string{"3 tenants never-matches: the list of teams is empty, so that no key is valid; without the list, routes need no key"}},
		{"null for the list of teams", `{"version":1,"tenants":null}`,
			[]string{"1 tenants never-matches: the list of teams is empty, so that no key is valid; without the list, routes need no key"}},
		{"unreadable keys", good("team", `{"name":"t","apiKeys":5}`), []string{"4 tenants[0].apiKeys error: is of type number, want array"}},
		{"empty key", good("team", `{"name":"t","apiKeys":[""]}`), []string{"4 tenants[0].apiKeys[0] error: the key is empty"}},
		{"duplicate key", config([]string{goodRoute}, []string{goodService}, []string{goodTeam, `{"name":"u","apiKeys":["k"]}`}, goodLimits),
			[]string{"4 tenants[0].apiKeys[0] never-matches: the key is also at tenants[1].apiKeys[0], line 5, whose team gets its requests"}},
		{"duplicate name in an object", good("team", `{"name":"t","name":"t","apiKeys":["k"]}`),
			[]string{"4 tenants[0].name error: is given more than once, only the last value counts"}},
		{"body without settings", good("limits", `{"maxBodyBytes":1000000000}`), []string{}},
		{"negative sizes", good("limits", `{"maxBodyBytes":-1,"maxHeaderBytes":-1}`),
			[]string{"5 limits.maxBodyBytes error: is -1, want at least 0", "5 limits.maxHeaderBytes error: is -1, want at least 0"}},
		{"above what hosts allow", good("limits", `{"maxHeaderBytes":300000,"headerTimeoutMs":31000,"idleTimeoutMs":301000}`), []string{
			"5 limits.maxHeaderBytes limits: headers of 300000 bytes are above the 262144 bytes that a host reads",
			"5 limits.headerTimeoutMs limits: the time for headers of 31s is above the 30s after which a host closes the connection",
			"5 limits.idleTimeoutMs limits: the idle time of 5m1s is above the 5m0s after which a host closes the connection",
		}},
		{"headers above idle", good("limits", `{"headerTimeoutMs":3000,"idleTimeoutMs":2500}`),
			[]string{"5 limits.headerTimeoutMs limits: the time for headers of 3s is above the idle time of 2.5s"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, summary(Check(Input{Draft: draft(t, c.text)}).Findings), c.want)
		})
	}
}

// TestFindingsOfSettings guards against limits that fit each other but not the host.
func TestFindingsOfSettings(t *testing.T) {
	cases := []struct {
		name, text string
		change     func(*descriptor.Settings)
		want       []string
	}{
		{name: "none", text: good(), want: []string{}},
		{name: "body", text: good("limits", `{"maxBodyBytes":29360129}`), want: []string{
			"5 limits.maxBodyBytes limits: a body of 29360129 bytes is above the 29360128 bytes that a host with 100 MB of memory holds for all bodies",
		}},
		{name: "largest body", text: good("limits", `{"maxBodyBytes":29360128}`), want: []string{}},
		{name: "headers", text: good("limits", `{"headerTimeoutMs":8000}`), want: []string{
			"5 limits.headerTimeoutMs limits: the time for headers of 8s isn't below the grace period of 8s: a host that stops cuts such requests",
		}},
		{name: "idle", text: good("limits", `{"idleTimeoutMs":1999}`), want: []string{
			"5 limits.idleTimeoutMs limits: the idle time of 1.999s is below the drain time of 2s: connections close before a change of targets is known",
		}},
		{name: "drain", text: good(), change: func(s *descriptor.Settings) { s.DrainTime = 8 * time.Second }, want: []string{
			"0  limits: the drain time of 8s in the settings isn't below the grace period of 8s: a target may end while it still gets requests",
		}},
		{name: "region", text: good("route", strings.Replace(goodRoute, `"attempts":2`, `"allowedRegions":["elsewhere"]`, 1)), want: []string{
			`2 routes[0].allowedRegions never-matches: no data centre of the settings is in a region of route "r"`,
		}},
		{name: "one of the regions", text: good("route", strings.Replace(goodRoute, `"attempts":2`, `"allowedRegions":["elsewhere","region"]`, 1)), want: []string{}},
		{name: "unreadable limits", text: good("limits", `{"maxBodyBytes":"1","idleTimeoutMs":"1"}`), want: []string{
			"5 limits.idleTimeoutMs error: is of type string, want number", "5 limits.maxBodyBytes error: is of type string, want whole number",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := hostSettings()
			if c.change != nil {
				c.change(settings)
			}
			assert.DeepEqual(t, summary(Check(Input{Draft: draft(t, c.text), Settings: settings}).Findings), c.want)
		})
	}
}

// TestFindingsBesideUnreadableParts guards against findings that are lost because another part can't be decoded: each part is
// made unreadable in turn, and the faults of the others are still found.
func TestFindingsBesideUnreadableParts(t *testing.T) {
	faulty := map[string]string{
		"route": strings.Replace(goodRoute, "100,", "1001,", 1), "service": `{"name":"s","maxConns":-1}`, "team": `{"name":"t"}`, "limits": `{"maxBodyBytes":-1}`,
	}
	keys := map[string]string{
		"route": "limits routes[0].goalMs", "service": "error services[0].maxConns", "team": "never-matches tenants[0]", "limits": "error limits.maxBodyBytes",
	}
	for unreadable := range faulty {
		for _, text := range []string{"5", "nonsense", `"text"`, `{"name":5x}`, "[]"} {
			parts := []string{unreadable, text}
			for part, value := range faulty {
				if part != unreadable {
					parts = append(parts, part, value)
				}
			}
			found := map[string]bool{}
			for _, f := range Check(Input{Draft: draft(t, good(parts...))}).Findings {
				found[string(f.Kind)+" "+f.Key] = true
			}
			for part, key := range keys {
				assert.Assert(t, found[key] || part == unreadable, "%s with %s as %s", key, unreadable, text)
			}
		}
	}
}

// TestReportIsBounded guards against output of any size.
func TestReportIsBounded(t *testing.T) {
	routes := strings.Repeat("{},", 2*MaxFindings)
	before, after := draft(t, `{"version":1}`), draft(t, `{"version":1,"routes":[`+routes+`{}]}`)
	r := Check(Input{Draft: after, InForce: &before})
	assert.Equal(t, len(r.Findings), MaxFindings)
	assert.Assert(t, r.FindingsOmitted > MaxFindings)
	long := strings.Repeat("n", 1000)
	r = Check(Input{Draft: draft(t, good("route", strings.Replace(goodRoute, `"s"`, `"`+long+`"`, 1)))})
	assert.Assert(t, len(r.Findings[0].Message) < 200, r.Findings[0].Message)
	var teams []string
	for i := range 2 * MaxDifferences {
		teams = append(teams, fmt.Sprintf(`{"name":"t%d","apiKeys":["k%d"]}`, i, i))
	}
	after = draft(t, config([]string{goodRoute}, []string{goodService}, teams, goodLimits))
	r = Check(Input{Draft: after, InForce: &before})
	assert.Equal(t, len(r.Differences), MaxDifferences)
	assert.Equal(t, r.DifferencesOmitted, MaxDifferences+4) // The route, the service, the limits and the list of teams.
}
