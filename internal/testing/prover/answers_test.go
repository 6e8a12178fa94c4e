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

// persistent lets each request be tried often.
func persistent(p *specifier.Profile) { p.RetryBudget, p.MaxAttempts = 1, 10 }

// once lets no request be tried a second time nor wait long.
func once(p *specifier.Profile) {
	p.RetryBudget, p.MaxAttempts = 0, 1
	p.DefaultDeadline = specifier.Duration{Duration: 4 * time.Second}
}

// TestGuaranteeAnswersSurviveBadFrames gives engines crossed, truncated,
// duplicated, reset and stalled answers.
func TestGuaranteeAnswersSurviveBadFrames(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 3, plains: 1, profile: persistent})
	run := startLoad(t, c.loader(), 6)
	run.more(t, 6)
	n, yes, no := 2, true, false
	for _, f := range []engine.Faults{{CrossNext: &n}, {TruncateNext: &n}, {DuplicateNext: &n}, {ResetNext: &n}} {
		c.each(prompts, func(name string) { c.fault(name, f) })
		run.more(t, 12)
	}
	c.fault("engine-01", engine.Faults{Freeze: &yes})
	run.more(t, 12)
	c.fault("engine-01", engine.Faults{Freeze: &no})
	outcomes := run.stop()
	checkWhole(t, outcomes)
	s := c.seen()
	checkTrue(t, outcomes, s)
	assert.Equal(t, s.mismatched, 0, "resumes at a wrong offset")
	assert.Assert(t, s.started > s.completed, "no answer was cut: %d started, %d completed", s.started, s.completed)
}

// TestGuaranteeSilentConnectionsAreReplaced silences the open connections to
// targets for good, while new ones work.
func TestGuaranteeSilentConnectionsAreReplaced(t *testing.T) {
	for name, silence := range map[string]proxier.Faults{
		"up": {SilenceUp: true}, "down": {SilenceDown: true}, "both": {SilenceUp: true, SilenceDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, plan{centres: 1, daemons: 2, engines: 2, plains: 1, profile: persistent})
			run := startLoad(t, c.loader(), 6)
			run.more(t, 6)
			for range 2 {
				c.proxies(silence, c.targetProxies()...)
				run.more(t, 12)
			}
			checkWhole(t, run.stop())
			var swallowed int64
			for _, proxy := range c.targetProxies() {
				var stats proxier.Stats
				c.stats(proxy, &stats)
				swallowed += stats.Swallowed
			}
			assert.Assert(t, swallowed > 0, "no connection was silenced in use")
			assert.Equal(t, c.seen().mismatched, 0, "resumes at a wrong offset")
		})
	}
}

// TestGuaranteeIdleSilentConnectionsAreReplaced silences the idle connections to
// all targets, of which there are more than a request may make attempts.
func TestGuaranteeIdleSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 1, engines: 4, plains: 4})
	l := c.loader()
	run := startLoad(t, l, 24)
	within(t, startLimit, "all targets have worked", func() bool { return !c.anyUnused() })
	run.stop()
	c.proxies(proxier.Faults{SilenceDown: true}, c.targetProxies()...)
	checkWhole(t, []loader.Outcome{
		l.Complete(context.Background(), prompt("after silence", answerTokens)),
		l.Call(context.Background(), lookup("after-silence")),
	})
}

// anyUnused reports whether any target has not started a request yet.
func (c *cluster) anyUnused() bool {
	for _, n := range c.seen().sinceMarkBy {
		if n == 0 {
			return true
		}
	}
	return false
}

// TestGuaranteeCutAnswersAreNotWhole cuts answers of requests that are not
// tried again and kills the daemon in the middle of a stream.
func TestGuaranteeCutAnswersAreNotWhole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 1, plains: 1, profile: once})
	l := c.loader(0)
	n := 1
	for name, f := range map[string]engine.Faults{"truncated": {TruncateNext: &n}, "reset": {ResetNext: &n}, "crossed": {CrossNext: &n}} {
		for _, stream := range []bool{true, false} {
			c.fault("engine-01", f)
			p := prompt(name, answerTokens)
			p.Stream = stream
			o := l.Complete(context.Background(), p)
			assert.Assert(t, !o.Whole && o.Run == messenger.RunUnknown, "%s, stream %t: %+v", name, stream, o)
		}
	}
	c.fault("plain-01", responder.Faults{TruncateNext: &n})
	o := l.Call(context.Background(), lookup("cut"))
	assert.Assert(t, !o.Whole && o.Run == messenger.RunUnknown, "truncated plain answer: %+v", o)

	var group sync.WaitGroup
	var streamed, whole loader.Outcome
	group.Go(func() { streamed = l.Complete(context.Background(), prompt("killed", 200)) })
	group.Go(func() {
		p := prompt("killed as well", 200)
		p.Stream = false
		whole = l.Complete(context.Background(), p)
	})
	within(t, startLimit, "both prompts run", func() bool {
		var e engine.Stats
		c.stats("engine-01", &e)
		return e.Running >= 2 && e.GeneratedTokens > 0
	})
	c.hosts[0].kill()
	group.Wait()
	assert.Assert(t, !streamed.Whole && streamed.Err != nil, "%+v", streamed)
	assert.Assert(t, !whole.Whole && whole.Err != nil, "%+v", whole)
}

// TestGuaranteeNotRunIsTrue compares the callers' answers with the runs that
// targets saw, while targets refuse, vanish, reset and fall silent.
func TestGuaranteeNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 2, plains: 2, profile: once})
	run := startLoad(t, c.loader(), 8)
	n, yes, no := 3, true, false
	proxies := c.targetProxies()
	// Each fault is followed by quiet, so that no breaker hides the next one.
	for _, f := range []proxier.Faults{{Reset: true}, {Cut: true}, {SilenceDown: true}, {SilenceUp: true}} {
		run.more(t, 16)
		c.proxies(f, proxies...)
	}
	run.more(t, 16)
	c.each(prompts, func(name string) { c.fault(name, engine.Faults{Refuse: &yes}) })
	c.each(orders, func(name string) { c.fault(name, responder.Faults{Refuse: &yes}) })
	run.more(t, 16)
	c.each(prompts, func(name string) { c.fault(name, engine.Faults{Refuse: &no, ResetNext: &n}) })
	c.each(orders, func(name string) { c.fault(name, responder.Faults{Refuse: &no, ResetNext: &n}) })
	run.more(t, 16)
	c.proxies(proxier.Faults{Cut: true, Refuse: &yes}, proxies...)
	run.more(t, 16)
	outcomes := run.stop()
	by := checkTrue(t, outcomes, c.seen())
	assert.Assert(t, by[messenger.RunNot] > 0 && by[messenger.RunUnknown] > 0, "outcomes by run: %v", by)
	for _, o := range outcomes {
		assert.Assert(t, o.Err == nil, "a caller got no answer: %+v", o)
		assert.Assert(t, o.Whole || o.Status != http.StatusOK || o.Run != "", "%+v", o)
		assert.Assert(t, o.Took < 10*time.Second, "%+v", o)
	}
}
