package prover

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// manyAttempts is a profile change that allows many attempts per request.
func manyAttempts(p *specifier.Profile) { p.RetryBudget, p.MaxAttempts = 1, 10 }

// manyAttemptsShortDeadline is manyAttempts with a deadline below the read timeout
// of a silent connection, so that a request only succeeds in time if the stall of
// its answer is detected.
func manyAttemptsShortDeadline(p *specifier.Profile) {
	manyAttempts(p)
	p.DefaultDeadline = specifier.Duration{Duration: 9 * time.Second}
}

// singleAttempt is a profile change that disables retries and long waits.
func singleAttempt(p *specifier.Profile) {
	p.RetryBudget, p.MaxAttempts = 0, 1
	p.DefaultDeadline = specifier.Duration{Duration: 4 * time.Second}
}

// TestGuaranteeAnswersCompleteDespiteBadFrames guards against wrong or incomplete
// answers when engines mix up frames of requests, truncate, duplicate or reset
// answers, or stall.
func TestGuaranteeAnswersCompleteDespiteBadFrames(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 3, plainTargets: 1, adjustProfile: manyAttempts})
	load := startLoad(t, c.newLoader(), 6)
	load.waitForMore(t, 6)
	n, yes, no := 2, true, false
	for _, f := range []engine.Faults{{CrossNext: &n}, {TruncateNext: &n}, {DuplicateNext: &n}, {ResetNext: &n}} {
		c.eachTarget(modelService, func(name string) { c.injectFaults(name, f) })
		load.waitForMore(t, 12)
	}
	c.injectFaults("engine-01", engine.Faults{Freeze: &yes})
	load.waitForMore(t, 12)
	c.injectFaults("engine-01", engine.Faults{Freeze: &no})
	outcomes := load.stop()
	checkAllComplete(t, outcomes)
	s := c.collectStats()
	checkNotRunOutcomes(t, outcomes, s)
	assert.Equal(t, s.mismatchedResumes, 0, "resumes at a wrong offset")
	assert.Assert(t, s.started > s.completed, "no answer was cut: %d started, %d completed", s.started, s.completed)
}

// TestGuaranteeSilentConnectionsAreReplaced guards against requests that fail on
// connections to targets that stop delivering data without being closed, while
// new connections work.
func TestGuaranteeSilentConnectionsAreReplaced(t *testing.T) {
	for name, silence := range map[string]proxier.Faults{
		"up": {SilenceUp: true}, "down": {SilenceDown: true}, "both": {SilenceUp: true, SilenceDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 2, plainTargets: 1, adjustProfile: manyAttemptsShortDeadline})
			load := startLoad(t, c.newLoader(), 6)
			load.waitForMore(t, 6)
			for range 2 {
				c.injectProxyFaults(silence, c.targetProxyNames()...)
				load.waitForMore(t, 12)
			}
			checkAllComplete(t, load.stop())
			var discarded int64
			for _, proxy := range c.targetProxyNames() {
				var stats proxier.Stats
				c.fetchStats(proxy, &stats)
				discarded += stats.Discarded
			}
			assert.Assert(t, discarded > 0, "no connection was silenced in use")
			assert.Equal(t, c.collectStats().mismatchedResumes, 0, "resumes at a wrong offset")
		})
	}
}

// TestGuaranteeIdleSilentConnectionsAreReplaced guards against using up a
// request's attempts on silent idle connections: there are more of them than a
// request has attempts.
func TestGuaranteeIdleSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 1, engines: 4, plainTargets: 4})
	l := c.newLoader()
	load := startLoad(t, l, 24)
	waitUntil(t, startTimeout, "all targets have started a request", func() bool { return !c.hasUnusedTarget() })
	load.stop()
	c.injectProxyFaults(proxier.Faults{SilenceDown: true}, c.targetProxyNames()...)
	checkAllComplete(t, []loader.Outcome{
		l.Complete(context.Background(), newPrompt("after silence", answerTokens)),
		l.Call(context.Background(), newLookup("after-silence")),
	})
}

// hasUnusedTarget reports whether any target has not started a request yet.
func (c *cluster) hasUnusedTarget() bool {
	for _, n := range c.collectStats().startedSinceMarkByTarget {
		if n == 0 {
			return true
		}
	}
	return false
}

// TestGuaranteeCutAnswersAreNotReportedComplete guards against incomplete answers
// that look complete to the caller, when a target cuts an answer that is not
// retried or when the daemon is killed in the middle of it.
func TestGuaranteeCutAnswersAreNotReportedComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 1, plainTargets: 1, adjustProfile: singleAttempt})
	l := c.newLoader(0)
	n := 1
	for name, f := range map[string]engine.Faults{"truncated": {TruncateNext: &n}, "reset": {ResetNext: &n}, "crossed": {CrossNext: &n}} {
		for _, stream := range []bool{true, false} {
			c.injectFaults("engine-01", f)
			p := newPrompt(name, answerTokens)
			p.Stream = stream
			o := l.Complete(context.Background(), p)
			assert.Assert(t, !o.Complete && o.Run == messenger.RunStateUnknown, "%s, stream %t: %+v", name, stream, o)
		}
	}
	c.injectFaults("plain-01", responder.Faults{TruncateNext: &n})
	o := l.Call(context.Background(), newLookup("cut"))
	assert.Assert(t, !o.Complete && o.Run == messenger.RunStateUnknown, "truncated plain answer: %+v", o)

	var group sync.WaitGroup
	var streamed, unstreamed loader.Outcome
	group.Go(func() { streamed = l.Complete(context.Background(), newPrompt("killed", 200)) })
	group.Go(func() {
		p := newPrompt("killed as well", 200)
		p.Stream = false
		unstreamed = l.Complete(context.Background(), p)
	})
	waitUntil(t, startTimeout, "both prompts run", func() bool {
		var e engine.Stats
		c.fetchStats("engine-01", &e)
		return e.Running >= 2 && e.GeneratedTokens > 0
	})
	c.hosts[0].kill()
	group.Wait()
	assert.Assert(t, !streamed.Complete && streamed.Err != nil, "%+v", streamed)
	assert.Assert(t, !unstreamed.Complete && unstreamed.Err != nil, "%+v", unstreamed)
}

// TestGuaranteeNotRunIsAccurate guards against requests that are reported as not
// run although a target ran them, while targets refuse requests, become
// unreachable, reset connections or stop responding.
func TestGuaranteeNotRunIsAccurate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 2, plainTargets: 2, adjustProfile: singleAttempt})
	load := startLoad(t, c.newLoader(), 8)
	n, yes, no := 3, true, false
	proxies := c.targetProxyNames()
	// Each fault is followed by requests without a new one, so that no circuit
	// breaker hides the next fault.
	for _, f := range []proxier.Faults{{Reset: true}, {Cut: true}, {SilenceDown: true}, {SilenceUp: true}} {
		load.waitForMore(t, 16)
		c.injectProxyFaults(f, proxies...)
	}
	load.waitForMore(t, 16)
	c.eachTarget(modelService, func(name string) { c.injectFaults(name, engine.Faults{Refuse: &yes}) })
	c.eachTarget(plainService, func(name string) { c.injectFaults(name, responder.Faults{Refuse: &yes}) })
	load.waitForMore(t, 16)
	c.eachTarget(modelService, func(name string) { c.injectFaults(name, engine.Faults{Refuse: &no, ResetNext: &n}) })
	c.eachTarget(plainService, func(name string) { c.injectFaults(name, responder.Faults{Refuse: &no, ResetNext: &n}) })
	load.waitForMore(t, 16)
	c.injectProxyFaults(proxier.Faults{Cut: true, Refuse: &yes}, proxies...)
	load.waitForMore(t, 16)
	outcomes := load.stop()
	byRunState := checkNotRunOutcomes(t, outcomes, c.collectStats())
	assert.Assert(t, byRunState[messenger.RunStateNotRun] > 0 && byRunState[messenger.RunStateUnknown] > 0, "outcomes by run state: %v", byRunState)
	for _, o := range outcomes {
		assert.Assert(t, o.Err == nil, "a caller got no answer: %+v", o)
		assert.Assert(t, o.Complete || o.Status != http.StatusOK || o.Run != "", "%+v", o)
		assert.Assert(t, o.Duration < 10*time.Second, "%+v", o)
	}
}
