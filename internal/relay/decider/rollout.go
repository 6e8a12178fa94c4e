package decider

import (
	"cmp"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// orderPeriod is how long after the start of a renewal the lease holder may send orders. A
	// successor waits for this period plus the lease term, so that orders of two hosts are at
	// least one term apart.
	orderPeriod = 500 * time.Millisecond
	// takeoverMargin covers the transit of an order to its target.
	takeoverMargin = 200 * time.Millisecond
	// takeoverStagger keeps hosts from taking over a lease at the same moment.
	takeoverStagger = 100 * time.Millisecond
	// renewIntervalIdle and renewIntervalBusy are the intervals between renewals, without and
	// with weight updates to do.
	renewIntervalIdle = time.Second
	renewIntervalBusy = 200 * time.Millisecond
	// leaseRetryDelay is the delay after a failed call; leaseReadInterval is the interval
	// between reads of the lease while no peer announces that it holds it.
	leaseRetryDelay   = 300 * time.Millisecond
	leaseReadInterval = 2 * time.Second
	// leasePassOnInterval is the shortest interval at which an aggregator passes on a new revision of
	// the lease without other news.
	leasePassOnInterval = 500 * time.Millisecond
	// hostListTime is how long a host of a fleet that has just started waits for the list of hosts
	// before it reads the lease.
	hostListTime = 2 * time.Second
	// callTimeout is how long a call for the lease, a report or an order may take.
	callTimeout = 1500 * time.Millisecond
	// reportInterval is the interval between reports of an engine being updated, and
	// maxReportAge how old a report may be.
	reportInterval = 150 * time.Millisecond
	maxReportAge   = 350 * time.Millisecond
	// pinnedPollInterval is the interval between checks for pinned requests at an engine being
	// updated, and maxPinnedWait the longest wait for these, which exceeds the time of long
	// prompts under load. After that the order lets the rest finish first.
	pinnedPollInterval = 50 * time.Millisecond
	maxPinnedWait      = 2 * time.Second
	// maxReportFailures is the number of failed reports after which an engine's update is
	// abandoned in favour of others.
	maxReportFailures = 4
	// minConcurrentUpdates is the least number of engines updated at once; by the specified
	// load times of weights, loading takes longer from three engines on.
	minConcurrentUpdates = 2
	// The share of a service's engines updated at once grows with the time since the new
	// weights were named. At first it is as many as can load without slowing each other down,
	// by the specified load times of weights. Later it rises, as responses made on older weights
	// soon count for less under the service's objective, and older weights must be out of use by
	// the platform's deadline.
	earlyUpdateShare, lateUpdateShare = 1.0 / 5, 1.0 / 2
	lateUpdateAfter, updateAllAfter   = 3 * time.Second, 5 * time.Second
)

// Lease is the stored lease record. Its holder is the only process that orders weight updates.
type Lease struct {
	// Era and Revision are the store's at the record's last change. An era begins when the
	// store goes back to an earlier copy, after which it gives out some revisions again.
	Era      int64  `json:"-"`
	Revision int64  `json:"-"`
	Holder   string `json:"holder"`
	Boot     int64  `json:"boot"`
	// WriterEra is the era that the holder knew when it wrote the record. It differs from Era
	// if the record is from the copy to which the store went back, or from a write that was
	// meant for the state before that.
	WriterEra int64 `json:"era,omitempty"`
	// Renewal changes with each write, so that every renewal gets a new revision.
	Renewal int64 `json:"renewal"`
	// IdleFor is how long before this renewal the holder last gave orders. Unless it is 0, the
	// holder gives none until its next renewal.
	IdleFor time.Duration `json:"idle-for-ns,omitempty"`
}

// olderThan reports whether l is from before o. Revisions are only comparable within an era.
func (l Lease) olderThan(o Lease) bool {
	return cmp.Or(cmp.Compare(l.Era, o.Era), cmp.Compare(l.Revision, o.Revision)) < 0
}

// inherited reports whether the record wasn't written for the state that the store now has. It then
// doesn't show who gave orders last.
func (l Lease) inherited() bool { return l.WriterEra != l.Era }

// eraShift is the position of the era in a fencing token, above all revisions.
const eraShift = 40

// newFencingToken returns the fencing token of a holder that took the lease by writing l. Tokens
// increase with each takeover, also when revisions go back.
func (l Lease) newFencingToken() int64 { return l.Era<<eraShift | l.Revision }

// rollout holds the lease and the weight updates in progress.
type rollout struct {
	lease Lease
	// leaseKnown is true once the lease, or its absence, was read; leaseSeenAt is when the
	// current revision was first seen.
	leaseKnown   bool
	leaseMissing bool
	leaseSeenAt  time.Time
	// leaseCallAt is when the running call began, or zero; nextLeaseCallAt is the earliest time
	// for the next one.
	leaseCallAt     time.Time
	nextLeaseCallAt time.Time
	leaseReadAt     time.Time
	// renewedAt is when the last successful renewal began, and renewedIdleFor its IdleFor.
	renewedAt      time.Time
	renewedIdleFor time.Duration
	// idle is true from a renewal that says that no orders are given to the answer of the next
	// one that doesn't.
	idle bool
	// ordersUntil is the time by which all orders given so far were sent.
	ordersUntil  time.Time
	fencingToken int64
	updates      map[string]*weightUpdate
}

// weightUpdate is the update of one engine to a version of a model.
type weightUpdate struct {
	model       string
	version     int
	startedAt   time.Time
	nextCheckAt time.Time
	orderedAt   time.Time
	failures    int
}

func newRollout() rollout { return rollout{updates: map[string]*weightUpdate{}} }

// leaseNamesSelf reports whether the last known lease names this process.
func (s *State) leaseNamesSelf() bool {
	return s.leaseKnown && s.lease.Holder == s.cfg.Host && s.lease.Boot == s.cfg.Boot
}

// mayGiveOrders reports whether this process may send orders now.
func (s *State) mayGiveOrders() bool {
	return s.leaseNamesSelf() && !s.stopping && !s.idle && s.now.Sub(s.renewedAt) < orderPeriod
}

// holdsLease reports whether this process holds the lease and no other can have taken it yet.
func (s *State) holdsLease() bool {
	return s.leaseNamesSelf() && !s.stopping && s.now.Sub(s.renewedAt) < s.heldFor()
}

// takeoverRank is this host's rank among the hosts that may take over the lease.
func (s *State) takeoverRank() int { return s.roleRank("lease") }

// advanceLease renews the lease, takes it over when its holder has been silent for long enough,
// or reads it.
func (s *State) advanceLease() {
	if s.stopping || s.now.Before(s.nextLeaseCallAt) {
		return
	}
	if !s.leaseCallAt.IsZero() && s.now.Sub(s.leaseCallAt) < callTimeout {
		return
	}
	silence := s.now.Sub(s.leaseSeenAt)
	switch {
	case !s.leaseKnown:
		if !s.leaveLeaseToOthers() {
			s.readLease()
		}
	case s.leaseNamesSelf() && !s.lease.inherited():
		if s.now.Sub(s.renewedAt) >= s.renewInterval() {
			s.writeLease()
		}
	case silence >= s.takeoverDelay():
		s.writeLease()
	case silence > s.leaseReadAfter() && s.now.Sub(s.leaseReadAt) > s.leaseReadAfter():
		s.readLease()
	}
}

// leaseReadAfter returns after which silence of the holder this host reads the lease. In large
// fleets, hosts that would be late to take it over leave that to others.
func (s *State) leaseReadAfter() time.Duration {
	if !s.isLarge() {
		return leaseReadInterval
	}
	return leaseReadInterval + time.Duration(s.takeoverRank())*takeoverStagger
}

// leaveLeaseToOthers reports whether this host, which hasn't read the lease yet, relies on the others
// to announce it.
func (s *State) leaveLeaseToOthers() bool {
	if s.cfg.FirstStart && len(s.hosts) == 0 {
		return s.now.Sub(s.startedAt) < hostListTime
	}
	return s.isLarge() && s.leaseReadAt.IsZero() && s.now.Sub(latest(s.startedAt, s.leaseSeenAt)) < s.leaseReadAfter()
}

// takeoverDelay returns how long this host must have known the current lease before it takes it.
// The delay ensures that any earlier holder gave its last order more than a lease term ago.
func (s *State) takeoverDelay() time.Duration {
	stagger := time.Duration(s.takeoverRank()) * takeoverStagger
	switch {
	case s.lease.inherited() && s.now.Sub(s.renewedAt) < s.heldFor():
		return 0 // No other host can have taken the lease since this one renewed it.
	case s.lease.inherited():
	case s.leaseMissing:
		return stagger
	case s.lease.Holder == s.cfg.Host:
		return 0
	default:
		return s.takeoverAfter(s.lease.IdleFor) + stagger
	}
	return s.takeoverAfter(0) + stagger
}

// takeoverAfter returns how long after a renewal other hosts may take the lease. A holder that
// gave no orders for a while may be replaced as soon as it seems silent.
func (s *State) takeoverAfter(idleFor time.Duration) time.Duration {
	return max(leaseReadInterval, s.cfg.LeaseTerm+orderPeriod+takeoverMargin-idleFor)
}

// heldFor returns how long after its last renewal this host surely holds the lease.
func (s *State) heldFor() time.Duration {
	return min(s.cfg.LeaseTerm, s.takeoverAfter(s.renewedIdleFor))
}

func (s *State) renewInterval() time.Duration {
	switch {
	case !s.hasUpdates():
		return renewIntervalIdle
	case s.idle:
		return 0
	}
	return renewIntervalBusy
}

// hasUpdates reports whether there are engines to update.
func (s *State) hasUpdates() bool { return len(s.updates) > 0 || s.countOutdatedEngines() > 0 }

func (s *State) readLease() {
	s.leaseCallAt, s.leaseReadAt = s.now, s.now
	s.emit(ReadLease{})
}

func (s *State) writeLease() {
	s.leaseCallAt = s.now
	out := RenewLease{Era: s.lease.Era, Revision: s.lease.Revision}
	if s.leaseNamesSelf() && !s.lease.inherited() && !s.hasUpdates() {
		out.IdleFor = max(0, s.now.Sub(s.ordersUntil))
	}
	s.idle = s.idle || out.IdleFor > 0
	s.emit(out)
}

func (s *State) onLeaseAnswered(ev LeaseAnswered) {
	s.leaseCallAt = time.Time{}
	if ev.Err {
		s.nextLeaseCallAt = s.now.Add(leaseRetryDelay)
		s.leaseKnown = false // The write may have succeeded although the call failed.
		return
	}
	s.leaseKnown = true
	if ev.Missing {
		s.setMissingLease(ev.Lease.Era)
		return
	}
	if ev.Lease.olderThan(s.lease) {
		return
	}
	previous := s.lease
	s.setLease(ev.Lease)
	if !ev.Written || ev.Lease.inherited() {
		return
	}
	s.renewedAt = ev.CalledAt
	s.renewedIdleFor = ev.Lease.IdleFor
	s.idle = ev.Lease.IdleFor > 0
	s.markRevision(revisionMark{era: ev.Lease.Era, revision: ev.Lease.Revision, asOf: ev.CalledAt})
	if s.fencingToken == 0 {
		s.fencingToken = ev.Lease.newFencingToken()
		s.ordersUntil = ev.CalledAt // Those of an earlier process of this host were sent before.
		s.log("lease taken", "", "fence", s.fencingToken, "before", previous.Holder, "revision", previous.Revision, "era", ev.Lease.Era)
		s.listStores()
	}
}

// setMissingLease records that there was no lease in an era.
func (s *State) setMissingLease(era int64) {
	if era < s.lease.Era {
		return
	}
	if s.lease.Revision != 0 || s.lease.Era != era || s.leaseSeenAt.IsZero() {
		s.setLease(Lease{Era: era})
		s.leaseSeenAt = s.now
	}
	s.leaseMissing = true
}

// setLease records the newest known lease. A host that loses the lease also loses its fencing
// token, as others may have used higher ones when it takes the lease again. The same holds if a
// copy of the store names the host and others may have had the lease in between.
func (s *State) setLease(lease Lease) {
	first := s.leaseSeenAt.IsZero()
	if first || s.lease.olderThan(lease) {
		s.leaseSeenAt = s.now
		if s.now.Sub(s.lastBroadcastAt) >= leasePassOnInterval {
			s.passOn()
		}
	}
	if !first && lease.Era != s.lease.Era {
		s.log("store went back to a copy", "", "era", lease.Era, "before", s.lease.Era, "lease", lease.Holder, "revision", lease.Revision, "since-renewed", s.now.Sub(s.renewedAt))
	}
	s.lease, s.leaseMissing = lease, false
	if !s.leaseNamesSelf() || lease.inherited() && s.now.Sub(s.renewedAt) >= s.heldFor() {
		s.fencingToken = 0
	}
}

// countOutdatedEngines counts the engines without the named weights.
func (s *State) countOutdatedEngines() int {
	n := 0
	for _, t := range s.targets {
		if model, _ := s.outdatedModel(t); model != "" {
			n++
		}
	}
	return n
}

// outdatedModel returns a model of which t lacks the named version, and that version, or "".
func (s *State) outdatedModel(t *target) (string, int) {
	if t.service == nil || t.service.Engine == nil || t.Draining {
		return "", 0
	}
	for model, version := range t.Weights {
		if version < s.desiredWeights[model] {
			return model, s.desiredWeights[model]
		}
	}
	return "", 0
}

// advanceUpdates continues weight updates and starts new ones while this process may send
// orders.
func (s *State) advanceUpdates() {
	if !s.mayGiveOrders() {
		return
	}
	for id, u := range s.updates {
		if t := s.targets[id]; t != nil {
			u.version = max(u.version, s.desiredWeights[u.model])
			s.requestReport(t, u)
		}
	}
	if s.countOutdatedEngines() > len(s.updates) {
		s.startUpdates()
	}
}

// startUpdates starts updating the engines with the least load, up to the current limit. The
// others keep serving.
func (s *State) startUpdates() {
	var waiting []*target
	engines := 0
	var elapsed time.Duration
	for _, t := range s.targets {
		if t.service == nil || t.service.Engine == nil || t.Draining || t.down {
			continue
		}
		engines++
		if model, _ := s.outdatedModel(t); model != "" {
			elapsed = max(elapsed, s.sinceNamed(model, s.desiredWeights[model]))
			if s.updates[t.ID] == nil {
				waiting = append(waiting, t)
			}
		}
	}
	limit := maxConcurrentUpdates(engines, elapsed)
	slices.SortFunc(waiting, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.ownLoad.PrefillTokens+a.peerLoad.PrefillTokens, b.ownLoad.PrefillTokens+b.peerLoad.PrefillTokens), cmp.Compare(a.ownLoad.Requests+a.peerLoad.Requests, b.ownLoad.Requests+b.peerLoad.Requests), cmp.Compare(a.ID, b.ID))
	})
	started := false
	for _, t := range waiting {
		model, version := s.outdatedModel(t)
		if len(s.updates) >= limit && !s.outOfUse(t, model) {
			continue
		}
		s.updates[t.ID] = &weightUpdate{model: model, version: version, startedAt: s.now}
		started = true
		s.log("order begun", "", "target", t.ID, "model", model, "version", version, "running", t.ownLoad.Requests+t.peerLoad.Requests, "window", limit)
	}
	if started {
		s.broadcast()
		for id, u := range s.updates {
			s.requestReport(s.targets[id], u)
		}
	}
}

// outOfUse reports whether t serves no requests because its weights have expired, so that updating
// it costs no capacity.
func (s *State) outOfUse(t *target, model string) bool {
	if !s.weightsExpired(t, model) {
		return false
	}
	return !s.replacement(t, model).notBefore.IsZero() || s.sinceNamed(model, s.desiredWeights[model]) > namingExchangeTime
}

// maxConcurrentUpdates returns how many of the engines may be updated at once when the given time
// has elapsed since the new weights were named.
func maxConcurrentUpdates(engines int, elapsed time.Duration) int {
	switch {
	case elapsed >= updateAllAfter:
		return engines
	case elapsed >= lateUpdateAfter:
		return max(minConcurrentUpdates, int(lateUpdateShare*float64(engines)))
	}
	return max(minConcurrentUpdates, int(earlyUpdateShare*float64(engines)))
}

// requestReport requests a report from t if the next check of its update is due.
func (s *State) requestReport(t *target, u *weightUpdate) {
	if t == nil || s.now.Before(u.nextCheckAt) {
		return
	}
	u.nextCheckAt = s.now.Add(callTimeout)
	s.emit(ReadReport{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address})
}

func (s *State) onReportAnswered(ev ReportAnswered) {
	t, u := s.targets[ev.Target], s.updates[ev.Target]
	if t == nil {
		return
	}
	if ev.Err != nil {
		s.onReportFailed(t, u, ev.Err)
		return
	}
	s.applyReport(t, ev.Report)
	if u == nil {
		return
	}
	u.failures = 0
	switch {
	case ev.Report.Weights[u.model] >= u.version:
		delete(s.updates, t.ID)
		s.log("order done", "", "target", t.ID, "version", u.version, "since-named", s.sinceNamed(u.model, u.version))
		s.broadcast()
	case ev.Report.Busy || s.now.Sub(u.orderedAt) < maxReportAge || !s.mayGiveOrders():
		u.nextCheckAt = s.now.Add(reportInterval)
	case !s.canAbortRunning(t, u) && s.now.Sub(u.startedAt) < maxPinnedWait:
		u.nextCheckAt = s.now.Add(pinnedPollInterval)
	default:
		s.giveOrder(t, u, ev.Report.Orders)
	}
}

func (s *State) applyReport(t *target, report descriptor.Report) {
	if t.weightsUnknown {
		t.weightsUnknown = false
		t.Weights = report.Weights
	}
	for model, version := range report.Weights {
		s.observeWeights(t, model, version)
	}
}

func (s *State) onReportFailed(t *target, u *weightUpdate, err error) {
	s.log("report missing", "", "target", t.ID, "error", err.Error())
	if u == nil {
		s.markDown(t, "no report")
		return
	}
	u.failures++
	u.nextCheckAt = s.now.Add(reportInterval)
	if u.failures >= maxReportFailures {
		delete(s.updates, t.ID)
		s.markDown(t, "no report")
	}
}

// canAbortRunning reports whether all requests at t could resume at another engine if the order
// aborted them. Waiting for long streams would keep the engine from its new weights, and from
// serving new requests, for seconds. Resumable streams can move to other engines instead, and the
// remaining requests are short. All other hosts must have sent their loads since they learned of
// the update.
func (s *State) canAbortRunning(t *target, u *weightUpdate) bool {
	if s.pinnedAt(t) > 0 {
		return false
	}
	for host := range s.hosts {
		p := s.peerByHost[host]
		if host != s.cfg.Host && p != nil && s.now.Sub(p.lastSeenAt) < peerTimeout && (!p.loadsAt.After(u.startedAt) || !slices.Contains(p.avoided, t.ID)) {
			return false
		}
	}
	return true
}

func (s *State) giveOrder(t *target, u *weightUpdate, acceptedOrders int64) {
	u.orderedAt = s.now
	u.nextCheckAt = s.now.Add(callTimeout)
	abortRunning := s.canAbortRunning(t, u)
	s.log("order given", "", "target", t.ID, "model", u.model, "version", u.version, "fence", s.fencingToken, "after", acceptedOrders, "bound", s.pinnedAt(t), "break-off", abortRunning, "since-begun", s.now.Sub(u.startedAt), "lease-age", s.now.Sub(s.renewedAt))
	s.ordersUntil = s.renewedAt.Add(orderPeriod)
	s.emit(GiveOrder{
		Target: t.ID, StartedAt: t.StartedAt, Address: t.Address, Until: s.ordersUntil,
		Order: descriptor.Order{Model: u.model, Version: u.version, Holder: s.cfg.Host, FencingToken: s.fencingToken, AcceptedBefore: acceptedOrders, AbortRunning: abortRunning},
	})
}

func (s *State) onOrderAnswered(ev OrderAnswered) {
	u := s.updates[ev.Target]
	if u == nil {
		return
	}
	if ev.Outcome != OrderAccepted {
		s.log("order not accepted", "", "target", ev.Target, "outcome", string(ev.Outcome), "detail", ev.Detail)
	}
	u.nextCheckAt = s.now.Add(reportInterval)
}
