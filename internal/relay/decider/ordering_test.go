package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	assert.Assert(t, a.holding())
	first := a.fence
	b.at = a.at
	p.run(6*time.Second, b)
	assert.Assert(t, b.holding(), "the silent holder was not replaced")
	a.at = b.at
	a.do(PeerSaid{Message: b.message()})
	assert.Assert(t, !a.mine())
	a.do(Tick{})
	assert.Equal(t, len(all[RenewLease](a.do(Tick{}))), 0, "the lease of another host was renewed")
	b.stopping = true
	p.run(8*time.Second, a)
	assert.Assert(t, a.holding())
	assert.Assert(t, a.fence > b.fence && b.fence > first, "fences %d, %d, %d must rise", first, b.fence, a.fence)
}
