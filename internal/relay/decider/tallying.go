package decider

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/roller"
)

const (
	// rolloutInterval is the interval at which the lease holder decides on rollouts, and at which hosts send it
	// their counts. In large fleets they do so at rolloutIntervalInLargeFleet while the share is low: with 200
	// hosts, the holder receives 400 messages a second, which cost it about 1% of a core.
	rolloutInterval             = 200 * time.Millisecond
	rolloutIntervalInLargeFleet = 500 * time.Millisecond
	// maxCountAge is the age up to which the lease holder relies on counts of a host.
	maxCountAge = time.Second
	// maxCountedRoutes bounds the routes in the counts of a rollout, each of some 60 bytes. Further ones are
	// counted together.
	maxCountedRoutes = 64
	// firstServerError is the lowest status that is a failure of the target.
	firstServerError = 500
	// maxCountsPerMessage bounds the counts in a message.
	maxCountsPerMessage = 4
)

// RouteTally counts the answers of one version on one route at one host.
type RouteTally struct {
	Answers  int           `cbor:"1,keyasint,omitempty"`
	Failures int           `cbor:"2,keyasint,omitempty"`
	Time     time.Duration `cbor:"3,keyasint,omitempty"`
	Squares  float64       `cbor:"4,keyasint,omitempty"`
}

// RolloutCounts are the counts of a host since an order, with the state in which it applies it.
type RolloutCounts struct {
	Service string `cbor:"1,keyasint"`
	To      string `cbor:"2,keyasint"`
	// Elapsed is the time since the order as the host knows it.
	Elapsed time.Duration `cbor:"3,keyasint,omitempty"`
	// Old and New are by route.
	Old      map[string]RouteTally `cbor:"4,keyasint,omitempty"`
	New      map[string]RouteTally `cbor:"5,keyasint,omitempty"`
	Requests int                   `cbor:"6,keyasint,omitempty"`
	Exposed  int                   `cbor:"7,keyasint,omitempty"`
	// OldRunning is the number of requests that run on old targets.
	OldRunning int `cbor:"8,keyasint,omitempty"`
	// Share is the share in force at the host, and ConfirmedFor how long ago the lease holder confirmed it.
	Share        float64       `cbor:"9,keyasint,omitempty"`
	ConfirmedFor time.Duration `cbor:"10,keyasint,omitempty"`
	// Closing is true if the host sends no more requests to old targets.
	Closing bool `cbor:"11,keyasint,omitempty"`
}

// RolloutConfirmation is the answer of the lease holder to the counts of a host: the status in force.
type RolloutConfirmation struct {
	Service string `cbor:"1,keyasint"`
	To      string `cbor:"2,keyasint"`
	// Era and Revision are those of the status in the platform's store.
	Era      int64   `cbor:"3,keyasint,omitempty"`
	Revision int64   `cbor:"4,keyasint"`
	Share    float64 `cbor:"5,keyasint,omitempty"`
	// Reverted is true if the version is rejected, even if that isn't written yet.
	Reverted bool `cbor:"6,keyasint,omitempty"`
	// Age is how long the lease holder has been unable to write the status that it wants.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
	// Closing is true if no more requests must be sent to old targets, which stop as soon as all hosts have
	// confirmed that.
	Closing bool `cbor:"8,keyasint,omitempty"`
}

// ownCounts are the counts of this host since an order.
type ownCounts struct {
	old, new          map[string]roller.Tally
	requests, exposed int
}

// countReport is what a process of a host has sent last.
type countReport struct {
	RolloutCounts
	boot int64
	at   time.Time
}

// countSent counts a request that was just sent to t.
func (s *State) countSent(req *request, t *target) {
	req.version = t.Version
	r := s.rollouts[req.service]
	if r == nil || !r.isActive() {
		return
	}
	if req.sends == 1 {
		r.counts.requests++
	}
	if t.release == releaseNew {
		r.counts.exposed++
	}
}

// sentVersion returns the version for the log line of a request that was sent, if there is a rollout.
func (s *State) sentVersion(req *request) []any {
	if r := s.rollouts[req.service]; r == nil {
		return nil
	}
	return []any{"version", req.version}
}

// countAnswer counts the end of an attempt of req. What shows that no target has answered doesn't count.
func (s *State) countAnswer(req *request, failed bool) {
	r := s.rollouts[req.service]
	if r == nil || !r.isActive() || req.version == "" {
		return
	}
	tallies := &r.counts.old
	if req.version == r.To {
		tallies = &r.counts.new
	}
	if *tallies == nil {
		*tallies = map[string]roller.Tally{}
	}
	t := (*tallies)[req.route.Name]
	t.Answers++
	if failed {
		t.Failures++
	} else {
		took := s.now.Sub(req.sentAt)
		t.Time += took
		t.Squares += took.Seconds() * took.Seconds()
	}
	(*tallies)[req.route.Name] = t
}

// isBadAnswer reports whether a failed attempt shows a fault of the target's version. Unreachable targets, and
// those that refuse a request, have not run it.
func isBadAnswer(ev AttemptFailed) bool {
	switch ev.Reason {
	case FailureBroken, FailureSilent, FailureErrorResponse, FailureDeadline:
		return !ev.NotRun
	}
	return false
}

func (c *ownCounts) add(o ownCounts) {
	c.requests += o.requests
	c.exposed += o.exposed
	c.old, c.new = addTallies(c.old, o.old), addTallies(c.new, o.new)
}

func addTallies(sum, tallies map[string]roller.Tally) map[string]roller.Tally {
	if sum == nil {
		sum = make(map[string]roller.Tally, len(tallies))
	}
	for route, t := range tallies {
		have := sum[route]
		have.Answers += t.Answers
		have.Failures += t.Failures
		have.Time += t.Time
		have.Squares += t.Squares
		sum[route] = have
	}
	return sum
}

// encodeTallies returns tallies for a message.
func encodeTallies(tallies map[string]roller.Tally) map[string]RouteTally {
	out := make(map[string]RouteTally, len(tallies))
	for i, route := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[route]
		if i >= maxCountedRoutes {
			route = ""
		}
		have := out[route]
		out[route] = RouteTally{have.Answers + t.Answers, have.Failures + t.Failures, have.Time + t.Time, have.Squares + t.Squares}
	}
	return out
}

// counts returns what a host has sent, of maxCountedRoutes and one at most.
func (c *RolloutCounts) counts() ownCounts {
	decode := func(tallies map[string]RouteTally) map[string]roller.Tally {
		out := make(map[string]roller.Tally, len(tallies))
		for route, t := range tallies {
			if len(out) > maxCountedRoutes {
				break
			}
			out[route] = roller.Tally{Answers: t.Answers, Failures: t.Failures, Time: t.Time, Squares: t.Squares}
		}
		return out
	}
	return ownCounts{old: decode(c.Old), new: decode(c.New), requests: c.Requests, exposed: c.Exposed}
}

// oldRunning returns the number of requests of this host that run on old targets of r.
func (s *State) oldRunning(r *rolloutState) int {
	n := 0
	for _, req := range s.byNumber {
		if req.target != nil && req.service == r.Service && req.version != r.To {
			n++
		}
	}
	return n
}

// advanceRollouts lets the lease holder decide on the rollouts, and others send it their counts.
func (s *State) advanceRollouts() {
	if s.versionsGone && s.now.Sub(s.versionsCheckedAt) >= versionCheckInterval {
		s.versionsCheckedAt = s.now
		s.updateVersions()
	}
	if len(s.rollouts) == 0 {
		return
	}
	for _, r := range s.rollouts {
		s.noticeUnconfirmed(r)
	}
	if !s.holdsLease() {
		for _, r := range s.rollouts {
			r.wanted, r.writtenAt, r.writeAt, r.closingAt = roller.Status{}, time.Time{}, time.Time{}, time.Time{}
		}
		s.sendCounts()
		return
	}
	if s.now.Sub(s.rolloutsAdvancedAt) < rolloutInterval {
		return
	}
	s.rolloutsAdvancedAt = s.now
	for _, service := range slices.Sorted(maps.Keys(s.rollouts)) {
		if s.knowsService(service) {
			s.advanceRollout(s.rollouts[service])
		}
	}
}

// noticeUnconfirmed logs when this host begins or ends to use the old versions for lack of a confirmation.
func (s *State) noticeUnconfirmed(r *rolloutState) {
	now := r.isActive() && r.status.Share > 0 && s.isUnconfirmed(r)
	if now != r.unconfirmed {
		r.unconfirmed = now
		s.log("rollout confirmation", "", "service", r.Service, "to", r.To, "missing", now, "share", s.shareInForce(r))
	}
}

// sendCounts sends this host's counts to the lease holder if that is due.
func (s *State) sendCounts() {
	interval := rolloutInterval
	if s.isLarge() && !s.exceedsCanaryShare() {
		interval = rolloutIntervalInLargeFleet
	}
	h, ok := s.hosts[s.leaseHolderHost]
	if !ok || s.leaseHolderHost == s.cfg.Host || s.now.Sub(s.countsSentAt) < interval {
		return
	}
	s.countsSentAt = s.now
	var list []RolloutCounts
	for _, service := range slices.Sorted(maps.Keys(s.rollouts)) {
		if r := s.rollouts[service]; r.isActive() {
			list = append(list, RolloutCounts{
				Service: service, To: r.To, Elapsed: s.now.Sub(r.orderedAt), Old: encodeTallies(r.counts.old), New: encodeTallies(r.counts.new),
				Requests: r.counts.requests, Exposed: r.counts.exposed, OldRunning: s.oldRunning(r), Share: s.shareInForce(r), ConfirmedFor: s.confirmedFor(r), Closing: s.isClosing(r),
			})
		}
	}
	for some := range slices.Chunk(list, maxCountsPerMessage) {
		m := s.newMessage()
		m.LoadsUnchanged, m.RolloutCounts = true, some
		s.emit(SendMessage{To: []netip.AddrPort{h.Address}, Message: m})
	}
}

// exceedsCanaryShare reports whether a new version gets so many requests that late counts would be many.
func (s *State) exceedsCanaryShare() bool {
	for _, r := range s.rollouts {
		if r.isActive() && r.status.Share > s.cfg.Rollouts.CanaryShare {
			return true
		}
	}
	return false
}

// confirmedFor returns the time since the last confirmation, which is long if there was none.
func (s *State) confirmedFor(r *rolloutState) time.Duration {
	return min(s.now.Sub(r.confirmedAt), time.Hour)
}

// applyRolloutNews records the counts of a peer if this host holds the lease, and answers them. Otherwise it
// records what the lease holder confirms.
func (s *State) applyRolloutNews(m Message) {
	var confirmed []RolloutConfirmation
	for _, c := range m.RolloutCounts[:min(len(m.RolloutCounts), maxCountsPerMessage)] {
		r := s.rollouts[c.Service]
		if r == nil || r.To != c.To || !s.holdsLease() {
			continue
		}
		r.record(m.Host, &countReport{RolloutCounts: c, boot: m.Boot, at: s.now})
		r.orderedAt = earliest(r.orderedAt, s.now.Add(-c.Elapsed))
		confirmed = append(confirmed, s.confirm(r))
	}
	if h, ok := s.hosts[m.Host]; ok && len(confirmed) > 0 {
		reply := s.newMessage()
		reply.LoadsUnchanged, reply.RolloutConfirmations = true, confirmed
		s.emit(SendMessage{To: []netip.AddrPort{h.Address}, Message: reply})
	}
	if !s.messageAgesReliable(s.now) {
		return
	}
	for _, c := range m.RolloutConfirmations[:min(len(m.RolloutConfirmations), maxCountsPerMessage)] {
		if r := s.rollouts[c.Service]; r != nil && r.To == c.To && !s.now.Add(-c.Age).Before(r.confirmedAt) {
			r.confirmation, r.confirmedAt = c, s.now.Add(-c.Age)
		}
	}
}

// record replaces the counts of a host. Those of an earlier process, or from before the host lost the order,
// are kept too.
func (r *rolloutState) record(host string, report *countReport) {
	if before := r.reports[host]; before != nil && (before.boot != report.boot || report.Requests < before.Requests) {
		r.retained.add(before.counts())
	}
	if r.reports == nil {
		r.reports = map[string]*countReport{}
	}
	r.reports[host] = report
}
