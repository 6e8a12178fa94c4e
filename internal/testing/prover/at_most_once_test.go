package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// checkNoDuplicateExecutions fails the test if plain targets executed any request
// more than once.
func checkNoDuplicateExecutions(t *testing.T, c *cluster) targetStats {
	t.Helper()
	s := c.collectStats()
	for key, n := range s.executions {
		if n > 1 {
			t.Errorf("request %q ran %d times", key, n)
		}
	}
	return s
}

// checkCompleteOrUnknown fails the test unless o is a complete answer or reports
// that it is unknown whether the request ran.
func checkCompleteOrUnknown(t *testing.T, what string, o loader.Outcome) {
	t.Helper()
	unknown := !o.Complete && o.Run == messenger.RunStateUnknown
	assert.Assert(t, o.Complete || unknown, "%s: %+v", what, o)
}

// TestGuaranteeAtMostOnceWithDuplicates guards against duplicate executions when
// copies of a payment arrive concurrently at all daemons.
func TestGuaranteeAtMostOnceWithDuplicates(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, plainTargets: 2})
	const keys, copies = 20, 2
	var group sync.WaitGroup
	outcomes := make([][]loader.Outcome, keys)
	for k := range keys {
		outcomes[k] = make([]loader.Outcome, copies*len(c.hosts))
		for i := range outcomes[k] {
			l := c.newLoader(i % len(c.hosts))
			group.Go(func() { outcomes[k][i] = l.Call(context.Background(), newPayment(fmt.Sprint("order-", k))) })
		}
	}
	group.Wait()
	s := checkNoDuplicateExecutions(t, c)
	assert.Equal(t, len(s.executions), keys)
	for k, list := range outcomes {
		var answer []byte
		for _, o := range list {
			checkCompleteOrUnknown(t, "duplicate", o)
			if o.Complete && answer == nil {
				answer = o.Body
			}
			assert.Assert(t, !o.Complete || bytes.Equal(o.Body, answer), "two answers of key %d", k)
		}
		assert.Assert(t, answer != nil, "no copy of key %d was answered", k)
	}
}

// TestGuaranteeAtMostOnceWithKilledDaemon guards against a second execution when
// a daemon is killed at various points of a payment and the caller repeats the
// payment through another daemon.
func TestGuaranteeAtMostOnceWithKilledDaemon(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, plainTargets: 1})
	delay := server.Duration{Duration: 40 * time.Millisecond}
	c.injectFaults("plain-01", responder.Faults{Delay: &delay})
	other := c.newLoader(1)
	for i, after := range []time.Duration{time.Millisecond, 4 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond, 55 * time.Millisecond} {
		key := fmt.Sprint("killed-", i)
		first := make(chan loader.Outcome, 1)
		go func() { first <- c.newLoader(0).Call(context.Background(), newPayment(key)) }()
		time.Sleep(after) // Varies the point at which the daemon is killed.
		c.hosts[0].kill()
		before := <-first
		repeat := other.Call(context.Background(), newPayment(key))
		checkNoDuplicateExecutions(t, c)
		if before.Complete {
			assert.Assert(t, repeat.Complete && bytes.Equal(before.Body, repeat.Body), "after %v: %+v", after, repeat)
		}
		checkCompleteOrUnknown(t, after.String(), repeat)
		c.hosts[0].start(t)
		waitUntil(t, startTimeout, "the daemon is back", c.hosts[0].isReady)
	}
}

// TestGuaranteeAtMostOnceWithPausedDaemon guards against a second execution when
// a daemon is suspended at various points of a payment, the caller repeats the
// payment through another daemon, and the first daemon then continues.
func TestGuaranteeAtMostOnceWithPausedDaemon(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, plainTargets: 1})
	paused, other := c.newLoader(0), c.newLoader(1)
	for i := range 12 {
		key := fmt.Sprint("paused-", i)
		first := make(chan loader.Outcome, 1)
		go func() { first <- paused.Call(context.Background(), newPayment(key)) }()
		time.Sleep(time.Duration(i) * 500 * time.Microsecond) // Varies the point at which the daemon is paused.
		c.hosts[0].pause(t)
		during := other.Call(context.Background(), newPayment(key))
		c.hosts[0].resume(t)
		before := <-first
		after := other.Call(context.Background(), newPayment(key))
		checkNoDuplicateExecutions(t, c)
		for _, o := range []loader.Outcome{before, during, after} {
			checkCompleteOrUnknown(t, key, o)
			assert.Assert(t, !o.Complete || !after.Complete || bytes.Equal(o.Body, after.Body), "two answers of %s", key)
		}
	}
}

// TestGuaranteeAtMostOnceWithLostAnswers guards against a second execution when
// the object API applies a write but its answer is lost, so that the daemon can't
// know whether the write took effect.
func TestGuaranteeAtMostOnceWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, plainTargets: 1})
	c.setPlatformFaults(registrar.Faults{LoseShare: 0.5})
	const keys = 16
	var group sync.WaitGroup
	first, second := make([]loader.Outcome, keys), make([]loader.Outcome, keys)
	a, b := c.newLoader(0), c.newLoader(1)
	for k := range keys {
		group.Go(func() {
			key := fmt.Sprint("lost-", k)
			first[k] = a.Call(context.Background(), newPayment(key))
			second[k] = b.Call(context.Background(), newPayment(key))
		})
	}
	group.Wait()
	s := checkNoDuplicateExecutions(t, c)
	checkNotRunOutcomes(t, append(first, second...), s)
	answered := 0
	for k := range keys {
		if first[k].Complete {
			answered++
			checkCompleteOrUnknown(t, "repeat", second[k])
		}
		if first[k].Complete && second[k].Complete {
			assert.Assert(t, bytes.Equal(first[k].Body, second[k].Body), "two answers of key %d", k)
		}
	}
	assert.Assert(t, answered > 0, "no payment was answered: %+v", first)
}

// TestGuaranteeAtMostOnceWithoutPlatform checks that no payment reaches a target
// while the platform is down, slow or throttling, and that the payments can be
// repeated afterwards.
func TestGuaranteeAtMostOnceWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, plainTargets: 1})
	l := c.newLoader()
	faults := map[string]registrar.Faults{
		"down": {Down: true}, "slow": {Delay: specifier.Duration{Duration: 3 * time.Second}}, "throttled": {Throttle: true},
	}
	for name, f := range faults {
		c.setPlatformFaults(f)
		call := newPayment("without-" + name)
		call.Deadline = time.Second
		o := l.Call(context.Background(), call)
		assert.Assert(t, !o.Complete && o.Run == messenger.RunStateNotRun, "%s: %+v", name, o)
		assert.Equal(t, len(c.collectStats().executions), 0, name)
	}
	c.setPlatformFaults(registrar.Faults{})
	for name := range faults {
		key := "without-" + name
		waitUntil(t, startTimeout, "payments that did not run succeed when repeated", func() bool {
			o := l.Call(context.Background(), newPayment(key))
			return o.Complete
		})
	}
	s := checkNoDuplicateExecutions(t, c)
	assert.Equal(t, len(s.executions), len(faults))
}

// TestGuaranteeAtMostOnceOnReusedConnections guards against a second execution by
// an automatic retry of the HTTP client, which may occur when a target resets a
// reused connection after it has read the request.
func TestGuaranteeAtMostOnceOnReusedConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, plainTargets: 1})
	n := 1
	for i := range 4 {
		assert.Assert(t, c.newLoader(0).Call(context.Background(), newPayment(fmt.Sprint("warm-", i))).Complete)
		c.injectFaults("plain-01", responder.Faults{ResetNext: &n})
		key := fmt.Sprint("reset-", i)
		o := c.newLoader(0).Call(context.Background(), newPayment(key))
		assert.Assert(t, !o.Complete && o.Run == messenger.RunStateUnknown, "%+v", o)
		repeat := c.newLoader(1).Call(context.Background(), newPayment(key))
		assert.Assert(t, !repeat.Complete && repeat.Run == messenger.RunStateUnknown, "%+v", repeat)
		s := checkNoDuplicateExecutions(t, c)
		assert.Equal(t, len(s.executions), 2*(i+1))
	}
}

// TestGuaranteeTeamIsolation checks that a team that sends another team's prompt
// or idempotency key gets neither its cached blocks nor its recorded answer.
func TestGuaranteeTeamIsolation(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 1, plainTargets: 1})
	l := c.newLoader()
	secret := newPrompt(longPrompt("secret recipe"), 4)
	assert.Assert(t, l.Complete(context.Background(), secret).Complete)
	own := l.Complete(context.Background(), secret)
	assert.Assert(t, own.Complete && own.CachedTokens > 0, "the team's own cache was not used: %+v", own)
	secret.Key = teamKey(1)
	foreign := l.Complete(context.Background(), secret)
	assert.Assert(t, foreign.Complete && foreign.CachedTokens == 0, "a team used the cache of another: %+v", foreign)

	mine, theirs := newPayment("shared-key"), newPayment("shared-key")
	theirs.Key = teamKey(1)
	first, second := l.Call(context.Background(), mine), l.Call(context.Background(), theirs)
	assert.Assert(t, first.Complete && second.Complete, "%+v %+v", first, second)
	s := checkNoDuplicateExecutions(t, c)
	assert.Equal(t, len(s.executions), 2, "each team's payment runs")
	for call, want := range map[*loader.Call][]byte{&mine: first.Body, &theirs: second.Body} {
		again := l.Call(context.Background(), *call)
		assert.Assert(t, again.Complete && bytes.Equal(again.Body, want), "the recorded answers are mixed up: %s", again.Body)
	}
	var a, b responder.Answer
	assert.NilError(t, json.Unmarshal(first.Body, &a))
	assert.NilError(t, json.Unmarshal(second.Body, &b))
	assert.Assert(t, a.RequestID != b.RequestID)
}
