package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// serve handles a request whose response begins after the given time, and returns what was
// sent.
func (h *host) serve(path string, prompt *descriptor.Prompt, after time.Duration) Send {
	n, effect := h.request(path, key, prompt)
	send, ok := effect.(Send)
	if !ok {
		h.t.Fatalf("refused: %+v", effect)
	}
	h.advance(after)
	h.handle(ResponseStarted{Number: n})
	h.handle(AttemptDone{Number: n, Status: 200})
	return send
}

// TestPartSavedOnceThenImported guards against duplicate copies of a part, which waste memory
// when hosts choose different stores for it, and against imports from a store that doesn't hold
// the whole part yet or has restarted.
func TestPartSavedOnceThenImported(t *testing.T) {
	a, b := newHost(t, "a", 2, 0), newHost(t, "b", 2, 0)
	for _, h := range []*host{a, b} {
		h.setStoreParts(storeAddress(1))
		h.setStoreParts(storeAddress(2))
	}
	first, other := a.serve("/long/", longPrompt("s"), 100*time.Millisecond), b.serve("/long/", longPrompt("s"), 100*time.Millisecond)
	assert.Equal(t, first.Sinks[0], storeAddress(1), "the start of a prompt must go to the fast store")
	assert.Equal(t, first.Sinks[1], storeAddress(2), "a long part must go to the large store")
	assert.Assert(t, !first.Sinks[2].IsValid(), "a part that no other request shares is saved")
	assert.DeepEqual(t, first.Sinks, other.Sinks, cmpAddress)
	again := a.serve("/long/", longPrompt("s"), 100*time.Millisecond)
	assert.Assert(t, !again.Sources[1].IsValid() && !again.Sinks[1].IsValid(), "a part that is being saved is imported or saved again")
	a.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	assert.Equal(t, a.serve("/long/", longPrompt("s"), 100*time.Millisecond).Sources[1], storeAddress(2))
	a.handle(PartsChanged{Store: storeAddress(2), Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
	assert.Assert(t, !a.serve("/long/", longPrompt("s"), 100*time.Millisecond).Sources[1].IsValid(), "a part is imported from a restarted store")
}

// TestSlowStoreIsAvoided guards against imports from a store whose link has slowed down, which
// delay every response. After a few late imports its parts must be prefilled, and after a while
// it must be tried again.
func TestSlowStoreIsAvoided(t *testing.T) {
	h := newHost(t, "a", 4, 0)
	h.setStoreParts(storeAddress(1), descriptor.Part{ID: "start", Tokens: 2520})
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	late := 0
	for range 20 {
		send := h.serve("/long/", longPrompt("s"), 100*time.Millisecond)
		if send.Sources[1].IsValid() {
			late++
			h.advance(300 * time.Millisecond)
			h.delayImports(storeAddress(2), 800*time.Millisecond)
		}
	}
	assert.Assert(t, late <= 8, "%d of 20 requests imported from the slow store", late)
	h.advance(5 * time.Second)
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 50*time.Millisecond).Sources[1], storeAddress(2))
}

// TestSaltSeparatesTeamsAndVersions guards against sharing parts with isolated teams or across
// weights.
func TestSaltSeparatesTeamsAndVersions(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	_, shared := h.request("/short/", key, shortPrompt("s"))
	_, isolated := h.request("/short/", "key-2", shortPrompt("s"))
	assert.Assert(t, shared.(Send).Salt != isolated.(Send).Salt)
	h.handle(ReportAnswered{Target: "engine-1", Report: newReport(2)})
	_, newer := h.request("/short/", key, shortPrompt("s"))
	assert.Assert(t, newer.(Send).Salt != shared.(Send).Salt)
	assert.Equal(t, newer.(Send).Weights, 2)
}

// TestOutdatedPartsFreedAfterLastFetch guards against freeing parts that an engine with older
// weights, or a fetch in progress, may still read. They must be freed once all engines have
// newer weights, even if these aren't the newest named ones.
func TestOutdatedPartsFreedAfterLastFetch(t *testing.T) {
	leases := &leaseStore{}
	h := newHost(t, "a", 2, 0)
	leases.tickHosts(time.Second, h)
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.nameWeights(3)
	freed := func(d time.Duration) []FreeParts {
		var list []FreeParts
		for end := h.clock.Add(d); h.clock.Before(end); {
			h.advance(50 * time.Millisecond)
			list = append(list, effectsOf[FreeParts](leases.handleLeaseCalls(h, h.handle(Tick{})))...)
		}
		return list
	}
	h.handle(ReportAnswered{Target: "engine-1", Report: newReport(2)})
	assert.Equal(t, len(freed(5*time.Second)), 0, "parts freed while an engine has the older weights")
	h.handle(TargetsListed{Removed: []string{"engine-2"}})
	assert.Equal(t, len(freed(5*time.Second)), 0, "parts freed while hosts that are cut off may use an engine with the older weights")
	list := []descriptor.Target{engineTarget(2, 1)}
	h.handle(TargetsListed{Targets: list})
	delete(h.departed, "engine-2")
	h.handle(ReportAnswered{Target: "engine-2", Report: newReport(2)})
	assert.Equal(t, len(freed(maxFetchTime)), 0, "parts freed while a fetch may run")
	parts := freed(2 * time.Second)
	assert.Equal(t, len(parts), 1)
	assert.DeepEqual(t, parts[0].Parts, []string{"s"})
}

// TestNewLeaseHolderFreesOutdatedParts guards against a store that fills up with outdated
// parts. That happens when weights change while no host holds the lease: all hosts then count
// the parts as freed.
func TestNewLeaseHolderFreesOutdatedParts(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.storesUnconfirmed = true
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.nameWeights(2)
	h.handle(ReportAnswered{Target: "engine-1", Report: newReport(2)})
	h.advanceTicking(2 * freeDelay)
	assert.Equal(t, h.storeByAddress(storeAddress(2)).usedTokens, 0, "outdated parts count as used memory")
	h.handle(LeaseAnswered{Missing: true, CalledAt: h.clock})
	lists := effectsOf[ListParts](h.handle(LeaseAnswered{Lease: Lease{Revision: 2, Holder: "a", Boot: 1}, Written: true, CalledAt: h.clock}))
	assert.Equal(t, len(lists), 1, "the new lease holder doesn't list the store")
	h.setStoreParts(lists[0].Store, descriptor.Part{ID: "s", Tokens: 5000})
	freed := effectsOf[FreeParts](h.handle(Tick{}))
	assert.Equal(t, len(freed), 1)
	assert.DeepEqual(t, freed[0].Parts, []string{"s"})
	assert.Equal(t, len(effectsOf[FreeParts](h.handle(Tick{}))), 0)
}

// TestRestartedHostSavesToWarmStore guards against the loss of saves when many hosts restart
// together. A store with many parts can't have restarted with them, so it must be saved to at
// once.
func TestRestartedHostSavesToWarmStore(t *testing.T) {
	for _, count := range []int{minPartsOfWarmStore, 3} {
		h := newHost(t, "a", 1, 0)
		h.setStoreParts(storeAddress(1))
		changes := descriptor.PartChanges{Boot: 7, Next: 1000}
		for n := range count {
			changes.Changes = append(changes.Changes, descriptor.PartChange{Held: true, Salt: testSalt, Part: fmt.Sprint(n), Tokens: 500})
		}
		h.handle(PartsChanged{Store: storeAddress(2), Changes: changes, Whole: true, AsOf: h.clock})
		saved := h.serve("/long/", longPrompt("s"), 0).Sinks[1] == storeAddress(2)
		assert.Equal(t, saved, count >= minPartsOfWarmStore, "a store with %d parts", count)
	}
}

// TestNoSaveToRestartedStoreDuringStaleFetches guards against fetching a part while another
// host saves it again after a restart of the store. One host notices the restart at once, the
// other receives nothing from the store: the first must save nothing there before the last
// fetch of the second has ended.
func TestNoSaveToRestartedStoreDuringStaleFetches(t *testing.T) {
	informed, uninformed := newHost(t, "a", 2, 0), newHost(t, "b", 2, 0)
	part := descriptor.Part{ID: "s", Tokens: 5000}
	for _, h := range []*host{informed, uninformed} {
		h.storesUnconfirmed = true
		h.setStoreParts(storeAddress(1))
		h.setStoreParts(storeAddress(2), part)
	}
	informed.handle(PartsChanged{Store: storeAddress(2), AsOf: informed.clock, Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
	var lastFetch, firstSave time.Time
	for range 100 {
		informed.advance(50 * time.Millisecond)
		uninformed.clock = informed.clock
		informed.handle(PartsChanged{Store: storeAddress(2), AsOf: informed.clock, Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
		if uninformed.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid() {
			lastFetch = uninformed.clock
		}
		if informed.serve("/long/", longPrompt("s"), 0).Sinks[1] == storeAddress(2) && firstSave.IsZero() {
			firstSave = informed.clock
		}
	}
	assert.Assert(t, !lastFetch.IsZero() && !firstSave.IsZero())
	assert.Assert(t, firstSave.Sub(lastFetch) > maxFetchTime, "saved %v after the last fetch was sent", firstSave.Sub(lastFetch))
}

// TestRelayedStoreLoss guards against imports from a lost or restarted store by hosts that
// don't call it themselves but receive its changes from others.
func TestRelayedStoreLoss(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.storesUnconfirmed = true
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.handle(PartsRelayed{Store: storeAddress(2), Lost: true})
	assert.Assert(t, !h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
	h.handle(PartsRelayed{Store: storeAddress(2), Boot: 1})
	assert.Assert(t, h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
	h.handle(PartsRelayed{Store: storeAddress(2), Boot: 2})
	assert.Assert(t, !h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
}

// TestPromptsPreferEnginesNearStore guards against saturating a store's link when all prompts
// import long parts: transfers within the data centre take half as long. Busy engines must be
// avoided all the same.
func TestPromptsPreferEnginesNearStore(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.cfg.Regions["b"] = "r"
	remote := engineTarget(2, 1)
	remote.DataCentre = "b"
	h.handle(TargetsListed{Targets: []descriptor.Target{remote}})
	h.setStoreParts(storeAddress(1), descriptor.Part{ID: "start", Tokens: 2520})
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-1", "the store is in the data centre of engine-1")
	h.storeByAddress(storeAddress(2)).DataCentre = "b"
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-2", "the store is in the data centre of engine-2")
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Loads: map[string]targetLoad{"engine-2": {Requests: 3, PrefillTokens: 9000}}}})
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-1", "a busy engine is chosen because it is near the store")
}
