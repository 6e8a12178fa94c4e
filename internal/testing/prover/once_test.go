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

// checkOnce fails if any request ran twice at plain targets.
func checkOnce(t *testing.T, c *cluster) seen {
	t.Helper()
	s := c.seen()
	for key, n := range s.executions {
		if n > 1 {
			t.Errorf("request %q ran %d times", key, n)
		}
	}
	return s
}

// checkSettled fails unless o is a whole answer or says truthfully that the outcome is unknown.
func checkSettled(t *testing.T, what string, o loader.Outcome) {
	t.Helper()
	honest := !o.Whole && o.Run == messenger.RunUnknown
	assert.Assert(t, o.Whole || honest, "%s: %+v", what, o)
}

// TestGuaranteeOnceWithDuplicates sends each payment several times at once
// through all daemons.
func TestGuaranteeOnceWithDuplicates(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, plains: 2})
	const keys, copies = 20, 2
	var group sync.WaitGroup
	outcomes := make([][]loader.Outcome, keys)
	for k := range keys {
		outcomes[k] = make([]loader.Outcome, copies*len(c.hosts))
		for i := range outcomes[k] {
			l := c.loader(i % len(c.hosts))
			group.Go(func() { outcomes[k][i] = l.Call(context.Background(), payment(fmt.Sprint("order-", k))) })
		}
	}
	group.Wait()
	s := checkOnce(t, c)
	assert.Equal(t, len(s.executions), keys)
	for k, list := range outcomes {
		var answer []byte
		for _, o := range list {
			checkSettled(t, "duplicate", o)
			if o.Whole && answer == nil {
				answer = o.Body
			}
			assert.Assert(t, !o.Whole || bytes.Equal(o.Body, answer), "two answers of key %d", k)
		}
		assert.Assert(t, answer != nil, "no copy of key %d was answered", k)
	}
}

// TestGuaranteeOnceWhenDaemonsDie kills the daemon of a payment at several
// moments and repeats the payment through another daemon.
func TestGuaranteeOnceWhenDaemonsDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, plains: 1})
	delay := server.Duration{Duration: 40 * time.Millisecond}
	c.fault("plain-01", responder.Faults{Delay: &delay})
	other := c.loader(1)
	for i, after := range []time.Duration{time.Millisecond, 4 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond, 55 * time.Millisecond} {
		key := fmt.Sprint("killed-", i)
		first := make(chan loader.Outcome, 1)
		go func() { first <- c.loader(0).Call(context.Background(), payment(key)) }()
		time.Sleep(after) // The moment of the fault.
		c.hosts[0].kill()
		before := <-first
		repeat := other.Call(context.Background(), payment(key))
		checkOnce(t, c)
		if before.Whole {
			assert.Assert(t, repeat.Whole && bytes.Equal(before.Body, repeat.Body), "after %v: %+v", after, repeat)
		}
		checkSettled(t, after.String(), repeat)
		c.hosts[0].start(t)
		within(t, startLimit, "the daemon is back", c.hosts[0].ready)
	}
}

// TestGuaranteeOnceWhenDaemonsPause freezes the daemon of a payment at several
// moments, repeats the payment through another daemon and lets the first go on.
func TestGuaranteeOnceWhenDaemonsPause(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, plains: 1})
	frozen, other := c.loader(0), c.loader(1)
	for i := range 12 {
		key := fmt.Sprint("paused-", i)
		first := make(chan loader.Outcome, 1)
		go func() { first <- frozen.Call(context.Background(), payment(key)) }()
		time.Sleep(time.Duration(i) * 500 * time.Microsecond) // The moment of the fault.
		c.hosts[0].freeze(t)
		during := other.Call(context.Background(), payment(key))
		c.hosts[0].thaw(t)
		before := <-first
		after := other.Call(context.Background(), payment(key))
		checkOnce(t, c)
		for _, o := range []loader.Outcome{before, during, after} {
			checkSettled(t, key, o)
			assert.Assert(t, !o.Whole || !after.Whole || bytes.Equal(o.Body, after.Body), "two answers of %s", key)
		}
	}
}

// TestGuaranteeOnceWithLostAnswers loses answers of the object API after its
// writes took effect.
func TestGuaranteeOnceWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, plains: 1})
	c.platform(registrar.Faults{LoseShare: 0.5})
	const keys = 16
	var group sync.WaitGroup
	first, second := make([]loader.Outcome, keys), make([]loader.Outcome, keys)
	a, b := c.loader(0), c.loader(1)
	for k := range keys {
		group.Go(func() {
			key := fmt.Sprint("lost-", k)
			first[k] = a.Call(context.Background(), payment(key))
			second[k] = b.Call(context.Background(), payment(key))
		})
	}
	group.Wait()
	s := checkOnce(t, c)
	checkTrue(t, append(first, second...), s)
	answered := 0
	for k := range keys {
		if first[k].Whole {
			answered++
			checkSettled(t, "repeat", second[k])
		}
		if first[k].Whole && second[k].Whole {
			assert.Assert(t, bytes.Equal(first[k].Body, second[k].Body), "two answers of key %d", k)
		}
	}
	assert.Assert(t, answered > 0, "no payment was answered: %+v", first)
}

// TestGuaranteeOnceWithoutPlatform sends payments while the platform is down,
// slow and throttling: nothing may be sent to targets.
func TestGuaranteeOnceWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, plains: 1})
	l := c.loader()
	faults := map[string]registrar.Faults{
		"down": {Down: true}, "slow": {Delay: specifier.Duration{Duration: 3 * time.Second}}, "throttled": {Throttle: true},
	}
	for name, f := range faults {
		c.platform(f)
		call := payment("without-" + name)
		call.Deadline = time.Second
		o := l.Call(context.Background(), call)
		assert.Assert(t, !o.Whole && o.Run == messenger.RunNot, "%s: %+v", name, o)
		assert.Equal(t, len(c.seen().executions), 0, name)
	}
	c.platform(registrar.Faults{})
	for name := range faults {
		key := "without-" + name
		within(t, startLimit, "a payment that did not run can be repeated", func() bool {
			o := l.Call(context.Background(), payment(key))
			return o.Whole
		})
	}
	s := checkOnce(t, c)
	assert.Equal(t, len(s.executions), len(faults))
}

// TestGuaranteeOnceOnReusedConnections resets connections that were used before,
// after the request was read.
func TestGuaranteeOnceOnReusedConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, plains: 1})
	n := 1
	for i := range 4 {
		assert.Assert(t, c.loader(0).Call(context.Background(), payment(fmt.Sprint("warm-", i))).Whole)
		c.fault("plain-01", responder.Faults{ResetNext: &n})
		key := fmt.Sprint("reset-", i)
		o := c.loader(0).Call(context.Background(), payment(key))
		assert.Assert(t, !o.Whole && o.Run == messenger.RunUnknown, "%+v", o)
		repeat := c.loader(1).Call(context.Background(), payment(key))
		assert.Assert(t, !repeat.Whole && repeat.Run == messenger.RunUnknown, "%+v", repeat)
		s := checkOnce(t, c)
		assert.Equal(t, len(s.executions), 2*(i+1))
	}
}

// TestGuaranteeTeamsStayApart uses one team's prompt and idempotency key as another team.
func TestGuaranteeTeamsStayApart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 1, plains: 1})
	l := c.loader()
	secret := prompt(longText("secret recipe"), 4)
	assert.Assert(t, l.Complete(context.Background(), secret).Whole)
	own := l.Complete(context.Background(), secret)
	assert.Assert(t, own.Whole && own.CachedTokens > 0, "the team's own cache was not used: %+v", own)
	secret.Key = teamKey(1)
	foreign := l.Complete(context.Background(), secret)
	assert.Assert(t, foreign.Whole && foreign.CachedTokens == 0, "a team used the cache of another: %+v", foreign)

	mine, theirs := payment("shared-key"), payment("shared-key")
	theirs.Key = teamKey(1)
	first, second := l.Call(context.Background(), mine), l.Call(context.Background(), theirs)
	assert.Assert(t, first.Whole && second.Whole, "%+v %+v", first, second)
	s := checkOnce(t, c)
	assert.Equal(t, len(s.executions), 2, "each team's payment runs")
	for call, want := range map[*loader.Call][]byte{&mine: first.Body, &theirs: second.Body} {
		again := l.Call(context.Background(), *call)
		assert.Assert(t, again.Whole && bytes.Equal(again.Body, want), "the recorded answers are mixed up: %s", again.Body)
	}
	var a, b responder.Answer
	assert.NilError(t, json.Unmarshal(first.Body, &a))
	assert.NilError(t, json.Unmarshal(second.Body, &b))
	assert.Assert(t, a.RequestID != b.RequestID)
}
