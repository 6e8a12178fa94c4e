package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/bench/auditor"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// The platform's bounds, as in the settings of the hosts.
const (
	leaseTerm     = 3 * time.Second
	maxRevokeTime = 5 * time.Second
	maxDrainTime  = 2 * time.Second
	// maxConfigTime is the bound for a new configuration, plus a margin for messages in
	// transit.
	maxConfigTime     = 3 * time.Second
	maxEvacuationTime = 5 * time.Second
	maxWeightsTime    = 8 * time.Second
	// contactTime is how long a host must have run, and the platform's store been without
	// faults, for bounds to hold.
	contactTime = 3 * time.Second
	// resumeGrace is the time after a paused host resumes in which its orders aren't
	// checked: they may have been issued before the pause.
	resumeGrace = 300 * time.Millisecond
	// maxColdRequests is how many requests a cold target may receive in a second:
	// one and a half times its rate, plus five.
	maxColdRequests = coldRequestRate*3/2 + 5
	// A stall is a pause of the soak's own process. Events around it have no reliable
	// time, so checks against the clock are skipped.
	stallCheckInterval, stallThreshold = 20 * time.Millisecond, 200 * time.Millisecond
	// maxViolations bounds the violations that are kept.
	maxViolations = 50
)

// attempt is one request of a caller and what was observed of it.
type attempt struct {
	kind, method, uri, body, key, team string
	host                               string
	sent, ended                        time.Time
	status                             int
	// cut is true if the request failed before its response was complete.
	cut bool
	// uploaded is when the last byte of an upload was sent; zero for requests that are sent at once.
	uploaded time.Time
	// runs counts the executions at targets, the last of which goes on until workUntil.
	runs      int
	workUntil time.Time
	// impliedNotRun is true if the attempt mustn't be repeated and its status says
	// that it never runs.
	impliedNotRun bool
	// fatal is true if the request crashes targets.
	fatal bool
}

// repeatable reports whether the attempt may run more than once.
func (a *attempt) repeatable() bool { return a.kind == "look" || a.kind == "short" }

// execution is the start of a request at a target.
type execution struct {
	target string
	at     time.Time
}

// faultState tells whether a fault lasts, and since when.
type faultState struct {
	lasts bool
	since time.Time
}

// requestCounts counts requests by outcome.
type requestCounts struct{ requests, answered, refused, failed int }

// checker records what callers and targets observe, and checks it against the rules.
// It is safe for concurrent use.
type checker struct {
	mu         sync.Mutex
	attempts   map[string]*attempt
	executions []execution
	// revokedAt holds times by key, coldUntil by target, and resumedAt by host.
	revokedAt map[string]time.Time
	coldUntil map[string]time.Time
	resumedAt map[string]time.Time
	// namedAt holds the times at which weight versions were acknowledged.
	namedAt map[int]time.Time
	// hostFaults and linkFaults are by the names of hosts and links, and platformFaults by
	// those of faults of the platform's store.
	hostFaults, linkFaults, platformFaults map[string]faultState
	orders                                 []imitator.Order
	stalls                                 []time.Time
	// skipped counts the checks that were skipped because of stalls.
	skipped    int
	violations []string
	counts     requestCounts
	// fatal records the requests with a part that crashes engines, and those that crash plain targets; empty
	// before the series.
	fatal []*fatalRecord
	// stops are the graceful stops that are yet to be checked.
	stops []hostStop
	// limits records what the processes of targets named and got, by ID.
	limits map[string]*auditor.Record
}

func newChecker() *checker {
	return &checker{
		attempts: map[string]*attempt{}, revokedAt: map[string]time.Time{}, coldUntil: map[string]time.Time{}, resumedAt: map[string]time.Time{},
		namedAt: map[int]time.Time{}, hostFaults: map[string]faultState{}, linkFaults: map[string]faultState{}, platformFaults: map[string]faultState{},
		limits: map[string]*auditor.Record{},
	}
}

// addViolation records that a rule was violated.
func (c *checker) addViolation(rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, detail)
}

// addViolationLocked is addViolation for callers that hold mu.
func (c *checker) addViolationLocked(rule, detail string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), rule, detail))
	}
}

// RuleViolated implements imitator.Observer. It adds a violation that a target detected.
func (c *checker) RuleViolated(rule, detail string) { c.addViolation(rule, detail) }

// watchStalls records the times at which the soak's own process wasn't scheduled.
func (c *checker) watchStalls(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, stallCheckInterval) {
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			c.mu.Lock()
			c.stalls = append(c.stalls, now)
			c.mu.Unlock()
		}
		last = now
	}
}

// clockReliable reports whether checks against the clock are valid at t, which they are
// if the soak hasn't stalled since from. Otherwise it counts the check as skipped. mu
// must be held.
func (c *checker) clockReliable(from, t time.Time) bool {
	for _, stall := range c.stalls {
		if !stall.Before(from) && stall.Before(t.Add(time.Second)) {
			c.skipped++
			return false
		}
	}
	return true
}

// RequestStarted implements imitator.Observer. It checks a request that a target starts to run.
func (c *checker) RequestStarted(r imitator.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := targetName(r.Worker)
	c.executions = append(c.executions, execution{target, r.At})
	a := c.attempts[r.ID]
	if a == nil {
		c.addViolationLocked("only what callers asked runs", "request "+r.ID+" was never sent")
		return
	}
	a.runs++
	a.workUntil = r.At.Add(r.Lasts)
	switch {
	case a.method != r.Method || a.uri != r.URI || a.body != r.Body:
		c.addViolationLocked("requests are unchanged", fmt.Sprintf("%s ran as %s %s with %d bytes", r.ID, r.Method, r.URI, len(r.Body)))
	case a.team != r.Team:
		c.addViolationLocked("teams", fmt.Sprintf("%s of %s ran as %s", r.ID, a.team, r.Team))
	case a.runs > 1 && !a.repeatable():
		c.addViolationLocked("at most once", fmt.Sprintf("%s (%s) runs %d times", r.ID, a.kind, a.runs))
	case a.impliedNotRun:
		c.addViolationLocked("not run", fmt.Sprintf("%s (%s) runs after its caller was told that it never will", r.ID, a.kind))
	}
	if at, ok := c.revokedAt[a.key]; ok && a.sent.After(at.Add(maxRevokeTime)) && c.clockReliable(at, r.At) {
		c.addViolationLocked("revoked keys", fmt.Sprintf("%s runs %s after its key was taken away", r.ID, r.At.Sub(at)))
	}
	c.checkColdLimit(target, r.At)
	c.checkWeights(r, a.host)
	c.recordFatalRun(r, a.host)
}

// checkWeights checks that a run sent by a host in touch doesn't begin on weights that were
// replaced more than maxWeightsTime ago; mu must be held.
func (c *checker) checkWeights(r imitator.Run, host string) {
	// Each version has a deadline of its own, and the next version has the earliest.
	named, ok := c.namedAt[r.Weights+1]
	if !ok {
		return
	}
	since, calm := c.calmSince()
	if since.Before(named) {
		since = named
	}
	// A host is out of touch after faults of the store and of links too, but these have been
	// absent for longer.
	f := c.hostFaults[host]
	inTouch := !f.lasts && r.At.Sub(f.since) >= contactTime
	if calm && inTouch && r.At.Sub(since) > maxWeightsTime && c.clockReliable(since, r.At) {
		c.addViolationLocked("old weights", fmt.Sprintf("%s, sent on by %s, begins on version %d of %s, %s after version %d was named", r.ID, host, r.Weights, r.Worker, r.At.Sub(named), r.Weights+1))
	}
}

// calmSince returns the time since when the platform's store has been stable and no link
// disrupted, or false if they aren't; mu must be held.
func (c *checker) calmSince() (time.Time, bool) {
	var since time.Time
	for _, f := range c.linkFaults {
		if f.lasts {
			return time.Time{}, false
		}
		if f.since.After(since) {
			since = f.since
		}
	}
	for _, f := range c.platformFaults {
		if f.lasts {
			return time.Time{}, false
		}
		if stable := f.since.Add(contactTime); stable.After(since) {
			since = stable
		}
	}
	return since, true
}

// checkMemory checks the resident memory of a host, which is the second field of statm, in pages.
func (c *checker) checkMemory(host, statm string) {
	var size, resident int
	if n, err := fmt.Sscan(statm, &size, &resident); n < 2 {
		c.addViolation("soak", fmt.Sprintf("can't read the memory of %s: %v", host, err))
		return
	}
	if resident*os.Getpagesize() > memoryMB<<20 {
		c.addViolation("memory", fmt.Sprintf("%s uses %d MB, has %d", host, resident*os.Getpagesize()>>20, memoryMB))
	}
}

// checkColdLimit checks the number of requests in the last second at a cold target; mu
// must be held.
func (c *checker) checkColdLimit(target string, now time.Time) {
	until, ok := c.coldUntil[target]
	if !ok || now.After(until) {
		return
	}
	n := 0
	for i := len(c.executions) - 1; i >= 0 && now.Sub(c.executions[i].at) < time.Second; i-- {
		if c.executions[i].target == target && c.executions[i].at.After(until.Add(-coldDuration)) {
			n++
		}
	}
	if n > maxColdRequests && c.clockReliable(now.Add(-time.Second), now) {
		c.addViolationLocked("cold targets", fmt.Sprintf("%s got %d requests in a second, may get %d", target, n, maxColdRequests))
	}
}

// OrderReceived implements imitator.Observer. It checks that no two hosts issue orders under
// the same fencing token or within one lease term, and that a host whose lease was taken
// over issues no more orders.
func (c *checker) OrderReceived(o imitator.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.At.Sub(c.resumedAt[o.Holder]) < resumeGrace {
		return
	}
	for i := len(c.orders) - 1; i >= 0; i-- {
		last := c.orders[i]
		if last.Holder == o.Holder {
			continue
		}
		switch {
		case last.Fence == o.Fence:
			c.addViolationLocked("one holder", fmt.Sprintf("%s and %s order with fence %d", last.Holder, o.Holder, o.Fence))
		case last.Fence > o.Fence:
			c.addViolationLocked("one holder", fmt.Sprintf("%s orders with fence %d after %s with %d", o.Holder, o.Fence, last.Holder, last.Fence))
		case o.At.Sub(last.At) < leaseTerm && c.clockReliable(last.At.Add(-leaseTerm), o.At):
			c.addViolationLocked("one holder", fmt.Sprintf("%s orders %s after %s", o.Holder, o.At.Sub(last.At), last.Holder))
		}
		break
	}
	c.orders = append(c.orders, o)
}

// startAttempt records an attempt; it is called before the request is sent.
func (c *checker) startAttempt(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.sent = time.Now()
	c.attempts[id] = a
	c.counts.requests++
}

// impliesNotRun reports whether a status guarantees that the request never runs.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// response is what a caller received; err is nil if the response looked complete.
type response struct {
	status int
	id     string
	sealed bool
	body   string
	err    error
}

// endAttempt records and checks the response to an attempt.
func (c *checker) endAttempt(id string, got response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	a.ended, a.status, a.cut = time.Now(), got.status, got.err != nil
	want := expectedBody(a.kind, id)
	success := got.status >= 200 && got.status < 300
	switch {
	case got.status == 0 || got.err != nil && !success:
		c.counts.failed++
	case !success:
		c.endRefusedAttempt(id, a, got)
	case !got.sealed || got.id != id:
		c.addViolationLocked("whole answers", fmt.Sprintf("%s: a success for %q, sealed %v", id, got.id, got.sealed))
	case got.err != nil && strings.HasPrefix(want, got.body):
		c.counts.failed++
	case got.body != want:
		c.addViolationLocked("whole answers", fmt.Sprintf("%s (%s): %d bytes of %d, looks whole: %v: %.200q", id, a.kind, len(got.body), len(want), got.err == nil, got.body))
	default:
		c.counts.answered++
	}
}

// endRefusedAttempt checks a response without success; mu must be held.
func (c *checker) endRefusedAttempt(id string, a *attempt, got response) {
	c.counts.refused++
	_, revoked := c.revokedAt[a.key]
	switch {
	case impliesNotRun(got.status):
		a.impliedNotRun = !a.repeatable()
		if a.impliedNotRun && a.runs > 0 {
			c.addViolationLocked("not run", fmt.Sprintf("%s (%s) ran, and its caller was told %d", id, a.kind, got.status))
		}
	case got.status == http.StatusUnauthorized && revoked:
		c.counts.requests-- // Requests with a revoked key needn't be answered.
	case got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout:
	default:
		c.addViolationLocked("allowed requests", fmt.Sprintf("%s (%s) is refused with %d", id, a.kind, got.status))
	}
}

// expectedBody returns the complete body of a successful response.
func expectedBody(kind, id string) string {
	if kind == "pay" || kind == "look" {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

func (c *checker) currentCounts() requestCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// checkAnsweredShare checks the share of requests that were answered since earlier counts.
func (c *checker) checkAnsweredShare(since requestCounts, share float64) {
	now := c.currentCounts()
	n, answered := now.requests-since.requests, now.answered-since.answered
	if float64(answered) < share*float64(n) {
		c.addViolation("service", fmt.Sprintf("%d of %d requests were answered in the calm time", answered, n))
	}
}

// checkNoExecutions checks that the targets that match start no request after a time.
func (c *checker) checkNoExecutions(from time.Time, match func(string) bool, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.executions {
		if r.at.After(from) && match(r.target) {
			n++
		}
	}
	if n > 0 && c.clockReliable(from.Add(-maxEvacuationTime), time.Now()) {
		c.addViolationLocked("leaving", fmt.Sprintf("%s gets %d requests", what, n))
	}
}

// checkNoCutRequests checks that a host's graceful stop cut no running request.
func (c *checker) checkNoCutRequests(host string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, a := range c.attempts {
		if a.host == host && a.cut && a.runs > 0 && a.ended.After(from) {
			c.addViolationLocked("graceful stop", fmt.Sprintf("%s (%s) was cut by %s", id, a.kind, host))
		}
	}
}

// awaitWeightVersion checks that all engines have a weight version within maxWeightsTime.
func (c *checker) awaitWeightVersion(engines []*target, version int) {
	deadline := time.Now().Add(maxWeightsTime)
	for {
		missing := enginesWithout(engines, version)
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			c.addViolation("weights", fmt.Sprintf("version %d is not in place: %s", version, strings.Join(missing, ", ")))
			return
		}
		time.Sleep(stallCheckInterval)
	}
}

// enginesWithout lists the engines without a weight version, and what they have.
func enginesWithout(engines []*target, version int) []string {
	var missing []string
	for _, e := range engines {
		if got := e.worker.Weights(); got != version {
			missing = append(missing, fmt.Sprintf("%s has %d", e.name, got))
		}
	}
	return missing
}

// lastOrder returns the last order, or the zero Order.
func (c *checker) lastOrder() imitator.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.orders) == 0 {
		return imitator.Order{}
	}
	return c.orders[len(c.orders)-1]
}

// markFault records in one of the maps of faults that a fault begins, or that it ends or was
// momentary.
func (c *checker) markFault(faults map[string]faultState, name string, lasts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults[name] = faultState{lasts, time.Now()}
}

// weightsNamed records that the platform acknowledged a weight version.
func (c *checker) weightsNamed(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.namedAt[version] = time.Now()
}

// setTime sets an entry of one of the maps of times.
func (c *checker) setTime(times map[string]time.Time, name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times[name] = at
}

func (c *checker) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{
		Requests: c.counts.requests, Answered: c.counts.answered, Refused: c.counts.refused, Failed: c.counts.failed,
		Orders: len(c.orders), Stalls: len(c.stalls), SkippedChecks: c.skipped, Violations: c.violations,
	}
	for _, f := range c.fatal {
		r.Crashes += len(f.crashes)
		r.FatalRuns += len(f.runs)
		r.SoundSent += f.soundSent
		r.SoundAnswered += f.soundAnswered
	}
	return r
}
