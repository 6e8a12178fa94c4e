package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// The platform's bounds, as the settings of the hosts give them.
const (
	leaseTerm  = 3 * time.Second
	revokeTime = 5 * time.Second
	leaveTime  = 2 * time.Second
	// applyTime is that of a configuration, and some more for what is on its way.
	applyTime      = 3 * time.Second
	evacuationTime = 5 * time.Second
	weightsTime    = 8 * time.Second
	// thawTime is how long after its sender went on an order may be an old one.
	thawTime = 300 * time.Millisecond
	// coldMost is how many requests a cold target may get in a second: one and a half
	// times its rate and five.
	coldMost = coldRate*3/2 + 5
	// A stall is a pause of the soak itself: what happened in it can't be dated.
	stallTick, stallFrom = 20 * time.Millisecond, 200 * time.Millisecond
	// maxBroken bounds the breaches that are kept.
	maxBroken = 50
)

// asked is one attempt of a caller.
type asked struct {
	kind, method, uri, body, key, team string
	host                               string
	sent, ended                        time.Time
	status                             int
	cut                                bool
	runs                               int
	promised                           bool
}

// repeatable reports whether the attempt may run more than once.
func (a *asked) repeatable() bool { return a.kind == "look" || a.kind == "short" }

// run is when a target began to run something.
type run struct {
	target string
	at     time.Time
}

// tally counts the ends of requests.
type tally struct{ requests, answered, refused, failed int }

// judge collects what callers and targets see. It is safe for concurrent use.
type judge struct {
	mu      sync.Mutex
	asked   map[string]*asked
	runs    []run
	revoked map[string]time.Time
	cold    map[string]time.Time
	thawed  map[string]time.Time
	orders  []imitator.Order
	stalls  []time.Time
	passed  int
	broken  []string
	counts  tally
}

func newJudge() *judge {
	return &judge{asked: map[string]*asked{}, revoked: map[string]time.Time{}, cold: map[string]time.Time{}, thawed: map[string]time.Time{}}
}

// breach records a broken promise.
func (j *judge) breach(promise, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record(promise, detail)
}

// record keeps a broken promise; mu must be held.
func (j *judge) record(promise, detail string) {
	if len(j.broken) < maxBroken {
		j.broken = append(j.broken, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), promise, detail))
	}
}

// Broke implements imitator.Observer.
func (j *judge) Broke(promise, detail string) { j.breach(promise, detail) }

// watchStalls notes when the soak itself doesn't run.
func (j *judge) watchStalls(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, stallTick) {
		now := time.Now()
		if now.Sub(last) > stallFrom {
			j.mu.Lock()
			j.stalls = append(j.stalls, now)
			j.mu.Unlock()
		}
		last = now
	}
}

// dated reports whether checks against the clock hold at t: the soak ran all the
// while since from.
func (j *judge) dated(from, t time.Time) bool {
	for _, stall := range j.stalls {
		if !stall.Before(from) && stall.Before(t.Add(time.Second)) {
			j.passed++
			return false
		}
	}
	return true
}

// Ran implements imitator.Observer.
func (j *judge) Ran(r imitator.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	target := baseName(r.Worker)
	j.runs = append(j.runs, run{target, r.At})
	a := j.asked[r.ID]
	if a == nil {
		j.record("only what callers asked runs", "request "+r.ID+" was never sent")
		return
	}
	a.runs++
	switch {
	case a.method != r.Method || a.uri != r.URI || a.body != r.Body:
		j.record("requests are unchanged", fmt.Sprintf("%s ran as %s %s with %d bytes", r.ID, r.Method, r.URI, len(r.Body)))
	case a.team != r.Team:
		j.record("teams", fmt.Sprintf("%s of %s ran as %s", r.ID, a.team, r.Team))
	case a.runs > 1 && !a.repeatable():
		j.record("at most once", fmt.Sprintf("%s (%s) runs %d times", r.ID, a.kind, a.runs))
	case a.promised:
		j.record("not run", fmt.Sprintf("%s (%s) runs after its caller was told that it never will", r.ID, a.kind))
	}
	if at, ok := j.revoked[a.key]; ok && a.sent.After(at.Add(revokeTime)) && j.dated(at, r.At) {
		j.record("revoked keys", fmt.Sprintf("%s runs %s after its key was taken away", r.ID, r.At.Sub(at)))
	}
	j.checkCold(target, r.At)
}

// checkCold checks the requests of the last second at a target that is cold.
func (j *judge) checkCold(target string, now time.Time) {
	until, ok := j.cold[target]
	if !ok || now.After(until) {
		return
	}
	n := 0
	for i := len(j.runs) - 1; i >= 0 && now.Sub(j.runs[i].at) < time.Second; i-- {
		if j.runs[i].target == target && j.runs[i].at.After(until.Add(-coldTime)) {
			n++
		}
	}
	if n > coldMost && j.dated(now.Add(-time.Second), now) {
		j.record("cold targets", fmt.Sprintf("%s got %d requests in a second, may get %d", target, n, coldMost))
	}
}

// Ordered implements imitator.Observer: two holders of orders never take turns within
// the lease's term, and a holder that was replaced gives no more orders.
func (j *judge) Ordered(o imitator.Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o.At.Sub(j.thawed[o.Holder]) < thawTime {
		return
	}
	for i := len(j.orders) - 1; i >= 0; i-- {
		last := j.orders[i]
		if last.Holder == o.Holder {
			continue
		}
		switch {
		case last.Fence == o.Fence:
			j.record("one holder", fmt.Sprintf("%s and %s order with fence %d", last.Holder, o.Holder, o.Fence))
		case last.Fence > o.Fence:
			j.record("one holder", fmt.Sprintf("%s orders with fence %d after %s with %d", o.Holder, o.Fence, last.Holder, last.Fence))
		case o.At.Sub(last.At) < leaseTerm && j.dated(last.At.Add(-leaseTerm), o.At):
			j.record("one holder", fmt.Sprintf("%s orders %s after %s", o.Holder, o.At.Sub(last.At), last.Holder))
		}
		break
	}
	j.orders = append(j.orders, o)
}

// ask records an attempt before it is sent.
func (j *judge) ask(id string, a *asked) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.sent = time.Now()
	j.asked[id] = a
	j.counts.requests++
}

// promises reports whether a status says that the request never runs.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// reply is what a caller saw; err is nil if the answer looked whole.
type reply struct {
	status int
	id     string
	sealed bool
	body   string
	err    error
}

// end records what a caller saw of an attempt, and checks it.
func (j *judge) end(id string, got reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.asked[id]
	a.ended, a.status, a.cut = time.Now(), got.status, got.err != nil
	want := wantedBody(a.kind, id)
	success := got.status >= 200 && got.status < 300
	switch {
	case got.status == 0 || got.err != nil && !success:
		j.counts.failed++
	case !success:
		j.endRefused(id, a, got)
	case !got.sealed || got.id != id:
		j.record("whole answers", fmt.Sprintf("%s: a success for %q, sealed %v", id, got.id, got.sealed))
	case got.err != nil && strings.HasPrefix(want, got.body):
		j.counts.failed++
	case got.body != want:
		j.record("whole answers", fmt.Sprintf("%s (%s): %d bytes of %d, looks whole: %v: %.200q", id, a.kind, len(got.body), len(want), got.err == nil, got.body))
	default:
		j.counts.answered++
	}
}

func (j *judge) endRefused(id string, a *asked, got reply) {
	j.counts.refused++
	_, revoked := j.revoked[a.key]
	switch {
	case promises(got.status):
		a.promised = !a.repeatable()
		if a.promised && a.runs > 0 {
			j.record("not run", fmt.Sprintf("%s (%s) ran, and its caller was told %d", id, a.kind, got.status))
		}
	case got.status == http.StatusUnauthorized && revoked:
		j.counts.requests-- // It is owed nothing.
	case got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout:
	default:
		j.record("allowed requests", fmt.Sprintf("%s (%s) is refused with %d", id, a.kind, got.status))
	}
}

// wantedBody is the whole answer to a request.
func wantedBody(kind, id string) string {
	if kind == "pay" || kind == "look" {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

func (j *judge) tally() tally {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// expectServed checks the share of requests that were answered since a tally.
func (j *judge) expectServed(since tally, share float64) {
	now := j.tally()
	n, answered := now.requests-since.requests, now.answered-since.answered
	if float64(answered) < share*float64(n) {
		j.breach("service", fmt.Sprintf("%d of %d requests were answered in the calm time", answered, n))
	}
}

// expectNone checks that some targets ran nothing from a time on.
func (j *judge) expectNone(from time.Time, of func(string) bool, what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, r := range j.runs {
		if r.at.After(from) && of(r.target) {
			n++
		}
	}
	if n > 0 && j.dated(from.Add(-evacuationTime), time.Now()) {
		j.record("leaving", fmt.Sprintf("%s gets %d requests", what, n))
	}
}

// expectNoneCut checks that a host which left in good order cut no request that ran.
func (j *judge) expectNoneCut(host string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, a := range j.asked {
		if a.host == host && a.cut && a.runs > 0 && a.ended.After(from) {
			j.record("graceful stop", fmt.Sprintf("%s (%s) was cut by %s", id, a.kind, host))
		}
	}
}

// expectOneVersion checks that engines have a version within the platform's bound.
func (j *judge) expectOneVersion(engines []*target, version int) {
	deadline := time.Now().Add(weightsTime)
	for {
		var missing []string
		for _, e := range engines {
			if got := e.worker.Weights(); got != version {
				missing = append(missing, fmt.Sprintf("%s has %d", e.name, got))
			}
		}
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			j.breach("weights", fmt.Sprintf("version %d is not in place: %s", version, strings.Join(missing, ", ")))
			return
		}
		time.Sleep(stallTick)
	}
}

func (j *judge) set(list map[string]time.Time, name string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	list[name] = at
}

func (j *judge) result() Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Result{
		Requests: j.counts.requests, Answered: j.counts.answered, Refused: j.counts.refused, Failed: j.counts.failed,
		Orders: len(j.orders), Stalls: len(j.stalls), Passed: j.passed, Broken: j.broken,
	}
}
