package prover

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
)

// restartTargets restarts all targets, which cuts their connections.
func (c *cluster) restartTargets() {
	c.each(prompts, func(name string) { c.restart(name, engine.Faults{Restart: true}) })
	c.each(orders, func(name string) { c.restart(name, responder.Faults{Restart: true}) })
}

// restart posts a fault that also cuts its own connection; checkCold counts the restarts.
func (c *cluster) restart(name string, faults any) { _ = c.post(name, faults) }

// checkCold fails if any target got more than it bears while cold.
func checkCold(t *testing.T, s seen, restarts int) {
	t.Helper()
	assert.Equal(t, s.coldExceeded, 0, "requests above a cold limit")
	assert.Equal(t, s.fellOver, 0, "targets fell over")
	assert.Equal(t, s.restarts, restarts, "restarts of the targets")
}

// TestGuaranteeColdStarts restarts all targets again and again under the load of
// all daemons, in the end without and with a slow platform.
func TestGuaranteeColdStarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, engines: 3, plains: 1, cold: true, warmRequests: 4, profile: persistent})
	run := startLoad(t, c.loader(), 12)
	run.more(t, 40)
	restarts := 0
	restart := func() {
		c.restartTargets()
		restarts += len(c.fleet.Targets)
	}
	for range 3 {
		restart()
		run.more(t, 40)
	}
	c.platform(registrar.Faults{Down: true})
	restart()
	run.more(t, 20)
	restart()
	c.platform(registrar.Faults{Delay: specifier.Duration{Duration: 400 * time.Millisecond}})
	run.more(t, 20)
	restart()
	run.more(t, 20)
	c.platform(registrar.Faults{})
	run.more(t, 40)
	outcomes := run.stop()
	s := c.seen()
	checkCold(t, s, restarts)
	checkTrue(t, outcomes, s)
	assert.Equal(t, s.mismatched, 0)
}

// ownerOf returns the host that owns a target in the eyes of a host.
func (c *cluster) ownerOf(target identifier.Target, asked *host) identifier.Host {
	status, _ := c.status(asked)
	for _, s := range status.Targets {
		if s.Name == target {
			return s.Owner
		}
	}
	return ""
}

// owner returns the host that says itself that it owns a target.
func (c *cluster) owner(target identifier.Target) *host {
	c.t.Helper()
	var owner *host
	within(c.t, startLimit, string(target)+" has an owner", func() bool {
		for _, h := range c.hosts {
			if c.ownerOf(target, h) == h.settings.Host {
				owner = h
			}
		}
		return owner != nil
	})
	return owner
}

// TestGuaranteeColdStartsWithPausedOwner freezes the owner of a cold target past
// its lease while its requests fill the target, and continues it when its
// successor uses the target.
func TestGuaranteeColdStartsWithPausedOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, engines: 1, plains: 1, cold: true, warmRequests: 1 << 20, profile: persistent})
	owner := c.owner("engine-01")
	l := newLoader(t, func() []netip.AddrPort { return []netip.AddrPort{owner.settings.Listen} })
	var long sync.WaitGroup
	for i := range coldLimit {
		p := prompt(fmt.Sprint("long ", i), 20*decodeRate)
		p.Deadline = time.Minute
		long.Go(func() { l.Complete(context.Background(), p) })
	}
	within(t, startLimit, "the owner's requests fill the engine", func() bool {
		var e engine.Stats
		c.stats("engine-01", &e)
		return e.Running == coldLimit
	})
	owner.freeze(t)
	var callers []netip.AddrPort
	for _, h := range c.others(owner) {
		callers = append(callers, h.settings.Listen)
	}
	run := startLoad(t, newLoader(t, func() []netip.AddrPort { return callers }), 6)
	c.fault("engine-01", engine.Faults{Mark: true})
	within(t, takeOverLimit, "the new owner uses the engine", func() bool { return c.seen().sinceMarkBy["engine-01"] > coldLimit })
	owner.thaw(t)
	run.more(t, 12)
	long.Wait()
	outcomes := run.stop()
	s := c.seen()
	checkCold(t, s, 0)
	checkTrue(t, outcomes, s)
}

// takeOverLimit bounds the time until a new owner uses a cold target: the
// longest use of a cold target by the owner before it, and a margin.
const takeOverLimit = 50 * time.Second

// TestGuaranteeColdStartsWithDeadOwner kills a daemon and parts the others
// while all targets start cold.
func TestGuaranteeColdStartsWithDeadOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, engines: 3, plains: 1, cold: true, warmRequests: 4, profile: persistent})
	run := startLoad(t, c.loader(1, 2), 8)
	run.more(t, 20)
	c.restartTargets()
	c.hosts[0].kill()
	c.proxies(cutOff(), c.peerProxies()...)
	run.more(t, 20)
	c.restartTargets()
	run.more(t, 20)
	c.proxies(heal(), c.peerProxies()...)
	c.hosts[0].start(t)
	within(t, startLimit, "the daemon is back", c.hosts[0].ready)
	run.more(t, 20)
	outcomes := run.stop()
	s := c.seen()
	checkCold(t, s, 2*len(c.fleet.Targets))
	checkTrue(t, outcomes, s)
}

// TestGuaranteeColdStartsWithSilentConnections silences all connections to
// targets and between daemons while the targets start cold.
func TestGuaranteeColdStartsWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 2, plains: 1, cold: true, warmRequests: 4, profile: persistent})
	run := startLoad(t, c.loader(), 8)
	run.more(t, 20)
	for range 2 {
		c.proxies(proxier.Faults{SilenceDown: true}, c.peerProxies()...)
		c.proxies(proxier.Faults{SilenceUp: true}, c.targetProxies()...)
		c.restartTargets()
		run.more(t, 20)
	}
	outcomes := run.stop()
	s := c.seen()
	checkCold(t, s, 2*len(c.fleet.Targets))
	checkTrue(t, outcomes, s)
}

// TestGuaranteeColdStartsAtRest makes engines cold while they have no work and
// their idle connections stay open, and then sends work through all daemons at once.
func TestGuaranteeColdStartsAtRest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, engines: 1, plains: 1, cold: true, warmRequests: 4, profile: persistent})
	const rounds = 3
	const rest = 100 * time.Millisecond
	var outcomes []loader.Outcome
	for range rounds {
		run := startLoad(t, c.loader(), 12)
		run.more(t, 40)
		within(t, startLimit, "the engine is warm", func() bool {
			var e engine.Stats
			c.stats("engine-01", &e)
			return !e.Cold
		})
		outcomes = append(outcomes, run.stop()...)
		<-time.After(rest)
		c.restart("engine-01", engine.Faults{RestartSilently: true})
	}
	run := startLoad(t, c.loader(), 12)
	run.more(t, 40)
	outcomes = append(outcomes, run.stop()...)
	s := c.seen()
	checkCold(t, s, rounds)
	checkWhole(t, outcomes)
}

// TestGuaranteeColdStartsInPlace makes engines cold while their idle
// connections stay open.
func TestGuaranteeColdStartsInPlace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 3, engines: 3, plains: 1, cold: true, warmRequests: 4, profile: persistent})
	run := startLoad(t, c.loader(), 12)
	const rounds = 3
	for range rounds {
		run.more(t, 40)
		c.each(prompts, func(name string) { c.restart(name, engine.Faults{RestartSilently: true}) })
	}
	run.more(t, 40)
	outcomes := run.stop()
	s := c.seen()
	checkCold(t, s, rounds*3)
	checkTrue(t, outcomes, s)
}
