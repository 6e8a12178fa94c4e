package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// orderWindow is how long after the start of a renewal its holder gives
	// orders. A successor first waits out the lease's term beyond it, so that no
	// two hosts give orders within one term.
	orderWindow = 500 * time.Millisecond
	// takeOverMargin covers the way of an order to its target.
	takeOverMargin = 200 * time.Millisecond
	// takeOverStep keeps hosts from taking a lease at the same moment.
	takeOverStep = 100 * time.Millisecond
	// renewIdle and renewBusy are the pauses between renewals without and with orders to give.
	renewIdle = time.Second
	renewBusy = 200 * time.Millisecond
	// leaseRetry is the pause after a failed call, leaseReread the pause between
	// reads while no peer tells of the holder.
	leaseRetry  = 300 * time.Millisecond
	leaseReread = 2 * time.Second
	// callPatience is how long a call for the lease or a report may take.
	callPatience = 1500 * time.Millisecond
	// reportPause is the pause between reports of an engine under order, and
	// reportLag how old a report may be.
	reportPause = 150 * time.Millisecond
	reportLag   = 350 * time.Millisecond
	// boundPause is the pause between looks at what an engine under order still runs,
	// and boundLongest how long requests that can't go on elsewhere are waited for:
	// longer than long prompts take under load. The order waits for the rest itself.
	boundPause   = 50 * time.Millisecond
	boundLongest = 2 * time.Second
	// maxReportFailures is when an engine that doesn't report makes room for others.
	maxReportFailures = 4
	// minWindow is the least number of engines that change their weights at once;
	// loads take longer from three on, by the deployments' sheets.
	minWindow = 2
	// The share of a service's engines that change their weights at once rises
	// with the time since the weights were named: at first it is what can load without
	// taking longer, by the deployments' sheets; older weights lose credit soon, and
	// must be out of use by the platform's bound.
	earlyShare, lateShare = 1.0 / 5, 1.0 / 2
	lateFrom, allFrom     = 3 * time.Second, 5 * time.Second
)

// Lease says which process gives orders.
type Lease struct {
	Revision int64  `json:"-"`
	Holder   string `json:"holder"`
	Boot     int64  `json:"boot"`
	// Renewal makes each write a change.
	Renewal int64 `json:"renewal"`
}

// ordering holds the lease of orders and the orders under way.
type ordering struct {
	lease Lease
	// leaseRead is true once the lease, or its absence, was seen; leaseSeen is when
	// its revision was first seen.
	leaseRead    bool
	leaseMissing bool
	leaseSeen    time.Time
	// leaseCall is when the running call began, or zero; leaseNext is when the next may begin.
	leaseCall  time.Time
	leaseNext  time.Time
	leaseAsked time.Time
	// renewed is when the last renewal that took effect began.
	renewed time.Time
	fence   int64
	jobs    map[string]*job
}

// job brings one engine to a version.
type job struct {
	model    string
	version  int
	begun    time.Time
	next     time.Time
	ordered  time.Time
	failures int
}

func newOrdering() ordering { return ordering{jobs: map[string]*job{}} }

// mine reports whether the lease names this process.
func (s *State) mine() bool {
	return s.leaseRead && s.lease.Holder == s.cfg.Host && s.lease.Boot == s.cfg.Boot
}

// holding reports whether this process may give orders now.
func (s *State) holding() bool {
	return s.mine() && !s.stopping && s.now.Sub(s.renewed) < orderWindow
}

// inOffice reports whether no other process can hold the lease yet.
func (s *State) inOffice() bool {
	return s.mine() && !s.stopping && s.now.Sub(s.renewed) < s.cfg.LeaseTerm
}

// rank is this host's place among the hosts that may take the lease.
func (s *State) rank() int {
	own := xxh3.HashString(s.cfg.Host)
	n := 0
	for host := range s.hosts {
		if p := s.heard[host]; p != nil && s.now.Sub(p.at) < peerTimeout && xxh3.HashString(host) < own {
			n++
		}
	}
	return n
}

// advanceLease renews the lease, takes it when its holder has been silent for
// long enough, or looks for its state.
func (s *State) advanceLease() {
	if s.stopping || s.now.Before(s.leaseNext) {
		return
	}
	if !s.leaseCall.IsZero() && s.now.Sub(s.leaseCall) < callPatience {
		return
	}
	step := time.Duration(s.rank()) * takeOverStep
	silent := s.now.Sub(s.leaseSeen)
	switch {
	case !s.leaseRead:
		s.readLease()
	case s.mine():
		if s.now.Sub(s.renewed) >= s.renewPause() {
			s.writeLease(s.lease.Revision)
		}
	case s.leaseMissing:
		if silent > step {
			s.writeLease(0)
		}
	case s.lease.Holder == s.cfg.Host || silent > s.cfg.LeaseTerm+orderWindow+takeOverMargin+step:
		s.writeLease(s.lease.Revision)
	case silent > leaseReread && s.now.Sub(s.leaseAsked) > leaseReread:
		s.readLease()
	}
}

func (s *State) renewPause() time.Duration {
	if len(s.jobs) > 0 || s.outdatedEngines() > 0 {
		return renewBusy
	}
	return renewIdle
}

func (s *State) readLease() {
	s.leaseCall, s.leaseAsked = s.now, s.now
	s.emit(ReadLease{})
}

func (s *State) writeLease(revision int64) {
	s.leaseCall = s.now
	s.emit(RenewLease{Revision: revision})
}

func (s *State) onLeaseSeen(ev LeaseSeen) {
	s.leaseCall = time.Time{}
	if ev.Err {
		s.leaseNext = s.now.Add(leaseRetry)
		s.leaseRead = false // A write without an answer may have taken effect.
		return
	}
	s.leaseRead = true
	s.leaseMissing = ev.Missing
	if ev.Missing {
		if s.lease.Revision != 0 || s.leaseSeen.IsZero() {
			s.lease, s.leaseSeen = Lease{}, s.now
		}
		return
	}
	if ev.Lease.Revision < s.lease.Revision {
		return
	}
	was := s.lease
	s.lease = ev.Lease
	if ev.Lease.Revision != was.Revision {
		s.leaseSeen = s.now
	}
	if !ev.Written {
		return
	}
	s.renewed = ev.Asked
	if was.Holder != s.cfg.Host || was.Boot != s.cfg.Boot || s.fence == 0 {
		s.fence = ev.Lease.Revision
		s.note("lease taken", "", "fence", s.fence, "before", was.Holder, "revision", was.Revision)
		s.findOutdated()
	}
}

// outdatedEngines counts the engines that don't have their named weights.
func (s *State) outdatedEngines() int {
	n := 0
	for _, t := range s.targets {
		if model, _ := s.lacking(t); model != "" {
			n++
		}
	}
	return n
}

// lacking returns a model whose named version t doesn't have, or "".
func (s *State) lacking(t *target) (string, int) {
	if t.service == nil || t.service.Engine == nil || t.Draining {
		return "", 0
	}
	for model, version := range t.Weights {
		if version < s.wanted[model] {
			return model, s.wanted[model]
		}
	}
	return "", 0
}

// advanceOrders starts and continues orders while this process holds the lease.
func (s *State) advanceOrders() {
	if !s.holding() {
		return
	}
	for id, j := range s.jobs {
		if t := s.targets[id]; t != nil {
			j.version = max(j.version, s.wanted[j.model])
			s.advanceJob(t, j)
		}
	}
	if s.outdatedEngines() > len(s.jobs) {
		s.startOrders()
	}
}

// startOrders begins with the engines that have the least to finish, and keeps
// others for the present load.
func (s *State) startOrders() {
	var waiting []*target
	engines := 0
	var since time.Duration
	for _, t := range s.targets {
		if t.service == nil || t.service.Engine == nil || t.Draining || t.down {
			continue
		}
		engines++
		if model, _ := s.lacking(t); model != "" {
			since = max(since, s.now.Sub(s.namedAt[model]))
			if s.jobs[t.ID] == nil {
				waiting = append(waiting, t)
			}
		}
	}
	window := orderWindowSize(engines, since)
	slices.SortFunc(waiting, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.own.Unread+a.others.Unread, b.own.Unread+b.others.Unread), cmp.Compare(a.own.Requests+a.others.Requests, b.own.Requests+b.others.Requests), cmp.Compare(a.ID, b.ID))
	})
	started := false
	for _, t := range waiting {
		if len(s.jobs) >= window {
			break
		}
		model, version := s.lacking(t)
		s.jobs[t.ID] = &job{model: model, version: version, begun: s.now}
		started = true
		s.note("order begun", "", "target", t.ID, "model", model, "version", version, "running", t.own.Requests+t.others.Requests, "window", window)
	}
	if started {
		s.tellAll()
		for id, j := range s.jobs {
			s.advanceJob(s.targets[id], j)
		}
	}
}

// orderWindowSize is how many of the engines change their weights at once.
func orderWindowSize(engines int, since time.Duration) int {
	switch {
	case since >= allFrom:
		return engines
	case since >= lateFrom:
		return max(minWindow, int(lateShare*float64(engines)))
	}
	return max(minWindow, int(earlyShare*float64(engines)))
}

func (s *State) advanceJob(t *target, j *job) {
	if t == nil || s.now.Before(j.next) {
		return
	}
	j.next = s.now.Add(callPatience)
	s.emit(ReadReport{Target: t.ID, Address: t.Address})
}

func (s *State) onReportSeen(ev ReportSeen) {
	t, j := s.targets[ev.Target], s.jobs[ev.Target]
	if t == nil {
		return
	}
	if ev.Err != nil {
		s.reportFailed(t, j, ev.Err)
		return
	}
	s.takeReport(t, ev.Report)
	if j == nil {
		return
	}
	j.failures = 0
	switch {
	case ev.Report.Weights[j.model] >= j.version:
		delete(s.jobs, t.ID)
		s.note("order done", "", "target", t.ID, "version", j.version, "since-named", s.now.Sub(s.namedAt[j.model]))
		s.tellAll()
	case ev.Report.Busy || s.now.Sub(j.ordered) < reportLag || !s.holding():
		j.next = s.now.Add(reportPause)
	case !s.mayBreakOff(t, j) && s.now.Sub(j.begun) < boundLongest:
		j.next = s.now.Add(boundPause)
	default:
		s.giveOrder(t, j, ev.Report.Orders)
	}
}

func (s *State) takeReport(t *target, report descriptor.Report) {
	if t.unsure {
		t.unsure = false
		t.Weights = report.Weights
	}
	for model, version := range report.Weights {
		s.learnWeights(t, model, version)
	}
}

func (s *State) reportFailed(t *target, j *job, err error) {
	s.note("report missing", "", "target", t.ID, "error", err.Error())
	if j == nil {
		s.markDown(t, "no report")
		return
	}
	j.failures++
	j.next = s.now.Add(reportPause)
	if j.failures >= maxReportFailures {
		delete(s.jobs, t.ID)
		s.markDown(t, "no report")
	}
}

// mayBreakOff reports whether all that t runs may go on elsewhere. It answers the
// load pattern in which long streams keep an engine from its new weights for seconds,
// during which it serves nobody else: those that may be resumed go on at other
// engines, the others are short and end first. All hosts must have told what they have
// there since they heard of the order.
func (s *State) mayBreakOff(t *target, j *job) bool {
	if t.own.Bound+t.others.Bound > 0 {
		return false
	}
	for host := range s.hosts {
		p := s.heard[host]
		if host != s.cfg.Host && p != nil && s.now.Sub(p.at) < peerTimeout && (!p.workAt.After(j.begun) || !slices.Contains(p.avoids, t.ID)) {
			return false
		}
	}
	return true
}

func (s *State) giveOrder(t *target, j *job, after int64) {
	j.ordered = s.now
	j.next = s.now.Add(callPatience)
	breakOff := s.mayBreakOff(t, j)
	s.note("order given", "", "target", t.ID, "model", j.model, "version", j.version, "fence", s.fence, "after", after, "bound", t.own.Bound+t.others.Bound, "break-off", breakOff, "since-begun", s.now.Sub(j.begun), "lease-age", s.now.Sub(s.renewed))
	s.emit(GiveOrder{
		Target: t.ID, Address: t.Address, Until: s.renewed.Add(orderWindow),
		Order: descriptor.Order{Model: j.model, Version: j.version, Holder: s.cfg.Host, Fence: s.fence, After: after, BreakOff: breakOff},
	})
}

func (s *State) onOrderAnswered(ev OrderAnswered) {
	j := s.jobs[ev.Target]
	if j == nil {
		return
	}
	if ev.Outcome != OrderAccepted {
		s.note("order not accepted", "", "target", ev.Target, "outcome", string(ev.Outcome), "detail", ev.Detail)
	}
	j.next = s.now.Add(reportPause)
}
