package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// testMaxUse is the longest use of a target.
const testMaxUse = 31 * time.Second

// releaseTest drives the State of host a and answers its calls from given records.
type releaseTest struct {
	state *State
	now   time.Time
	// session is the version of host a's session; owner is the owner's record.
	session uint64
	owner   record
	// deleted is true once the owner's record was asked to be deleted.
	deleted bool
}

func newReleaseTest(owner record) *releaseTest {
	r := &releaseTest{now: epoch, session: 100, owner: owner}
	r.state = New(Config{Host: "a", Nonce: "n", Term: 10 * time.Second, Margin: 2 * time.Second, TakeoverDelay: 10 * time.Second, MaxUse: testMaxUse})
	return r
}

// reduce applies ev and answers all calls until there are none.
func (r *releaseTest) reduce(ev Event) {
	for _, e := range r.state.Reduce(ev, r.now) {
		switch e := e.(type) {
		case ReadSession:
			r.reduce(SessionRead{Host: e.Host, Outcome: OutcomeMissing})
		case WriteSession:
			r.session++
			r.reduce(SessionWritten{Host: e.Host, Outcome: OutcomeOK, Version: r.session})
		case ReadOwner:
			r.reduce(OwnerRead{Target: e.Target, Outcome: readOutcome(r.owner), Version: r.owner.version, Owner: r.owner.owner})
		case WriteOwner:
			r.session++
			r.owner = record{version: r.session, owner: e.Owner}
			r.reduce(OwnerWritten{Target: e.Target, Outcome: OutcomeOK, Version: r.session})
		case DeleteOwner:
			r.deleted = true
			r.owner = record{}
			r.reduce(OwnerWritten{Target: e.Target, Outcome: OutcomeOK})
		}
	}
}

// releaseTarget gives the target up and runs until it is no longer tracked.
func (r *releaseTest) releaseTarget(t *testing.T) {
	t.Helper()
	r.reduce(Wanted{})
	for range 60 {
		r.now = r.now.Add(time.Second)
		r.reduce(TimerFired{})
	}
	assert.Assert(t, r.state.targets[modelTarget] == nil, "the release doesn't end")
}

// TestRecordOfEarlierProcessIsNotDeleted guards against a cold target with more requests than its
// limit. Permits of the process that crashed may be in use, and the next owner waits for them only
// if it finds the record.
func TestRecordOfEarlierProcessIsNotDeleted(t *testing.T) {
	r := newReleaseTest(record{version: 7, owner: Owner{Host: "a", Token: "a/earlier/1"}})
	// A new process wants all targets until it knows its peers.
	r.state.Reduce(Wanted{Targets: []identifier.Target{modelTarget}}, r.now)
	r.releaseTarget(t)
	assert.Assert(t, !r.deleted, "the record of the earlier process is deleted")
}

// TestOwnRecordIsDeletedOnRelease checks that the next owner of a target doesn't wait if this
// process created the record.
func TestOwnRecordIsDeletedOnRelease(t *testing.T) {
	r := newReleaseTest(record{})
	r.reduce(Wanted{Targets: []identifier.Target{modelTarget}})
	_, _, held := r.state.Held(modelTarget, r.now)
	assert.Assert(t, held)
	r.releaseTarget(t)
	assert.Assert(t, r.deleted)
}

// TestRecordOfEarlierProcessIsTakenOver checks that another host takes over a target whose
// record an earlier process left, and that it waits for the permits of that process.
func TestRecordOfEarlierProcessIsTakenOver(t *testing.T) {
	cfg := Config{Term: modelTerm, Margin: tick, TakeoverDelay: modelTerm, Nonce: "n"}
	m := newModel(cfg)
	m.revision = 1
	m.objects["o"] = record{version: 1, owner: Owner{Host: "a", Token: "a/earlier/1"}}
	for _, host := range []identifier.Host{"a", "b"} {
		cfg.Host = host
		m.daemons[host] = New(cfg)
		m.reduce(host, Wanted{Targets: []identifier.Target{modelTarget}})
	}
	m.reduce("a", Wanted{})
	for range 20 {
		m.advanceTime()
		m.wakeAndRun("a")
		m.wakeAndRun("b")
		assert.Assert(t, !m.hasOverlap())
	}
	_, _, held := m.daemons["b"].Held(modelTarget, m.now)
	assert.Assert(t, held)
	assert.Assert(t, !m.daemons["b"].targets[modelTarget].created, "the new owner doesn't wait")
}

// TestTakenOverTargetIsNotReleasedAsUnused guards against a cold target with more requests than
// its limit. The record of a takeover that was given up before the daemon learned of it, or just
// after, must not be deleted: permits of the earlier owner may be in use.
func TestTakenOverTargetIsNotReleasedAsUnused(t *testing.T) {
	for _, held := range []time.Duration{0, time.Second, testMaxUse} {
		r := newReleaseTest(record{version: 7, owner: Owner{Host: "a", Token: "a/earlier/1"}})
		r.reduce(Wanted{Targets: []identifier.Target{modelTarget}})
		_, _, ok := r.state.Held(modelTarget, r.now)
		assert.Assert(t, ok)
		r.now = r.now.Add(held)
		r.releaseTarget(t)
		assert.Equal(t, r.deleted, held == testMaxUse, "released %s after the takeover", held)
	}
}

// TestReleasedTargetIsTakenOverAtOnce checks that a target which another host released while it
// might be in use has a new owner without a wait for the host's session, and that the new owner
// waits for the earlier requests.
func TestReleasedTargetIsTakenOverAtOnce(t *testing.T) {
	r := newReleaseTest(record{version: 7, owner: Owner{Host: "b", Token: releasedToken}})
	r.reduce(Wanted{Targets: []identifier.Target{modelTarget}})
	_, _, held := r.state.Held(modelTarget, r.now)
	assert.Assert(t, held)
	assert.Assert(t, !r.state.targets[modelTarget].created)
}
