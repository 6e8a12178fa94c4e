package reducer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// ownerAndPeer holds the owner of target-0 and another daemon of its data centre.
type ownerAndPeer struct {
	owner, peer *State
	now         time.Time
}

// newOwnerAndPeer returns two daemons that have a load report of the warm target-0.
func newOwnerAndPeer() *ownerAndPeer {
	p := &ownerAndPeer{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	hosts := []identifier.Host{"host-a", "host-b"}
	fleet := testFleet(hosts)
	for _, host := range hosts {
		fleet.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
	}
	fleet.Targets = map[identifier.Target]specifier.Target{
		"target-0": {Service: "labels", DataCentre: "dc", State: specifier.StateIn, ColdLimit: 1, WarmLimit: 8},
	}
	for _, host := range hosts {
		state := New(Config{Host: host, DataCentre: "dc", Seed: 1, BlockSecret: []byte("secret")})
		state.Reduce(PeersChanged{Hosts: hosts}, p.now)
		state.Reduce(ConfigAdopted{Version: 1, Fleet: fleet}, p.now)
		p.observe(state)
		if state.expectedOwner(state.targets["target-0"]) == host {
			p.owner = state
		} else {
			p.peer = state
		}
	}
	p.owner.Reduce(OwnershipChanged{Target: "target-0", Held: true, Fence: 1, Until: p.now.Add(time.Hour)}, p.now)
	return p
}

func (p *ownerAndPeer) observe(s *State) {
	s.Reduce(LoadObserved{Target: "target-0", Incarnation: 1}, p.now)
}

// effectOf returns the first effect of type E.
func effectOf[E Effect](effects []Effect) (E, bool) {
	i := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(E); return ok })
	if i < 0 {
		var none E
		return none, false
	}
	return effects[i].(E), true
}

// exchangePermit passes the peer's RequestPermit to the owner and the answer back to the
// peer, and returns the effects of the answer.
func (p *ownerAndPeer) exchangePermit(t *testing.T, effects []Effect) []Effect {
	t.Helper()
	call, ok := effectOf[RequestPermit](effects)
	assert.Assert(t, ok, "effects: %v", effects)
	answer, ok := effectOf[AnswerPermit](p.owner.Reduce(PermitRequested{From: p.peer.cfg.Host, Target: call.Target, Request: call.Request, Number: call.Number, Term: call.Term}, p.now))
	assert.Assert(t, ok)
	return p.peer.Reduce(PermitAnswered{
		Owner: call.Owner, Request: call.Request, Number: call.Number, Target: call.Target, Granted: answer.Granted,
		RetryAfter: answer.RetryAfter, Incarnation: answer.Incarnation, Warm: answer.Warm, Age: answer.Age, CalledAt: p.now,
	}, p.now)
}

// TestOwnerReportEndsColdSuspicion guards against a target that a daemon suspects to
// be cold for good after a lost connection. The daemon does not read the target's
// load, so only the owner's answer with a later report can end the suspicion.
func TestOwnerReportEndsColdSuspicion(t *testing.T) {
	p := newOwnerAndPeer()
	arrived := RequestArrived{Request: "first", KeyHash: "k1", Service: "labels", Work: promptOf("short")}
	started, ok := effectOf[Start](p.peer.Reduce(arrived, p.now))
	assert.Assert(t, ok)
	p.now = p.now.Add(time.Second)
	failed := AttemptFailed{Attempt: started.Attempt, Reason: FailureBroken}
	effects := p.exchangePermit(t, p.peer.Reduce(failed, p.now))
	_, ok = effectOf[Start](effects)
	assert.Assert(t, !ok, "the owner's report is older than the reset")

	p.now = p.now.Add(time.Second)
	p.observe(p.owner)
	p.now = p.now.Add(time.Second)
	effects = p.exchangePermit(t, p.peer.Reduce(Tick{}, p.now))
	_, ok = effectOf[Start](effects)
	assert.Assert(t, ok, "effects: %v", effects)
}
