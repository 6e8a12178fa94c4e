package soaker

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// asking returns a judge that saw one attempt of a kind begin.
func asking(kind string) *judge {
	j := newJudge()
	j.ask("r", &asked{kind: kind, method: "POST", uri: "/" + kind + "/r", body: "b", key: "k", team: "t", host: "h"})
	return j
}

// ran returns what a target tells of the attempt.
func ran(kind string) imitator.Run {
	return imitator.Run{ID: "r", Worker: "w", Team: "t", Method: "POST", URI: "/" + kind + "/r", Body: "b", At: time.Now()}
}

// whole is what a caller sees of a whole answer.
func whole(kind string) reply {
	return reply{status: 200, id: "r", sealed: true, body: wantedBody(kind, "r")}
}

func order(holder string, fence int64, at time.Time) imitator.Order {
	return imitator.Order{Worker: "w", Holder: holder, Fence: fence, At: at}
}

var errCut = errors.New("cut")

// TestJudgeFindsBrokenPromises: each promise has histories that keep it and that
// break it, and the judge tells them apart.
func TestJudgeFindsBrokenPromises(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		promise string
		play    func() *judge
	}{
		"whole answer":    {"", func() *judge { j := asking("short"); j.Ran(ran("short")); j.end("r", whole("short")); return j }},
		"repeated look":   {"", func() *judge { j := asking("look"); j.Ran(ran("look")); j.Ran(ran("look")); return j }},
		"repeated pay":    {"at most once", func() *judge { j := asking("pay"); j.Ran(ran("pay")); j.Ran(ran("pay")); return j }},
		"unknown request": {"only what callers asked", func() *judge { j := newJudge(); j.Ran(ran("pay")); return j }},
		"changed body": {"unchanged", func() *judge {
			j, r := asking("pay"), ran("pay")
			r.Body = "c"
			j.Ran(r)
			return j
		}},
		"another team": {"teams", func() *judge {
			j, r := asking("pay"), ran("pay")
			r.Team = "u"
			j.Ran(r)
			return j
		}},
		"refused, not run": {"", func() *judge { j := asking("pay"); j.end("r", reply{status: 503}); return j }},
		"refused, has run": {"not run", func() *judge { j := asking("pay"); j.Ran(ran("pay")); j.end("r", reply{status: 503}); return j }},
		"refused, runs":    {"not run", func() *judge { j := asking("long"); j.end("r", reply{status: 429}); j.Ran(ran("long")); return j }},
		"failed, has run":  {"", func() *judge { j := asking("pay"); j.Ran(ran("pay")); j.end("r", reply{status: 502}); return j }},
		"denied":           {"allowed", func() *judge { j := asking("pay"); j.end("r", reply{status: 404}); return j }},
		"cut stream": {"", func() *judge {
			j, got := asking("short"), whole("short")
			got.body, got.err = got.body[:30], errCut
			j.end("r", got)
			return j
		}},
		"cut stream looks whole": {"whole answers", func() *judge {
			j, got := asking("short"), whole("short")
			got.body = got.body[:30]
			j.end("r", got)
			return j
		}},
		"event twice": {"whole answers", func() *judge {
			j, got := asking("short"), whole("short")
			got.body = got.body[:30] + got.body
			j.end("r", got)
			return j
		}},
		"another's answer": {"whole answers", func() *judge { j, got := asking("pay"), whole("pay"); got.id = "q"; j.end("r", got); return j }},
		"no seal":          {"whole answers", func() *judge { j, got := asking("pay"), whole("pay"); got.sealed = false; j.end("r", got); return j }},
		"revoked long ago": {"revoked", func() *judge {
			j := asking("pay")
			j.set(j.revoked, "k", now.Add(-revokeTime-time.Second))
			j.Ran(ran("pay"))
			return j
		}},
		"revoked just now": {"", func() *judge { j := asking("pay"); j.set(j.revoked, "k", now); j.Ran(ran("pay")); return j }},
		"cold target": {"cold targets", func() *judge {
			j := newJudge()
			j.set(j.cold, "w", now.Add(coldTime))
			for range coldMost + 1 {
				j.ask("r", &asked{kind: "look", method: "POST", uri: "/look/r", body: "b", team: "t"})
				j.Ran(ran("look"))
			}
			return j
		}},
		"one holder": {"", func() *judge {
			j := newJudge()
			j.Ordered(order("a", 1, now))
			j.Ordered(order("b", 2, now.Add(leaseTerm)))
			return j
		}},
		"turns": {"one holder", func() *judge {
			j := newJudge()
			j.Ordered(order("a", 1, now))
			j.Ordered(order("b", 2, now.Add(time.Second)))
			return j
		}},
		"same fence": {"one holder", func() *judge {
			j := newJudge()
			j.Ordered(order("a", 1, now))
			j.Ordered(order("b", 1, now.Add(leaseTerm)))
			return j
		}},
		"order of old one": {"one holder", func() *judge {
			j := newJudge()
			j.Ordered(order("a", 2, now))
			j.Ordered(order("b", 1, now.Add(leaseTerm)))
			return j
		}},
		"thawed": {"", func() *judge {
			j := newJudge()
			j.Ordered(order("a", 2, now))
			j.set(j.thawed, "b", now.Add(time.Second))
			j.Ordered(order("b", 1, now.Add(time.Second+thawTime/2)))
			return j
		}},
		"graceful stop": {"graceful stop", func() *judge {
			j := asking("pay")
			j.Ran(ran("pay"))
			j.end("r", reply{err: errCut})
			j.expectNoneCut("h", now.Add(-time.Second))
			return j
		}},
		"leaving": {"leaving", func() *judge {
			j := asking("pay")
			j.Ran(ran("pay"))
			j.expectNone(now.Add(-time.Second), func(target string) bool { return target == "w" }, "w")
			return j
		}},
		"stall": {"", func() *judge {
			j := asking("pay")
			j.set(j.revoked, "k", now.Add(-revokeTime-time.Second))
			j.stalls = append(j.stalls, now.Add(-time.Second))
			j.Ran(ran("pay"))
			return j
		}},
		"not served": {"service", func() *judge { j := asking("pay"); j.expectServed(tally{}, calmServed); return j }},
	} {
		t.Run(name, func(t *testing.T) {
			broken := strings.Join(c.play().result().Broken, "; ")
			assert.Equal(t, broken == "", c.promise == "", broken)
			assert.Assert(t, strings.Contains(broken, c.promise), broken)
		})
	}
}
