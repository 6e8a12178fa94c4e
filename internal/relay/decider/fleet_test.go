package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestColdTargetRateLimit guards against overloading a cold engine when up to sixty hosts send
// it all they may: no second may have more requests than the platform allows.
func TestColdTargetRateLimit(t *testing.T) {
	for _, n := range []int{1, 8, 60} {
		hosts := make([]*host, n)
		names := map[string]descriptor.Host{}
		for i := range hosts {
			hosts[i] = newHost(t, fmt.Sprint("host-", i), 1, 0)
			names[hosts[i].cfg.Host] = descriptor.Host{Address: address(1), DataCentre: "a"}
		}
		for _, h := range hosts {
			h.handle(HostsListed{Hosts: names})
			for _, peer := range hosts {
				h.handle(MessageReceived{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: 1}})
			}
			cold := engineTarget(1, 1)
			cold.ColdFor = 3 * time.Second
			h.handle(TargetsListed{Targets: []descriptor.Target{cold}})
		}
		var sent []time.Time
		for range 280 {
			for _, h := range hosts {
				h.advance(10 * time.Millisecond)
				n, effect := h.request("/short/", key, shortPrompt("s"))
				if _, ok := effect.(Send); ok {
					sent = append(sent, h.clock)
					h.handle(ResponseStarted{Number: n})
					h.handle(AttemptDone{Number: n, Status: 200})
				}
			}
		}
		worst := 0
		for i := range sent {
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				worst = max(worst, j-i+1)
			}
		}
		const bound = 13*1.5 + 5
		assert.Assert(t, float64(worst) <= bound, "%d hosts sent %d in a second, want at most %.0f", n, worst, bound)
		assert.Assert(t, len(sent) > 20, "%d hosts sent only %d", n, len(sent))
	}
}

// TestTargetMissingAfterOutage guards against dropping targets whose entries lapsed in an
// outage and return within two seconds. Targets that leave at any other time must be removed at
// once.
func TestTargetMissingAfterOutage(t *testing.T) {
	h := newHost(t, "a", 4, 0)
	returnUntil := h.clock.Add(2 * time.Second)
	h.handle(TargetsListed{Removed: []string{"engine-1"}})
	h.handle(TargetsListed{Removed: []string{"engine-2"}, ReturnUntil: returnUntil})
	h.handle(TargetsListed{Whole: true, Targets: []descriptor.Target{engineTarget(3, 1), engineTarget(4, 1)}, ReturnUntil: returnUntil})
	assert.Assert(t, h.targets["engine-1"] == nil && h.targets["engine-2"] != nil)
	h.advance(1900 * time.Millisecond)
	h.handle(Tick{})
	assert.Assert(t, h.targets["engine-2"] != nil)
	h.handle(TargetsListed{Targets: []descriptor.Target{engineTarget(2, 1)}})
	h.handle(TargetsListed{Removed: []string{"engine-3"}, ReturnUntil: returnUntil})
	h.advance(200 * time.Millisecond)
	h.handle(Tick{})
	assert.Assert(t, h.targets["engine-2"] != nil, "a target that returned to the list was removed")
	assert.Assert(t, h.targets["engine-3"] == nil, "a target that stayed missing was kept")
}

// TestTargetUsedAfterRemovalInGap guards against requests to a target that left while the history
// of changes was lost. Without an outage its entry doesn't come back.
func TestTargetUsedAfterRemovalInGap(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(TargetsListed{Whole: true, Targets: []descriptor.Target{engineTarget(2, 1)}})
	assert.Assert(t, h.targets["engine-1"] == nil)
}

// TestMissingTargetNotUsedAfterGrace guards against requests to a target between the end of its
// grace period and the next tick.
func TestMissingTargetNotUsedAfterGrace(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.handle(TargetsListed{Removed: []string{"engine-1"}, ReturnUntil: h.clock.Add(2 * time.Second)})
	h.advanceTicking(1900 * time.Millisecond)
	assert.Assert(t, h.sendsShort())
	h.advance(100 * time.Millisecond)
	assert.Assert(t, !h.sendsShort())
}

// TestUnconfirmedConfigRejectsKeys guards against the use of revoked keys by a host that can't
// confirm its configuration. Such a host must not refuse unknown keys permanently either.
func TestUnconfirmedConfigRejectsKeys(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	refusalOf := func(key string) Refuse {
		h.lastNumber++
		refused, _ := requestEffect(h.handle(RequestArrived{Number: h.lastNumber, Host: "h", Path: "/pay/", Key: key, Timeout: time.Second})).(Refuse)
		return refused
	}
	assert.Equal(t, refusalOf("none").Kind, RefusalUnknownKey)
	h.advance(3 * time.Second)
	assert.Equal(t, refusalOf("none").Kind, RefusalUnconfirmed, "an unknown key is refused permanently by a stale configuration")
	assert.Equal(t, refusalOf(key).Kind, RefusalKind(""))
	h.advanceTicking(1400 * time.Millisecond)
	assert.Equal(t, refusalOf(key).Kind, RefusalUnconfirmed)
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Config: 1, ConfigAge: 100 * time.Millisecond}})
	assert.Equal(t, refusalOf(key).Kind, RefusalKind(""), "a peer's confirmation is not used")
}

// TestDrainingAndEvacuatedTargetsNotUsed guards against requests to targets that are draining
// or in an evacuated data centre.
func TestDrainingAndEvacuatedTargetsNotUsed(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	draining := plainTarget(1)
	draining.Draining = true
	h.handle(TargetsListed{Targets: []descriptor.Target{draining}})
	for range 5 {
		_, effect := h.request("/pay/", key, nil)
		assert.Equal(t, effect.(Send).Target, "plain-2")
	}
	h.handle(EvacuationsListed{DataCentres: []string{"a"}})
	_, effect := h.request("/pay/", key, nil)
	assert.Equal(t, effect.(Refuse).Kind, RefusalNoTarget)
}

// TestPeerReportsCannotKeepTargetDown guards against a peer with a broken connection that takes
// a healthy target away from other hosts: its reports, however often repeated, may cause only
// one probe, and a host that has just received a response from the target ignores them.
func TestPeerReportsCannotKeepTargetDown(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	probes := 0
	for n := range 40 {
		h.advance(50 * time.Millisecond)
		h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: uint64(n + 1), Down: []string{"plain-1"}}})
		for _, p := range effectsOf[Probe](h.handle(Tick{})) {
			probes++
			h.handle(ProbeAnswered{Target: p.Target, Alive: true})
		}
	}
	assert.Equal(t, probes, 1)
	assert.Assert(t, !h.targets["plain-1"].down)
}

// TestSilentTargetTakenDown guards against further requests to a target whose connection died
// without a response. The failed request may have run, and the target is used again after a
// probe.
func TestSilentTargetTakenDown(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	n, _ := h.request("/pay/", key, nil)
	refused := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureSilent})).(Refuse)
	assert.Assert(t, !refused.NotRun)
	_, effect := h.request("/pay/", key, nil)
	assert.Equal(t, effect.(Refuse).Kind, RefusalNoTarget)
	h.advance(200 * time.Millisecond)
	probe := effectsOf[Probe](h.handle(Tick{}))
	assert.Equal(t, len(probe), 1)
	h.handle(ProbeAnswered{Target: probe[0].Target, Alive: true})
	_, effect = h.request("/pay/", key, nil)
	_, sent := effect.(Send)
	assert.Assert(t, sent)
}

// sentTo returns the target that gets a request to a plain service, or "".
func (h *host) sentTo() string {
	n, effect := h.request("/pay/", key, nil)
	if sent, ok := effect.(Send); ok {
		h.handle(AttemptDone{Number: n, Status: 200})
		return sent.Target
	}
	return ""
}

// TestOldEntryDoesNotEndDraining guards against requests to a draining target after the store went
// back to a copy in which it is ready. It writes again that it drains.
func TestOldEntryDoesNotEndDraining(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	ready, draining := plainTarget(1), plainTarget(1)
	draining.Draining = true
	h.handle(TargetsListed{Targets: []descriptor.Target{draining}})
	h.handle(TargetsListed{Era: 1, Targets: []descriptor.Target{ready}, Whole: true})
	assert.Equal(t, h.sentTo(), "", "a request is sent to a draining target")
	h.advanceTicking(copiedEntryGrace / 2)
	h.handle(TargetsListed{Era: 1, Targets: []descriptor.Target{ready}, Whole: true})
	assert.Equal(t, h.sentTo(), "", "a request is sent to a draining target")
	h.handle(TargetsListed{Era: 1, Targets: []descriptor.Target{draining}})
	h.advanceTicking(copiedEntryGrace)
	assert.Equal(t, h.sentTo(), "", "a request is sent to a draining target")
	h.handle(TargetsListed{Era: 2, Targets: []descriptor.Target{ready}, Whole: true})
	restarted := plainTarget(1)
	restarted.StartedAt = time.UnixMilli(2)
	h.handle(TargetsListed{Era: 2, Targets: []descriptor.Target{restarted}})
	assert.Equal(t, h.sentTo(), "plain-1", "a new process isn't used")
}

// TestDrainingEndsWhenTargetSaysSo guards against a target that is never used again although it
// has taken back that it drains.
func TestDrainingEndsWhenTargetSaysSo(t *testing.T) {
	ready, draining := plainTarget(1), plainTarget(1)
	draining.Draining = true
	for _, tc := range []struct {
		name string
		ev   TargetsListed
		wait time.Duration
	}{
		{"change", TargetsListed{}, 0},
		{"list", TargetsListed{Whole: true}, 0},
		{"change after the store went back", TargetsListed{Era: 1}, 0},
		{"list after the store went back", TargetsListed{Era: 1, Whole: true}, copiedEntryGrace},
	} {
		h := newHost(t, "a", 0, 1)
		h.handle(TargetsListed{Targets: []descriptor.Target{draining}})
		tc.ev.Targets = []descriptor.Target{ready}
		h.handle(tc.ev)
		h.advanceTicking(tc.wait)
		assert.Equal(t, h.sentTo(), "plain-1", tc.name)
	}
}

// TestOldEntryDoesNotBringTargetBack guards against requests to a target that has left, after the
// store went back to a copy that still lists it. If it isn't removed again, or writes again, it
// runs.
func TestOldEntryDoesNotBringTargetBack(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	h.handle(TargetsListed{Removed: []string{"plain-1", "plain-2", "plain-3"}})
	h.advanceTicking(12 * time.Second)
	all := []descriptor.Target{plainTarget(1), plainTarget(2), plainTarget(3)}
	h.handle(TargetsListed{Era: 1, Targets: all, Whole: true})
	assert.Equal(t, h.sentTo(), "", "a request is sent to a target that has left")
	h.handle(TargetsListed{Era: 1, Targets: all[:1]})
	assert.Equal(t, h.sentTo(), "plain-1", "a target that wrote again isn't used")
	h.handle(TargetsListed{Era: 1, Removed: []string{"plain-1", "plain-2"}})
	h.advanceTicking(copiedEntryGrace)
	assert.Equal(t, h.sentTo(), "plain-3", "a target that is listed for long isn't used")

	h.handle(TargetsListed{Era: 1, Removed: []string{"plain-3"}})
	h.handle(TargetsListed{Era: 1, Targets: all[2:]})
	assert.Equal(t, h.sentTo(), "plain-3", "a target whose entry lapsed isn't used")
	h.handle(TargetsListed{Era: 1, Removed: []string{"plain-3"}})
	restarted := plainTarget(3)
	restarted.StartedAt = time.UnixMilli(2)
	h.handle(TargetsListed{Era: 2, Targets: []descriptor.Target{restarted}, Whole: true})
	assert.Equal(t, h.sentTo(), "plain-3", "a new process isn't used")
}

// TestLostEvacuationIsKept guards against requests to an evacuated data centre while its entry is
// missing after the store went back to a copy.
func TestLostEvacuationIsKept(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	h.handle(EvacuationsListed{DataCentres: []string{"a"}})
	h.handle(EvacuationsListed{Era: 1})
	assert.Equal(t, h.sentTo(), "", "a request is sent to an evacuated data centre")
	h.handle(EvacuationsListed{Era: 1, DataCentres: []string{"b"}})
	h.advanceTicking(2 * time.Second)
	assert.Equal(t, h.sentTo(), "", "a request is sent to an evacuated data centre")
	h.handle(EvacuationsListed{Era: 1, DataCentres: []string{"a"}})
	h.advanceTicking(lostEvacuationGrace)
	assert.Equal(t, h.sentTo(), "", "an evacuation that was written again has ended")
	h.handle(EvacuationsListed{Era: 1})
	assert.Equal(t, h.sentTo(), "plain-1", "an evacuation that was taken back goes on")
	h.handle(EvacuationsListed{Era: 1, DataCentres: []string{"a"}})
	h.handle(EvacuationsListed{Era: 2})
	h.advanceTicking(lostEvacuationGrace)
	assert.Equal(t, h.sentTo(), "plain-1", "an evacuation that wasn't written again goes on")
}

// refusalOf returns the refusal of a request with a key, without confirming the configuration
// first. It is the zero value if the request is sent.
func (h *host) refusalOf(key string) Refuse {
	h.lastNumber++
	effect := requestEffect(h.handle(RequestArrived{Number: h.lastNumber, Host: "h", Path: "/pay/", Key: key, Timeout: time.Second}))
	refused, _ := effect.(Refuse)
	if _, sent := effect.(Send); sent {
		h.handle(AttemptDone{Number: h.lastNumber, Status: 200})
	}
	return refused
}

// TestOlderConfigConfirmsNothing guards against the use of revoked keys while the store has only an
// older configuration than the one in force.
func TestOlderConfigConfirmsNothing(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	h.handle(ConfigListed{Config: testConfig(3)})
	h.handle(ConfigConfirmed{AsOf: h.clock})
	confirm := func(version int64) {
		h.handle(ConfigListed{Config: testConfig(version)})
		h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
	}
	for range 8 {
		h.advanceTicking(500 * time.Millisecond)
		confirm(2)
		assert.Equal(t, h.config.Version, int64(3))
	}
	assert.Equal(t, h.refusalOf(key).Kind, RefusalKind(""))
	h.advanceTicking(400 * time.Millisecond)
	assert.Equal(t, h.refusalOf(key).Kind, RefusalUnconfirmed, "an older configuration confirms the keys of the one in force")
	confirm(3)
	assert.Equal(t, h.refusalOf(key).Kind, RefusalKind(""), "a configuration that was written again isn't confirmed")
	for range lostConfigGrace / time.Second {
		h.advanceTicking(time.Second)
		h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
	}
	assert.Equal(t, h.refusalOf(key).Kind, RefusalKind(""))
}

// TestOlderConfigIsUsableAfterGrace guards against an outage without end if a lost configuration is
// never written again.
func TestOlderConfigIsUsableAfterGrace(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	h.handle(ConfigListed{Config: testConfig(3)})
	h.handle(ConfigListed{Config: testConfig(2)})
	for range lostConfigGrace/time.Second + 1 {
		h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
		h.advanceTicking(time.Second)
	}
	h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
	assert.Equal(t, h.refusalOf(key).Kind, RefusalKind(""))
}

// TestNewEraConfirmsConfigLate guards against the use of keys that a lost configuration revoked, of
// which the host never heard. Operators need a moment to write it again.
func TestNewEraConfirmsConfigLate(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	h.advanceTicking(3 * time.Second)
	for range (rewriteTime - 100*time.Millisecond) / (100 * time.Millisecond) {
		h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
		h.advanceTicking(100 * time.Millisecond)
	}
	assert.Equal(t, h.refusalOf(key).Kind, RefusalUnconfirmed, "a store that lost configurations confirms the keys of the one in force")
	h.advanceTicking(200 * time.Millisecond)
	h.handle(ConfigConfirmed{Era: 1, AsOf: h.clock})
	assert.Equal(t, h.refusalOf(key).Kind, RefusalKind(""))
}

// TestReadyBeforeConfigIsConfirmed guards against a host that gets callers while it refuses requests
// with keys because its configuration isn't confirmed yet.
func TestReadyBeforeConfigIsConfirmed(t *testing.T) {
	s := New(Config{Host: "a", DataCentre: "a", RetryWindow: 10 * time.Second, RevokeAfter: 5 * time.Second})
	now := time.Unix(1000, 0)
	s.Reduce(TargetsListed{Targets: []descriptor.Target{plainTarget(1)}, Whole: true}, now)
	s.Reduce(ConfigListed{Config: testConfig(1)}, now)
	assert.Assert(t, !s.Ready())
	s.Reduce(ConfigConfirmed{AsOf: now}, now)
	assert.Assert(t, s.Ready())
}
