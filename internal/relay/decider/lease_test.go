package decider

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// leaseStep is the time between two ticks of a leaseTrial.
const leaseStep = 50 * time.Millisecond

// leaseRecord is the lease object of the platform's store; the zero value means that it is missing.
type leaseRecord struct {
	lease    Lease
	revision int64
}

// delayed is something that happens at a later time.
type delayed struct {
	at time.Time
	do func()
}

type delayQueue []delayed

func (q delayQueue) Len() int           { return len(q) }
func (q delayQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q delayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *delayQueue) Push(x any)        { *q = append(*q, x.(delayed)) }
func (q *delayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// leaseTrial lets hosts compete for the lease while they are suspended and restarted, calls to
// the store are delayed and lost, and the store goes back to earlier copies.
type leaseTrial struct {
	t     *testing.T
	rng   *rand.Rand
	clock time.Time
	queue delayQueue
	hosts []*leaseHost
	// copies are the records of the last seconds, one for each step.
	copies []leaseRecord
	record leaseRecord
	era    int64
	// version is the named version of the weights, and updated is true if the engine has it.
	version int
	updated bool
	// lastOrder is the last moment at which a host could give an order, with its host and token.
	lastOrder      time.Time
	lastOrderHost  string
	lastOrderToken int64
}

type leaseHost struct {
	*host
	suspendedUntil time.Time
	backlog        []func()
	lastOrderAt    time.Time
}

func newLeaseTrial(t *testing.T, seed uint64, hosts int) *leaseTrial {
	l := &leaseTrial{t: t, rng: rand.New(rand.NewPCG(seed, 1)), clock: time.Unix(1000, 0), version: 2}
	for i := range hosts {
		l.hosts = append(l.hosts, &leaseHost{})
		l.start(i, 1)
	}
	return l
}

// start starts a process of a host, which replaces any earlier one.
func (l *leaseTrial) start(i int, boot int64) {
	h := newHost(l.t, fmt.Sprint("host-", i), 1, 0)
	h.clock, h.cfg.Boot = l.clock, boot
	hosts := map[string]descriptor.Host{}
	for n := range l.hosts {
		hosts[fmt.Sprint("host-", n)] = descriptor.Host{Address: address(n), DataCentre: "a"}
	}
	h.handle(HostsListed{Hosts: hosts})
	l.applyWeights(h)
	*l.hosts[i] = leaseHost{host: h}
}

// applyWeights lets a host learn of the named version and of that of the engine.
func (l *leaseTrial) applyWeights(h *host) {
	h.nameWeights(l.version)
	if l.updated {
		h.observeWeights(h.targets["engine-1"], model, l.version)
	}
}

func (l *leaseTrial) after(d time.Duration, do func()) {
	heap.Push(&l.queue, delayed{l.clock.Add(d), do})
}

// deliver lets a host handle an event, once it is no longer suspended.
func (l *leaseTrial) deliver(h *leaseHost, process *host, ev Event) {
	handle := func() {
		if h.host != process {
			return // The process has ended.
		}
		h.clock = l.clock
		l.execute(h, h.handle(ev))
	}
	if l.clock.Before(h.suspendedUntil) {
		h.backlog = append(h.backlog, handle)
		return
	}
	handle()
}

func (l *leaseTrial) execute(h *leaseHost, effects []Effect) {
	process, sentAt := h.host, l.clock
	for _, e := range effects {
		switch e := e.(type) {
		case ReadLease:
			l.after(l.delay(), func() {
				answer := LeaseAnswered{Lease: l.record.lease, CalledAt: sentAt, Missing: l.record.lease.Revision == 0}
				answer.Lease.Era = l.era
				l.after(l.delay(), func() { l.deliver(h, process, answer) })
			})
		case RenewLease:
			l.renew(h, e)
		case SendMessage:
			for i := range l.hosts {
				if to := l.hosts[i]; to != h && l.rng.IntN(4) > 0 {
					l.after(l.delay(), func() { l.deliver(to, to.host, MessageReceived{Message: e.Message}) })
				}
			}
		}
	}
}

// renew carries out a write of the lease. Sometimes its answer is lost, and the write takes effect
// seconds later.
func (l *leaseTrial) renew(h *leaseHost, e RenewLease) {
	process, sentAt := h.host, l.clock
	lost := l.rng.IntN(20) == 0
	delay := l.delay()
	if lost {
		delay += time.Duration(l.rng.IntN(4000)) * time.Millisecond
		l.after(callTimeout, func() {
			l.deliver(h, process, LeaseAnswered{CalledAt: sentAt, Written: true, Err: true})
		})
	}
	spec := Lease{Holder: process.cfg.Host, Boot: process.cfg.Boot, WriterEra: e.Era, IdleFor: e.IdleFor}
	l.after(delay, func() {
		answer := LeaseAnswered{CalledAt: sentAt, Written: true}
		if e.Revision != l.record.lease.Revision {
			answer.Err = true
		} else {
			l.record.revision++
			spec.Revision = l.record.revision
			l.record.lease = spec
			answer.Lease = spec
			answer.Lease.Era = l.era
		}
		if !lost {
			l.after(l.delay(), func() { l.deliver(h, process, answer) })
		}
	})
}

func (l *leaseTrial) delay() time.Duration {
	return time.Duration(1+l.rng.IntN(150)) * time.Millisecond
}

// goBack lets the store come back from a copy of the given age.
func (l *leaseTrial) goBack(age time.Duration) {
	if len(l.copies) == 0 {
		return
	}
	l.era++
	at := max(0, len(l.copies)-1-int(age/leaseStep))
	l.record, l.copies = l.copies[at], l.copies[:at+1]
}

// step lets a step of time pass and checks the orders that hosts may give in it.
func (l *leaseTrial) step() {
	end := l.clock.Add(leaseStep)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		next := heap.Pop(&l.queue).(delayed)
		l.clock = next.at
		next.do()
		l.checkOrders()
	}
	l.clock = end
	for _, h := range l.hosts {
		if l.clock.Before(h.suspendedUntil) {
			continue
		}
		backlog := h.backlog
		h.backlog = nil
		for _, handle := range backlog {
			handle()
		}
		l.deliver(h, h.host, Tick{})
	}
	l.checkOrders()
	l.copies = append(l.copies, l.record)
}

// checkOrders fails the test if two hosts may give orders within one lease term, if a fencing
// token is lower than an earlier one, or if two hosts have the same.
func (l *leaseTrial) checkOrders() {
	for _, h := range l.hosts {
		if l.clock.Before(h.suspendedUntil) {
			continue
		}
		h.now = l.clock
		if !h.mayGiveOrders() {
			continue
		}
		h.ordersUntil = h.renewedAt.Add(orderPeriod)
		name, token := h.cfg.Host, h.fencingToken
		if !l.lastOrder.IsZero() && name != l.lastOrderHost {
			gap := l.clock.Sub(l.lastOrder)
			assert.Assert(l.t, gap > leaseTerm, "%s may give orders %v after %s, at %v in era %d", name, gap, l.lastOrderHost, l.clock.Sub(time.Unix(1000, 0)), l.era)
			assert.Assert(l.t, token != l.lastOrderToken, "%s and %s have the fencing token %d", name, l.lastOrderHost, token)
		}
		assert.Assert(l.t, token >= l.lastOrderToken, "the fencing token %d of %s is lower than %d of %s before", token, name, l.lastOrderToken, l.lastOrderHost)
		l.lastOrder, l.lastOrderHost, l.lastOrderToken, h.lastOrderAt = l.clock, name, token, l.clock
	}
}

func (l *leaseTrial) run(d time.Duration) {
	for range d / leaseStep {
		l.step()
	}
}

// disturb suspends or restarts a host, names new weights, or lets the engine load them, at random.
func (l *leaseTrial) disturb() {
	if l.rng.IntN(60) == 0 {
		if l.updated {
			l.version++
		}
		l.updated = !l.updated
		for _, h := range l.hosts {
			l.applyWeights(h.host)
		}
	}
	i := l.rng.IntN(len(l.hosts))
	switch h := l.hosts[i]; l.rng.IntN(60) {
	case 0:
		h.suspendedUntil = l.clock.Add(time.Duration(l.rng.IntN(8000)) * time.Millisecond)
	case 1:
		l.start(i, h.cfg.Boot+1)
	}
}

// TestOrdersOfTwoHostsAreATermApart guards against orders of two hosts within one lease term, and
// against fencing tokens that go down, whatever happens to hosts, calls and store.
func TestOrdersOfTwoHostsAreATermApart(t *testing.T) {
	for _, storeGoesBack := range []bool{false, true} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprintf("store-goes-back=%v/seed=%d", storeGoesBack, seed), func(t *testing.T) {
				l := newLeaseTrial(t, seed, 3)
				for range 2 * time.Minute / leaseStep {
					l.disturb()
					if storeGoesBack && l.rng.IntN(150) == 0 {
						l.goBack(time.Duration(l.rng.IntN(8000)) * time.Millisecond)
					}
					l.step()
				}
			})
		}
	}
}

// TestLeaseIsHeldAgainAfterStoreWentBack guards against a lease that nobody can renew or take
// until the store's revisions have caught up with those of before.
func TestLeaseIsHeldAgainAfterStoreWentBack(t *testing.T) {
	l := newLeaseTrial(t, 1, 2)
	l.run(40 * time.Second)
	l.goBack(30 * time.Second)
	wentBack := l.clock
	l.run(6 * time.Second)
	assert.Assert(t, l.lastOrder.After(wentBack.Add(time.Second)), "no host may give orders for %v after the store went back", l.clock.Sub(l.lastOrder))
}

// TestHolderOrdersOnAfterStoreWentBack guards against a pause of a whole term in the orders of a
// holder that can't have been replaced.
func TestHolderOrdersOnAfterStoreWentBack(t *testing.T) {
	for _, age := range []time.Duration{0, 3 * time.Second, 30 * time.Second} {
		l := newLeaseTrial(t, 3, 2)
		l.run(20 * time.Second)
		holder := l.lastOrderHost
		l.goBack(age)
		for range 2 * time.Second / leaseStep {
			l.step()
		}
		assert.Equal(t, l.lastOrderHost, holder)
		assert.Assert(t, l.clock.Sub(l.lastOrder) < time.Second, "no host may give orders for %v after the store went back by %v", l.clock.Sub(l.lastOrder), age)
	}
}

// TestRestartedHolderWaitsAfterStoreWentBack guards against a new process of a host that relies on
// a record of the copy, although another host may have given orders since.
func TestRestartedHolderWaitsAfterStoreWentBack(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.handle(Tick{})
	h.handle(LeaseAnswered{Lease: Lease{Era: 1, Revision: 90, Holder: "a", Boot: 0}, CalledAt: h.clock})
	waits := leaseTerm + orderPeriod + takeoverMargin
	for range (waits - leaseStep) / leaseStep {
		h.advance(leaseStep)
		assert.Equal(t, len(effectsOf[RenewLease](h.handle(Tick{}))), 0, "the lease is taken %v after it was first read", h.clock.Sub(h.leaseSeenAt))
		h.handle(LeaseAnswered{Lease: Lease{Era: 1, Revision: 90, Holder: "a", Boot: 0}, CalledAt: h.clock})
	}
	h.advance(leaseStep)
	assert.DeepEqual(t, effectsOf[RenewLease](h.handle(Tick{})), []RenewLease{{Era: 1, Revision: 90}})
}

// TestFencingTokensOfFirstEra guards against tokens that a relay of the previous build, which knows
// no eras, would not exceed.
func TestFencingTokensOfFirstEra(t *testing.T) {
	assert.Equal(t, Lease{Revision: 41}.newFencingToken(), int64(41))
	assert.Assert(t, Lease{Era: 1, Revision: 1}.newFencingToken() > Lease{Revision: 1 << 30}.newFencingToken())
}
