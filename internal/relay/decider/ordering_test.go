package decider

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// platform is a lease object with revisions.
type platform struct {
	lease    Lease
	revision int64
}

// settle carries out the calls for the lease among effects and returns the other effects.
func (p *platform) settle(h *host, effects []Effect) []Effect {
	var rest []Effect
	for _, e := range effects {
		switch e := e.(type) {
		case ReadLease:
			rest = append(rest, p.settle(h, h.do(LeaseSeen{Lease: p.lease, Asked: h.at, Missing: p.revision == 0}))...)
		case RenewLease:
			if e.Revision != p.lease.Revision {
				rest = append(rest, p.settle(h, h.do(LeaseSeen{Asked: h.at, Written: true, Err: true}))...)
				continue
			}
			p.revision++
			p.lease = Lease{Revision: p.revision, Holder: h.cfg.Host, Boot: h.cfg.Boot}
			rest = append(rest, p.settle(h, h.do(LeaseSeen{Lease: p.lease, Asked: h.at, Written: true}))...)
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

// run lets hosts tick for d, and returns the orders with the host and time of each.
func (p *platform) run(d time.Duration, hosts ...*host) []givenOrder {
	var given []givenOrder
	for end := hosts[0].at.Add(d); hosts[0].at.Before(end); {
		for _, h := range hosts {
			h.pass(50 * time.Millisecond)
			for _, order := range all[GiveOrder](p.settle(h, h.do(Tick{}))) {
				given = append(given, givenOrder{h.cfg.Host, h.at, order})
			}
		}
	}
	return given
}

type givenOrder struct {
	host string
	at   time.Time
	GiveOrder
}

// TestLeaseOfAnotherIsNotRenewed: a host that hears of a newer revision from a
// peer must not take itself for the holder, and a former holder gets a new fence.
func TestLeaseOfAnotherIsNotRenewed(t *testing.T) {
	p := &platform{}
	a, b := newHost(t, "a", 4, 0), newHost(t, "b", 4, 0)
	p.run(time.Second, a)
	assert.Assert(t, a.inOffice())
	first := a.fence
	b.at = a.at
	p.run(6*time.Second, b)
	assert.Assert(t, b.inOffice(), "the silent holder was not replaced")
	a.at = b.at
	a.do(PeerSaid{Message: b.message()})
	assert.Assert(t, !a.mine())
	a.do(Tick{})
	assert.Equal(t, len(all[RenewLease](a.do(Tick{}))), 0, "the lease of another host was renewed")
	b.stopping = true
	p.run(8*time.Second, a)
	assert.Assert(t, a.inOffice())
	assert.Assert(t, a.fence > b.fence && b.fence > first, "fences %d, %d, %d must rise", first, b.fence, a.fence)
}

// TestOrdersOfTwoHoldersStayApart kills the holder just after it gave an order: no
// order of its successor follows within the lease's term, and all come in time.
func TestOrdersOfTwoHoldersStayApart(t *testing.T) {
	for _, offset := range []time.Duration{0, 70, 180, 310, 420} {
		p := &platform{}
		a, b := newHost(t, "a", 12, 0), newHost(t, "b", 12, 0)
		p.run(time.Second+offset*time.Millisecond, a)
		b.at = a.at
		b.do(PeerSaid{Message: a.message()})
		for _, h := range []*host{a, b} {
			h.do(WeightsNamed{Model: model, Version: 2})
		}
		last := a.at
		for range 3 {
			for _, r := range all[ReadReport](p.settle(a, a.do(Tick{}))) {
				for range all[GiveOrder](a.do(ReportSeen{Target: r.Target})) {
					last = a.at
				}
			}
			a.pass(50 * time.Millisecond)
		}
		assert.Equal(t, len(a.jobs), minWindow)
		b.at = a.at
		b.do(PeerSaid{Message: a.message()})
		var first time.Time
		for first.IsZero() && b.at.Sub(last) < 6*time.Second {
			b.pass(50 * time.Millisecond)
			for _, r := range all[ReadReport](p.settle(b, b.do(Tick{}))) {
				if len(all[GiveOrder](b.do(ReportSeen{Target: r.Target}))) > 0 && first.IsZero() {
					first = b.at
				}
			}
		}
		assert.Assert(t, first.Sub(last) > leaseT, "the successor ordered after %v", first.Sub(last))
		assert.Assert(t, first.Sub(last) < leaseT+1200*time.Millisecond, "the successor ordered after %v", first.Sub(last))
	}
}

// TestOutdatedEnginesEndInTime: a request never goes to an engine that could begin
// it on old weights after the platform's bound.
func TestOutdatedEnginesEndInTime(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.do(WeightsNamed{Model: model, Version: 2})
	h.pass(6 * time.Second)
	_, effect := h.ask("/short/", key, shortPrompt("s"))
	_, sent := effect.(Send)
	assert.Assert(t, sent)
	h.pass(1500 * time.Millisecond)
	_, effect = h.ask("/short/", key, shortPrompt("s"))
	refused, ok := effect.(Refuse)
	assert.Assert(t, ok && refused.NotRun)
	h.do(ReportSeen{Target: "engine-1", Report: reportOf(2)})
	_, effect = h.ask("/short/", key, shortPrompt("s"))
	assert.Equal(t, effect.(Send).Target, "engine-1")
	assert.Equal(t, effect.(Send).Weights, 2)
}

// holder returns a host in office whose engines lack the named weights.
func holder(t *testing.T, engines int) *host {
	h := newHost(t, "a", engines, 0)
	h.do(HostsListed{Hosts: map[string]descriptor.Host{"a": {Address: address(1), DataCentre: "a"}, "b": {Address: address(2), DataCentre: "a"}}})
	h.do(LeaseSeen{Missing: true, Asked: h.at})
	h.do(LeaseSeen{Lease: Lease{Revision: 2, Holder: "a", Boot: 1}, Written: true, Asked: h.at})
	return h
}

// orders lets time pass, answers reports, and returns the orders that are given. The
// peer b tells its work all the while.
func (h *host) orders(d time.Duration, peer map[string]work) []GiveOrder {
	var given []GiveOrder
	const every = 50 * time.Millisecond
	for ; d > 0; d -= every {
		h.pass(every)
		h.num++
		h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: uint64(h.num), Work: peer, Avoids: slices.Collect(maps.Keys(h.jobs))}})
		h.do(LeaseSeen{Lease: Lease{Revision: h.lease.Revision + 1, Holder: "a", Boot: 1}, Written: true, Asked: h.at})
		for _, read := range all[ReadReport](h.do(Tick{})) {
			effects := h.do(ReportSeen{Target: read.Target, Report: reportOf(1)})
			given = append(given, all[GiveOrder](effects)...)
		}
	}
	return given
}

// TestOrderBreaksOffWhatMayGoOnElsewhere replays new weights under long streams: the
// order comes as soon as no request is left that couldn't go on at another engine, and
// breaks the others off, which do.
func TestOrderBreaksOffWhatMayGoOnElsewhere(t *testing.T) {
	h := holder(t, 2)
	moving, effect := h.ask("/short/", key, shortPrompt("s"))
	from := effect.(Send).Target
	h.do(AnswerBegan{Number: moving, Weights: 1})
	var bound int64
	for {
		n, effect := h.ask("/long/", key, longPrompt("s"))
		if effect.(Send).Target == from {
			bound = n
			break
		}
	}
	for id := range h.targets {
		if id != from {
			h.do(ReportSeen{Target: id, Report: reportOf(2)})
		}
	}
	h.do(WeightsNamed{Model: model, Version: 2})
	to := func(given []GiveOrder) (orders []GiveOrder) {
		for _, g := range given {
			if g.Target == from {
				orders = append(orders, g)
			}
		}
		return orders
	}
	assert.Equal(t, len(to(h.orders(time.Second, nil))), 0, "an order breaks off a prompt that can't go on elsewhere")
	h.do(AttemptDone{Number: bound, Status: 200})
	given := to(h.orders(300*time.Millisecond, nil))
	assert.Equal(t, len(given), 1)
	assert.Assert(t, given[0].Order.BreakOff)
	next, ok := own(h.do(AttemptFailed{Number: moving, Reason: FailureBroken, Begun: true})).(Send)
	assert.Assert(t, ok, "the stream doesn't go on")
	assert.Assert(t, next.Target != from)
	assert.Equal(t, h.targets[from].failing, 0.0, "an engine is blamed for an order")
}

// TestOrderWaitsForWhatOthersRun: what other hosts have at an engine counts too, and
// an order that can't wait any longer lets the runs finish.
func TestOrderWaitsForWhatOthersRun(t *testing.T) {
	h := holder(t, 2)
	h.do(WeightsNamed{Model: model, Version: 2})
	busy := map[string]work{"engine-1": {Requests: 1, Bound: 1}, "engine-2": {Requests: 1, Bound: 1}}
	assert.Equal(t, len(h.orders(boundLongest-100*time.Millisecond, busy)), 0)
	given := h.orders(500*time.Millisecond, busy)
	assert.Assert(t, len(given) > 0)
	for _, g := range given {
		assert.Assert(t, !g.Order.BreakOff, "an order breaks off what another host runs")
	}
}

// TestSecondAttemptIsNotBrokenOff: a stream that has used up its attempts can't go on elsewhere.
func TestSecondAttemptIsNotBrokenOff(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	n, effect := h.ask("/short/", key, shortPrompt("s"))
	assert.Equal(t, h.targets[effect.(Send).Target].own.Bound, 0)
	h.do(AnswerBegan{Number: n, Weights: 1})
	next := own(h.do(AttemptFailed{Number: n, Reason: FailureBroken, Begun: true})).(Send)
	assert.Equal(t, h.targets[next.Target].own.Bound, 1)
}

// TestHostsAnswerToOrders replays a deployment in which most hosts tell of their work
// once a second: they tell the holder of orders at once what they have at an engine
// under order, and when its last request that can't go on elsewhere has ended.
func TestHostsAnswerToOrders(t *testing.T) {
	h := crowd(t, 60, 2)
	n, effect := h.ask("/long/", key, longPrompt("s"))
	from := effect.(Send).Target
	say := func(number uint64) []Tell {
		return all[Tell](h.do(PeerSaid{Message: Message{Host: "host-3", Boot: 1, Number: number, Holder: true, Orders: []string{from}}}))
	}
	told := say(2)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].To[0], h.hosts["host-3"].Address)
	assert.Equal(t, told[0].Message.Work[from].Bound, 1)
	assert.DeepEqual(t, told[0].Message.Avoids, []string{from})
	assert.Equal(t, len(say(3)), 0, "a host answers to what it knows")
	ended := false
	for _, tell := range all[Tell](h.do(AttemptDone{Number: n, Status: 200})) {
		ended = ended || tell.To[0] == h.hosts["host-3"].Address && tell.Message.Work[from].Bound == 0
	}
	assert.Assert(t, ended, "the holder doesn't hear of the end")
}
