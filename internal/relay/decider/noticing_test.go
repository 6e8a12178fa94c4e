package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// noticeFrom lets a process of a target say something about itself.
func (h *host) noticeFrom(t descriptor.Target, n descriptor.Notice) []Effect {
	return h.handle(NoticeReceived{Target: t.ID, StartedAt: t.StartedAt, Notice: n})
}

// targetOf sends a request and returns the target that it is sent to, or "".
func (h *host) targetOf(path string) string {
	n, effect := h.request(path, key, nil)
	sent, _ := effect.(Send)
	h.handle(AttemptDone{Number: n, Status: 200})
	return sent.Target
}

// TestLeavingTargetStaysOutOfUse guards against requests to a target that said that it is
// leaving, because of an entry in the list that says that it is ready. The entry may lapse and
// return meanwhile. A new process of the target must be used.
func TestLeavingTargetStaysOutOfUse(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	leaving := plainTarget(1)
	h.noticeFrom(leaving, descriptor.Notice{Leaving: true})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2")

	h.handle(TargetsListed{Targets: []descriptor.Target{leaving}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "a ready entry brought a leaving target back")

	h.handle(TargetsListed{Removed: []string{leaving.ID}})
	h.advance(noticeRetention)
	h.handle(TargetsListed{Targets: []descriptor.Target{leaving}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "an entry that returned brought a leaving target back")

	restarted := leaving
	restarted.StartedAt = leaving.StartedAt.Add(time.Millisecond)
	h.handle(TargetsListed{Targets: []descriptor.Target{restarted}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-1", "a new process of the target is not used")
}

// TestPauseLastsForRetryAfter guards against requests to a target that wants none for a while:
// after a refusal that names no or less time, or when its entry lapses and returns. A new process
// of the target must be used.
func TestPauseLastsForRetryAfter(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	paused := plainTarget(1)
	n, effect := h.request("/look/", key, nil)
	assert.Equal(t, effect.(Send).Target, paused.ID)
	h.noticeFrom(paused, descriptor.Notice{RetryAfter: 5 * time.Second})
	retried := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
	assert.Equal(t, retried.(Send).Target, "plain-2")
	h.handle(AttemptDone{Number: n, Status: 200})
	h.advance(refusalPause)
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "a refusal without Retry-After shortened the pause")

	h.noticeFrom(paused, descriptor.Notice{RetryAfter: time.Second})
	h.advance(2 * time.Second)
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "a shorter Retry-After shortened the pause")

	h.handle(TargetsListed{Removed: []string{paused.ID}})
	h.handle(TargetsListed{Targets: []descriptor.Target{paused}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "an entry that returned ended the pause")

	h.advance(3 * time.Second)
	assert.Equal(t, h.targetOf("/pay/"), "plain-1", "the pause didn't end")

	h.noticeFrom(paused, descriptor.Notice{RetryAfter: time.Hour})
	restarted := paused
	restarted.StartedAt = paused.StartedAt.Add(time.Millisecond)
	h.handle(TargetsListed{Targets: []descriptor.Target{restarted}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-1", "a new process of the target is not used")
}

// TestLateNoticeSparesNewProcess guards against taking a new process out of use because of an
// answer of the process before it that arrives late.
func TestLateNoticeSparesNewProcess(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	old, restarted := plainTarget(1), plainTarget(1)
	restarted.StartedAt = old.StartedAt.Add(time.Millisecond)
	h.handle(TargetsListed{Targets: []descriptor.Target{restarted}})
	h.noticeFrom(old, descriptor.Notice{Leaving: true, RetryAfter: time.Hour})
	assert.Equal(t, h.targetOf("/pay/"), "plain-1")

	h.noticeFrom(restarted, descriptor.Notice{Leaving: true})
	h.handle(TargetsListed{Removed: []string{old.ID}})
	h.noticeFrom(old, descriptor.Notice{Leaving: true})
	h.handle(TargetsListed{Targets: []descriptor.Target{restarted}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2", "a late notice replaced that of the new process")
}

// TestNoticeOfUnlistedTargetCounts guards against requests to a target whose entry had lapsed
// when it said that it is leaving.
func TestNoticeOfUnlistedTargetCounts(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	leaving := plainTarget(1)
	h.handle(TargetsListed{Removed: []string{leaving.ID}})
	h.noticeFrom(leaving, descriptor.Notice{Leaving: true})
	h.handle(TargetsListed{Targets: []descriptor.Target{leaving}})
	assert.Equal(t, h.targetOf("/pay/"), "plain-2")
}

// TestRetryAvoidsLeavingTarget guards against the retry of a request at a target that said that
// it is leaving while the request was under way at another one.
func TestRetryAvoidsLeavingTarget(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	n, effect := h.request("/look/", key, nil)
	assert.Equal(t, effect.(Send).Target, "plain-1")
	h.noticeFrom(plainTarget(2), descriptor.Notice{Leaving: true})
	retried := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureBroken}))
	assert.Equal(t, retried.(Send).Target, "plain-3")
}

// TestPeersLearnOfLeavingTarget guards against a request from each host to a target that has told
// one of them that it is leaving. A new process of the target must be used.
func TestPeersLearnOfLeavingTarget(t *testing.T) {
	a, b := newHost(t, "a", 0, 2), newHost(t, "b", 0, 2)
	hosts := map[string]descriptor.Host{"a": {Address: address(1), DataCentre: "a"}, "b": {Address: address(2), DataCentre: "a"}}
	a.handle(HostsListed{Hosts: hosts})
	b.handle(HostsListed{Hosts: hosts})
	leaving, restarted := plainTarget(1), plainTarget(1)
	restarted.StartedAt = leaving.StartedAt.Add(time.Millisecond)
	a.noticeFrom(leaving, descriptor.Notice{Leaving: true, RetryAfter: time.Hour})
	announced := 0
	for range 100 {
		a.advance(100 * time.Millisecond)
		for _, sent := range effectsOf[SendMessage](a.handle(Tick{})) {
			b.handle(MessageReceived{Message: sent.Message})
			announced += len(sent.Message.Leaving)
		}
	}
	assert.Equal(t, b.targetOf("/pay/"), "plain-2", "a peer sent to a leaving target")
	assert.Assert(t, announced > 0 && announced <= 3, "announced %d times", announced)

	b.handle(TargetsListed{Targets: []descriptor.Target{restarted}})
	assert.Equal(t, b.targetOf("/pay/"), "plain-1", "a new process of the target is not used")
	b.handle(MessageReceived{Message: Message{Host: "a", Boot: 1, Number: 1000, Leaving: map[string]int64{leaving.ID: leaving.StartedAt.UnixMilli()}}})
	assert.Equal(t, b.targetOf("/pay/"), "plain-1", "a late message took a new process out of use")
}

// TestListedDrainIsNotAnnounced guards against messages about what all hosts have from the list.
func TestListedDrainIsNotAnnounced(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	draining := plainTarget(1)
	draining.Draining = true
	h.handle(TargetsListed{Targets: []descriptor.Target{draining}})
	h.noticeFrom(draining, descriptor.Notice{Leaving: true})
	for range 30 {
		h.advance(100 * time.Millisecond)
		for _, sent := range effectsOf[SendMessage](h.handle(Tick{})) {
			assert.Equal(t, len(sent.Message.Leaving), 0)
		}
	}
}

// TestRefusalNamesEndOfPause guards against callers that return while all targets of their service
// want no requests, or long after one does. Targets that may be usable earlier count as such.
func TestRefusalNamesEndOfPause(t *testing.T) {
	seconds := func(n int) descriptor.Notice { return descriptor.Notice{RetryAfter: time.Duration(n) * time.Second} }
	leaving := descriptor.Notice{Leaving: true}
	full := func(h *host) {
		h.config.Services["plain"].MaxConnections = 1
		_, effect := h.request("/look/", key, nil)
		assert.Equal(h.t, effect.(Send).Target, "plain-2")
	}
	for name, c := range map[string]struct {
		first, second descriptor.Notice
		before        func(*host)
		want          time.Duration
	}{
		"both paused":          {first: seconds(5), second: seconds(3), want: 3 * time.Second},
		"one leaving":          {first: leaving, second: seconds(3), want: 3 * time.Second},
		"both leaving":         {first: leaving, second: leaving, want: transientRetryAfter},
		"one paused, one full": {first: seconds(5), before: full, want: transientRetryAfter},
		"paused for a moment":  {first: descriptor.Notice{RetryAfter: time.Millisecond}, second: seconds(3), want: transientRetryAfter},
	} {
		h := newHost(t, "a", 0, 2)
		h.noticeFrom(plainTarget(1), c.first)
		if c.before != nil {
			c.before(h)
		}
		h.noticeFrom(plainTarget(2), c.second)
		_, effect := h.request("/pay/", key, nil)
		refused, ok := effect.(Refuse)
		assert.Assert(t, ok, "%s: %T", name, effect)
		assert.Assert(t, refused.NotRun, name)
		longest := c.want + time.Duration(retryAfterJitter*float64(c.want))
		assert.Assert(t, refused.RetryAfter >= c.want && refused.RetryAfter <= longest, "%s: Retry-After %s, want %s to %s", name, refused.RetryAfter, c.want, longest)
	}
}

// TestRefusedRetryNamesEndOfPause guards against an untrue Retry-After for a request that its
// last target refused.
func TestRefusedRetryNamesEndOfPause(t *testing.T) {
	for name, spent := range map[string]bool{"no other target": false, "retry budget spent": true} {
		h := newHost(t, "a", 0, 1)
		n, _ := h.request("/look/", key, nil)
		for spent && h.tryWithdrawRetry("plain") {
		}
		h.noticeFrom(plainTarget(1), descriptor.Notice{RetryAfter: 2 * time.Second})
		effect := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
		refused, ok := effect.(Refuse)
		assert.Assert(t, ok, "%s: %T", name, effect)
		assert.Assert(t, refused.RetryAfter >= 2*time.Second, "%s: Retry-After %s (%s)", name, refused.RetryAfter, refused.Kind)
	}
}

// TestNoProbesDuringPause guards against probes of a target that wants nothing for a while: a
// health check waits for a slot as requests do.
func TestNoProbesDuringPause(t *testing.T) {
	const pause = 5 * time.Second
	h := newHost(t, "a", 0, 1)
	h.noticeFrom(plainTarget(1), descriptor.Notice{RetryAfter: pause})
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Down: []string{"plain-1"}}})
	for left := pause; left > 0; left -= 100 * time.Millisecond {
		assert.Equal(t, len(effectsOf[Probe](h.handle(Tick{}))), 0, "%s before the end of the pause", left)
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(effectsOf[Probe](h.handle(Tick{}))), 1)
}

// TestCallsNameProcess guards against taking the answer to a call for that of another process.
func TestCallsNameProcess(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	n, _ := h.request("/pay/", key, nil)
	h.handle(AttemptFailed{Number: n, Reason: FailureUnreachable, NotRun: true})
	h.advance(maxProbeBackoff)
	probes := effectsOf[Probe](h.handle(Tick{}))
	assert.Equal(t, len(probes), 1)
	assert.Equal(t, probes[0].StartedAt, plainTarget(1).StartedAt)
}

// TestOldNoticesAreForgotten guards against a map that grows with each target that leaves.
func TestOldNoticesAreForgotten(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	h.noticeFrom(plainTarget(1), descriptor.Notice{Leaving: true})
	h.noticeFrom(plainTarget(2), descriptor.Notice{Leaving: true})
	h.handle(TargetsListed{Removed: []string{"plain-1"}})
	h.advance(noticeRetention + time.Second)
	h.handle(TargetsListed{Removed: []string{"plain-3"}})
	assert.Equal(t, len(h.notices), 1, "only the listed target's notice must be kept")
}
