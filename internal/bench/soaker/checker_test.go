package soaker

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/auditor"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// newCheckerWithAttempt returns a checker with one open attempt of a kind.
func newCheckerWithAttempt(kind string) *checker {
	chk := newChecker()
	chk.startAttempt("r", &attempt{kind: kind, method: "POST", uri: "/" + kind + "/r", body: "b", key: "k", team: "t", host: "h"})
	return chk
}

// newCheckerWithStop returns a checker with the stop of a host and a stream that it has cut just now. Its last byte was
// sent at uploaded; it ran so often, each time for lasts from then on.
func newCheckerWithStop(stop, uploaded time.Time, runs int, lasts time.Duration) *checker {
	chk := newCheckerWithAttempt("short")
	chk.attempts["r"].uploaded = uploaded
	for range runs {
		r := newRun("short")
		r.At, r.Lasts = uploaded, lasts
		chk.RequestStarted(r)
	}
	chk.recordStop("h", stop)
	chk.endAttempt("r", response{err: errCut})
	chk.checkStops()
	return chk
}

// newRun returns an execution of that attempt at a target.
func newRun(kind string) imitator.Run {
	return imitator.Run{ID: "r", Worker: "w", Team: "t", Method: "POST", URI: "/" + kind + "/r", Body: "b", At: time.Now()}
}

// completeResponse returns a successful response to that attempt.
func completeResponse(kind string) response {
	return response{status: 200, id: "r", sealed: true, body: expectedBody(kind, "r")}
}

func newOrder(holder string, fence int64, at time.Time) imitator.Order {
	return imitator.Order{Worker: "w", Holder: holder, Fence: fence, At: at}
}

// newCheckerWithFatalRuns returns a checker that has seen crashes on a part, ten seconds ago, and
// requests with it that reached engines since.
func newCheckerWithFatalRuns(now time.Time, crashes, runs int) *checker {
	const part = "fa7a1"
	chk := newChecker()
	chk.startFatal(part, "/look/"+part)
	for range crashes {
		chk.fatal[0].crashes = append(chk.fatal[0].crashes, now.Add(-10*time.Second))
	}
	for n := range runs {
		id := fmt.Sprint("fatal-", n)
		chk.startAttempt(id, &attempt{kind: "long", method: "POST", uri: "/long/" + id, host: "h", fatal: true})
		chk.RequestStarted(imitator.Run{ID: id, Worker: "w", Method: "POST", URI: "/long/" + id, At: now, Parts: []string{"a:1", part + ":1", "ff:1"}})
	}
	chk.checkFatal()
	return chk
}

// newCheckerWithFatalRepeats is the same for a request that crashes plain targets.
func newCheckerWithFatalRepeats(now time.Time, crashes, runs int) *checker {
	const uri = "/look/fa7a1"
	chk := newChecker()
	chk.startFatal("fa7a1", uri)
	for range crashes {
		chk.fatal[1].crashes = append(chk.fatal[1].crashes, now.Add(-10*time.Second))
	}
	for n := range runs {
		id := fmt.Sprint("fatal-", n)
		chk.startAttempt(id, &attempt{kind: "look", method: "GET", uri: uri, host: "h", fatal: true})
		chk.RequestStarted(imitator.Run{ID: id, Worker: "w", Method: "GET", URI: uri, At: now})
	}
	chk.checkFatal()
	return chk
}

var errCut = errors.New("cut")

// TestFaultsAreRecorded guards against excuses that end too early or never.
func TestFaultsAreRecorded(t *testing.T) {
	chk, silent := newChecker(), &proxier.Direction{Silent: true}
	p, err := proxier.New(proxier.Config{Target: netip.MustParseAddrPort("127.0.0.1:1"), Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	l := &link{name: "l", checker: chk, Proxier: p}
	l.disrupt(proxier.Faults{Up: silent})
	l.disrupt(proxier.Faults{Reset: true})
	_, calm := chk.calmSince()
	assert.Assert(t, !calm, "a reset ended a silence")
	l.heal()
	healed, calm := chk.calmSince()
	assert.Assert(t, calm && !healed.IsZero())
	l.disrupt(proxier.Faults{Reset: true})
	reset, calm := chk.calmSince()
	assert.Assert(t, calm && reset.After(healed))
	h := &host{name: "h", cluster: &cluster{checker: chk}}
	h.pause()
	assert.Assert(t, chk.hostFaults["h"].lasts)
	h.resume(chk)
	assert.Assert(t, !chk.hostFaults["h"].lasts && chk.hostFaults["h"].since.After(reset))
}

// TestCheckerDetectsViolations guards against a checker that misses violations or reports
// false ones. Each history must lead to violations of the named rule, or of none if empty.
func TestCheckerDetectsViolations(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		rule   string
		replay func() *checker
	}{
		"complete response": {"", func() *checker {
			chk := newCheckerWithAttempt("short")
			chk.RequestStarted(newRun("short"))
			chk.endAttempt("r", completeResponse("short"))
			return chk
		}},
		"few requests with a fatal part": {"", func() *checker {
			return newCheckerWithFatalRuns(now, crashBound, maxFatalRuns)
		}},
		"many requests with a fatal part": {"fatal parts", func() *checker {
			return newCheckerWithFatalRuns(now, crashBound, maxFatalRuns+1)
		}},
		"many requests with a fatal part before the bound": {"", func() *checker {
			return newCheckerWithFatalRuns(now, crashBound-1, maxFatalRuns+1)
		}},
		"many repeats of a fatal request": {"fatal requests", func() *checker {
			return newCheckerWithFatalRepeats(now, requestCrashBound, maxFatalRuns+1)
		}},
		"few repeats of a fatal request": {"", func() *checker {
			return newCheckerWithFatalRepeats(now, requestCrashBound, maxFatalRuns)
		}},
		"sound requests refused beside a fatal part": {"sound beside fatal parts", func() *checker {
			chk := newCheckerWithFatalRuns(now, crashBound, 0)
			for n := range minSoundRequests {
				id := fmt.Sprint("sound-", n)
				chk.startAttempt(id, &attempt{kind: "long", host: "h"})
				chk.attempts[id].sent = now.Add(-time.Second)
				chk.endAttempt(id, response{status: http.StatusServiceUnavailable})
			}
			chk.checkFatal()
			return chk
		}},
		"repeatable request runs twice": {"", func() *checker {
			chk := newCheckerWithAttempt("look")
			chk.RequestStarted(newRun("look"))
			chk.RequestStarted(newRun("look"))
			return chk
		}},
		"non-repeatable request runs twice": {"at most once", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.RequestStarted(newRun("pay"))
			chk.RequestStarted(newRun("pay"))
			return chk
		}},
		"a host within its memory": {"", func() *checker {
			chk := newChecker()
			chk.checkMemory("h", fmt.Sprint(1<<30, memoryMB<<20/os.Getpagesize(), " 1 1"))
			return chk
		}},
		"a host beyond its memory": {"memory", func() *checker {
			chk := newChecker()
			chk.checkMemory("h", fmt.Sprint(1<<30, memoryMB<<20/os.Getpagesize()+1, " 1 1"))
			return chk
		}},
		"unknown request": {"only what callers asked", func() *checker { chk := newChecker(); chk.RequestStarted(newRun("pay")); return chk }},
		"changed body": {"unchanged", func() *checker {
			chk, r := newCheckerWithAttempt("pay"), newRun("pay")
			r.Body = "c"
			chk.RequestStarted(r)
			return chk
		}},
		"another team": {"teams", func() *checker {
			chk, r := newCheckerWithAttempt("pay"), newRun("pay")
			r.Team = "u"
			chk.RequestStarted(r)
			return chk
		}},
		"refused and not run": {"", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.endAttempt("r", response{status: 503})
			return chk
		}},
		"refused after run": {"not run", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.RequestStarted(newRun("pay"))
			chk.endAttempt("r", response{status: 503})
			return chk
		}},
		"run after refusal": {"not run", func() *checker {
			chk := newCheckerWithAttempt("long")
			chk.endAttempt("r", response{status: 429})
			chk.RequestStarted(newRun("long"))
			return chk
		}},
		"failed after run": {"", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.RequestStarted(newRun("pay"))
			chk.endAttempt("r", response{status: 502})
			return chk
		}},
		"unexpected status": {"allowed", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.endAttempt("r", response{status: 404})
			return chk
		}},
		"cut stream": {"", func() *checker {
			chk, got := newCheckerWithAttempt("short"), completeResponse("short")
			got.body, got.err = got.body[:30], errCut
			chk.endAttempt("r", got)
			return chk
		}},
		"truncated stream without error": {"whole answers", func() *checker {
			chk, got := newCheckerWithAttempt("short"), completeResponse("short")
			got.body = got.body[:30]
			chk.endAttempt("r", got)
			return chk
		}},
		"repeated events": {"whole answers", func() *checker {
			chk, got := newCheckerWithAttempt("short"), completeResponse("short")
			got.body = got.body[:30] + got.body
			chk.endAttempt("r", got)
			return chk
		}},
		"response to another request": {"whole answers", func() *checker {
			chk, got := newCheckerWithAttempt("pay"), completeResponse("pay")
			got.id = "q"
			chk.endAttempt("r", got)
			return chk
		}},
		"response without seal": {"whole answers", func() *checker {
			chk, got := newCheckerWithAttempt("pay"), completeResponse("pay")
			got.sealed = false
			chk.endAttempt("r", got)
			return chk
		}},
		"key revoked longer ago than the bound": {"revoked", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.setTime(chk.revokedAt, "k", now.Add(-maxRevokeTime-time.Second))
			chk.RequestStarted(newRun("pay"))
			return chk
		}},
		"key revoked just now": {"", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.setTime(chk.revokedAt, "k", now)
			chk.RequestStarted(newRun("pay"))
			return chk
		}},
		"cold target over its limit": {"cold targets", func() *checker {
			chk := newChecker()
			chk.setTime(chk.coldUntil, "w", now.Add(coldDuration))
			for range maxColdRequests + 1 {
				chk.startAttempt("r", &attempt{kind: "look", method: "POST", uri: "/look/r", body: "b", team: "t"})
				chk.RequestStarted(newRun("look"))
			}
			return chk
		}},
		"second holder after the lease term": {"", func() *checker {
			chk := newChecker()
			chk.OrderReceived(newOrder("a", 1, now))
			chk.OrderReceived(newOrder("b", 2, now.Add(leaseTerm)))
			return chk
		}},
		"second holder within the lease term": {"one holder", func() *checker {
			chk := newChecker()
			chk.OrderReceived(newOrder("a", 1, now))
			chk.OrderReceived(newOrder("b", 2, now.Add(time.Second)))
			return chk
		}},
		"two holders with one fencing token": {"one holder", func() *checker {
			chk := newChecker()
			chk.OrderReceived(newOrder("a", 1, now))
			chk.OrderReceived(newOrder("b", 1, now.Add(leaseTerm)))
			return chk
		}},
		"order with an older fencing token": {"one holder", func() *checker {
			chk := newChecker()
			chk.OrderReceived(newOrder("a", 2, now))
			chk.OrderReceived(newOrder("b", 1, now.Add(leaseTerm)))
			return chk
		}},
		"old order of a host just resumed": {"", func() *checker {
			chk := newChecker()
			chk.OrderReceived(newOrder("a", 2, now))
			chk.setTime(chk.resumedAt, "b", now.Add(time.Second))
			chk.OrderReceived(newOrder("b", 1, now.Add(time.Second+resumeGrace/2)))
			return chk
		}},
		"request cut by a graceful stop": {"graceful stop", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.RequestStarted(newRun("pay"))
			chk.endAttempt("r", response{err: errCut})
			chk.checkNoCutRequests("h", now.Add(-time.Second))
			return chk
		}},
		"upload passed on and cut by a graceful stop": {"graceful stop", func() *checker {
			return newCheckerWithStop(now.Add(-gracePeriod), now.Add(-time.Second), 1, time.Minute)
		}},
		"upload read and cut by a graceful stop": {"graceful stop", func() *checker {
			return newCheckerWithStop(now.Add(-gracePeriod), now.Add(-2*lossSlack), 0, 0)
		}},
		"upload that crosses the end of its connection": {"", func() *checker {
			return newCheckerWithStop(now.Add(-gracePeriod), now.Add(-lossSlack/2), 0, 0)
		}},
		"stream cut in the last sixth of the grace period": {"", func() *checker {
			return newCheckerWithStop(now.Add(-excusedTime-time.Second), now.Add(-4*time.Second-excusedTime+latestExcused), 1, time.Minute)
		}},
		"stream cut after its target has ended": {"graceful stop", func() *checker {
			return newCheckerWithStop(now.Add(-excusedTime-time.Second), now.Add(-4*time.Second-excusedTime+latestExcused), 1, time.Second)
		}},
		"stream sent late and cut in the last sixth of the grace period": {"graceful stop", func() *checker {
			return newCheckerWithStop(now.Add(-excusedTime-time.Second), now.Add(-4*time.Second), 1, time.Minute)
		}},
		"stream cut at its route's timeout": {"", func() *checker {
			return newCheckerWithStop(now.Add(-time.Second), now.Add(-routeTimeouts["short"]), 1, time.Minute)
		}},
		"request to a drained target": {"leaving", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.RequestStarted(newRun("pay"))
			chk.checkNoExecutions(now.Add(-time.Second), func(target string) bool { return target == "w" }, "w")
			return chk
		}},
		"violation during a stall": {"", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.setTime(chk.revokedAt, "k", now.Add(-maxRevokeTime-time.Second))
			chk.stalls = append(chk.stalls, now.Add(-time.Second))
			chk.RequestStarted(newRun("pay"))
			return chk
		}},
		"too few requests answered": {"service", func() *checker {
			chk := newCheckerWithAttempt("pay")
			chk.checkAnsweredShare(requestCounts{}, minAnsweredShare)
			return chk
		}},
	} {
		t.Run(name, func(t *testing.T) {
			violations := strings.Join(tc.replay().result().Violations, "; ")
			assert.Equal(t, violations == "", tc.rule == "", violations)
			assert.Assert(t, strings.Contains(violations, tc.rule), violations)
		})
	}
}

// TestCheckerJudgesOldWeights replays runs that begin on version 1, ten seconds after version 2
// was named, with what else happened before.
func TestCheckerJudgesOldWeights(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) faultState { return faultState{since: now.Add(-d)} }
	for name, tc := range map[string]struct {
		violated bool
		disrupt  func(*checker)
	}{
		"nothing else":                      {true, func(*checker) {}},
		"before the deadline":               {false, func(chk *checker) { chk.namedAt[2] = now.Add(-maxWeightsTime + time.Second) }},
		"no newer version":                  {false, func(chk *checker) { delete(chk.namedAt, 2) }},
		"version 2 was replaced":            {true, func(chk *checker) { chk.namedAt[3] = now }},
		"host paused":                       {false, func(chk *checker) { chk.hostFaults["h"] = faultState{lasts: true} }},
		"host just resumed":                 {false, func(chk *checker) { chk.hostFaults["h"] = ago(contactTime - time.Second) }},
		"host in touch again":               {true, func(chk *checker) { chk.hostFaults["h"] = ago(contactTime) }},
		"another host paused":               {true, func(chk *checker) { chk.hostFaults["i"] = faultState{lasts: true} }},
		"link disrupted":                    {false, func(chk *checker) { chk.linkFaults["l"] = faultState{lasts: true} }},
		"link disrupted in the stretch":     {false, func(chk *checker) { chk.linkFaults["l"] = ago(maxWeightsTime - time.Second) }},
		"link disrupted before the stretch": {true, func(chk *checker) { chk.linkFaults["l"] = ago(maxWeightsTime + time.Millisecond) }},
		"platform down":                     {false, func(chk *checker) { chk.platformFaults["p"] = faultState{lasts: true} }},
		"platform unstable in the stretch":  {false, func(chk *checker) { chk.platformFaults["p"] = ago(maxWeightsTime + contactTime - time.Second) }},
		"platform stable in the stretch":    {true, func(chk *checker) { chk.platformFaults["p"] = ago(maxWeightsTime + contactTime + time.Millisecond) }},
		"stall in the stretch":              {false, func(chk *checker) { chk.stalls = append(chk.stalls, now.Add(-maxWeightsTime)) }},
	} {
		t.Run(name, func(t *testing.T) {
			chk, r := newCheckerWithAttempt("short"), newRun("short")
			r.Weights = 1
			chk.namedAt[2] = now.Add(-maxWeightsTime - 2*time.Second)
			tc.disrupt(chk)
			chk.RequestStarted(r)
			violations := strings.Join(chk.result().Violations, "; ")
			assert.Equal(t, strings.Contains(violations, "old weights"), tc.violated, violations)
		})
	}
}

// TestExcessOfLimitIsViolation guards against a soak that passes whatever targets with limits get.
func TestExcessOfLimitIsViolation(t *testing.T) {
	for _, host := range []string{"in-touch", "paused"} {
		chk, start := newChecker(), time.Now().Add(-time.Minute)
		chk.limits["w"] = &auditor.Record{}
		chk.limits["w"].Name(start, 1)
		chk.markFault(chk.hostFaults, "paused", true)
		for n := range 30 {
			id := fmt.Sprint(n)
			chk.startAttempt(id, &attempt{kind: "look", host: host})
			chk.RequestReached(imitator.Arrival{ID: id, Worker: "w", At: start.Add(10*time.Second + time.Duration(n)*100*time.Millisecond)})
		}
		assert.Equal(t, len(chk.violations) > 0, host == "in-touch", "%s: %v", host, chk.violations)
	}
}
