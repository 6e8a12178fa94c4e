package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// serve brings a request whose answer begins after a while, and returns what was sent.
func (h *host) serve(path string, prompt *descriptor.Prompt, after time.Duration) Send {
	n, effect := h.ask(path, key, prompt)
	send, ok := effect.(Send)
	if !ok {
		h.t.Fatalf("refused: %+v", effect)
	}
	h.pass(after)
	h.do(AnswerBegan{Number: n})
	h.do(AttemptDone{Number: n, Status: 200})
	return send
}

// TestPartsAreSavedOnceAndImportedAfter: the first reader of a part saves it, all
// hosts to the same store, and it is a source only once the store holds it in whole.
func TestPartsAreSavedOnceAndImportedAfter(t *testing.T) {
	a, b := newHost(t, "a", 2, 0), newHost(t, "b", 2, 0)
	for _, h := range []*host{a, b} {
		h.hold(storeAddress(1))
		h.hold(storeAddress(2))
	}
	first, other := a.serve("/long/", longPrompt("s"), 100*time.Millisecond), b.serve("/long/", longPrompt("s"), 100*time.Millisecond)
	assert.Equal(t, first.Sinks[0], storeAddress(1), "the start of prompts goes to the fast store")
	assert.Equal(t, first.Sinks[1], storeAddress(2), "long parts go to the large store")
	assert.Assert(t, !first.Sinks[2].IsValid(), "a part that nobody shares is saved")
	assert.DeepEqual(t, first.Sinks, other.Sinks, cmpAddress)
	again := a.serve("/long/", longPrompt("s"), 100*time.Millisecond)
	assert.Assert(t, !again.Sources[1].IsValid() && !again.Sinks[1].IsValid(), "a part that is being saved is named")
	a.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	assert.Equal(t, a.serve("/long/", longPrompt("s"), 100*time.Millisecond).Sources[1], storeAddress(2))
	a.do(PartsChanged{Store: storeAddress(2), Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
	assert.Assert(t, !a.serve("/long/", longPrompt("s"), 100*time.Millisecond).Sources[1].IsValid(), "a store that restarted is a source")
}

// TestSlowStoreIsLeftAlone replays a store whose link has slowed down: after a few
// late imports its parts are read anew, and it is tried again after a while.
func TestSlowStoreIsLeftAlone(t *testing.T) {
	h := newHost(t, "a", 4, 0)
	h.hold(storeAddress(1), descriptor.Part{ID: "start", Tokens: 2520})
	h.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	late := 0
	for range 20 {
		send := h.serve("/long/", longPrompt("s"), 100*time.Millisecond)
		if send.Sources[1].IsValid() {
			late++
			h.pass(300 * time.Millisecond)
			h.learnLate(storeAddress(2), 800*time.Millisecond)
		}
	}
	assert.Assert(t, late <= 8, "%d of 20 requests imported from the slow store", late)
	h.pass(5 * time.Second)
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 50*time.Millisecond).Sources[1], storeAddress(2))
}

// TestTeamsAndVersionsHaveSaltsOfTheirOwn keeps parts of isolated teams and other weights apart.
func TestTeamsAndVersionsHaveSaltsOfTheirOwn(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	_, shared := h.ask("/short/", key, shortPrompt("s"))
	_, isolated := h.ask("/short/", "key-2", shortPrompt("s"))
	assert.Assert(t, shared.(Send).Salt != isolated.(Send).Salt)
	h.do(ReportSeen{Target: "engine-1", Report: reportOf(2)})
	_, newer := h.ask("/short/", key, shortPrompt("s"))
	assert.Assert(t, newer.(Send).Salt != shared.(Send).Salt)
	assert.Equal(t, newer.(Send).Weights, 2)
}

// TestOutdatedPartsAreFreedLate: parts of older weights are freed only when all
// engines have had newer ones for longer than any fetch, also while still newer
// ones are awaited.
func TestOutdatedPartsAreFreedLate(t *testing.T) {
	p := &platform{}
	h := newHost(t, "a", 2, 0)
	p.run(time.Second, h)
	h.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.do(WeightsNamed{Model: model, Version: 3})
	freed := func(d time.Duration) []FreeParts {
		var list []FreeParts
		for end := h.at.Add(d); h.at.Before(end); {
			h.pass(50 * time.Millisecond)
			list = append(list, all[FreeParts](p.settle(h, h.do(Tick{})))...)
		}
		return list
	}
	h.do(ReportSeen{Target: "engine-1", Report: reportOf(2)})
	assert.Equal(t, len(freed(5*time.Second)), 0, "freed while an engine has the older weights")
	h.do(TargetsListed{Removed: []string{"engine-2"}})
	assert.Equal(t, len(freed(5*time.Second)), 0, "freed while hosts that are cut off may use an engine with the older weights")
	list := []descriptor.Target{engine(2, 1)}
	h.do(TargetsListed{Targets: list})
	delete(h.departed, "engine-2")
	h.do(ReportSeen{Target: "engine-2", Report: reportOf(2)})
	assert.Equal(t, len(freed(fetchTime)), 0, "freed while a fetch may run")
	parts := freed(2 * time.Second)
	assert.Equal(t, len(parts), 1)
	assert.DeepEqual(t, parts[0].Parts, []string{"s"})
}

// TestOutdatedPartsAreFreedByTheNextHolder replays new weights while no host is in
// office: all hosts count the parts' room as free, and whoever is next finds and frees them.
func TestOutdatedPartsAreFreedByTheNextHolder(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.silent = true
	h.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.do(WeightsNamed{Model: model, Version: 2})
	h.do(ReportSeen{Target: "engine-1", Report: reportOf(2)})
	h.tick(2 * freeAfter)
	assert.Equal(t, h.storeAt(storeAddress(2)).used, 0, "outdated parts take room")
	h.do(LeaseSeen{Missing: true, Asked: h.at})
	lists := all[ListParts](h.do(LeaseSeen{Lease: Lease{Revision: 2, Holder: "a", Boot: 1}, Written: true, Asked: h.at}))
	assert.Equal(t, len(lists), 1, "the host in office doesn't look for what nobody freed")
	h.hold(lists[0].Store, descriptor.Part{ID: "s", Tokens: 5000})
	freed := all[FreeParts](h.do(Tick{}))
	assert.Equal(t, len(freed), 1)
	assert.DeepEqual(t, freed[0].Parts, []string{"s"})
	assert.Equal(t, len(all[FreeParts](h.do(Tick{}))), 0)
}

// TestRestartedHostSavesToAFullStore replays a herd of hosts that start anew: a store
// that holds many parts has not restarted with them, and is written at once.
func TestRestartedHostSavesToAFullStore(t *testing.T) {
	for _, held := range []int{provenParts, 3} {
		h := newHost(t, "a", 1, 0)
		h.hold(storeAddress(1))
		changes := descriptor.PartChanges{Boot: 7, Next: 1000}
		for n := range held {
			changes.Changes = append(changes.Changes, descriptor.PartChange{Held: true, Salt: model + ":1", Part: fmt.Sprint(n), Tokens: 500})
		}
		h.do(PartsChanged{Store: storeAddress(2), Changes: changes, Whole: true, AsOf: h.at})
		saved := h.serve("/long/", longPrompt("s"), 0).Sinks[1] == storeAddress(2)
		assert.Equal(t, saved, held >= provenParts, "a store with %d parts", held)
	}
}

// TestRestartedStoreIsNotReadWhileItIsWritten: one host sees at once that a store
// restarted, another has heard nothing since. Whatever the moment, the first saves
// nothing there before the second has ended its last fetch.
func TestRestartedStoreIsNotReadWhileItIsWritten(t *testing.T) {
	quick, slow := newHost(t, "a", 2, 0), newHost(t, "b", 2, 0)
	part := descriptor.Part{ID: "s", Tokens: 5000}
	for _, h := range []*host{quick, slow} {
		h.silent = true
		h.hold(storeAddress(1))
		h.hold(storeAddress(2), part)
	}
	quick.do(PartsChanged{Store: storeAddress(2), AsOf: quick.at, Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
	var lastFetch, firstSave time.Time
	for range 100 {
		quick.pass(50 * time.Millisecond)
		slow.at = quick.at
		quick.do(PartsChanged{Store: storeAddress(2), AsOf: quick.at, Changes: descriptor.PartChanges{Boot: 2, Next: 1}})
		if slow.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid() {
			lastFetch = slow.at
		}
		if quick.serve("/long/", longPrompt("s"), 0).Sinks[1] == storeAddress(2) && firstSave.IsZero() {
			firstSave = quick.at
		}
	}
	assert.Assert(t, !lastFetch.IsZero() && !firstSave.IsZero())
	assert.Assert(t, firstSave.Sub(lastFetch) > fetchTime, "saved %v after the last fetch was sent", firstSave.Sub(lastFetch))
}

// TestLostStoreIsToldToHostsThatDontAskIt: hosts that hear of a store through others
// stop using it as soon as these find it silent, or seen anew.
func TestLostStoreIsToldToHostsThatDontAskIt(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.silent = true
	h.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	h.do(PartsTold{Store: storeAddress(2), Lost: true})
	assert.Assert(t, !h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
	h.do(PartsTold{Store: storeAddress(2), Boot: 1})
	assert.Assert(t, h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
	h.do(PartsTold{Store: storeAddress(2), Boot: 2})
	assert.Assert(t, !h.serve("/long/", longPrompt("s"), 0).Sources[1].IsValid())
}

// TestPromptsGoNearTheirParts replays prompts that all import long parts: they go to
// engines near the store, whose link sends half as much then, unless those are busy.
func TestPromptsGoNearTheirParts(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.cfg.Regions["b"] = "r"
	near := engine(2, 1)
	near.DataCentre = "b"
	h.do(TargetsListed{Targets: []descriptor.Target{near}})
	h.hold(storeAddress(1), descriptor.Part{ID: "start", Tokens: 2520})
	h.hold(storeAddress(2), descriptor.Part{ID: "s", Tokens: 5000})
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-1", "the part is in this data centre")
	h.storeAt(storeAddress(2)).DataCentre = "b"
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-2", "the part is in the other data centre")
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 1, Work: map[string]work{"engine-2": {Requests: 3, Unread: 9000}}}})
	assert.Equal(t, h.serve("/long/", longPrompt("s"), 0).Target, "engine-1", "a busy engine is chosen for its place")
}
