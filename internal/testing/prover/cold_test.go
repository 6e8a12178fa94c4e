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

// restartAllTargets restarts all targets, which closes their connections.
func (c *cluster) restartAllTargets() {
	c.eachTarget(modelService, func(name string) { c.restartTarget(name, engine.Faults{Restart: true}) })
	c.eachTarget(plainService, func(name string) { c.restartTarget(name, responder.Faults{Restart: true}) })
}

// restartTarget injects a restart fault. It ignores the error, because the restart
// can close the connection of its own request; checkColdLimits verifies the
// number of restarts.
func (c *cluster) restartTarget(name string, faults any) { _ = c.postFaults(name, faults) }

// checkColdLimits fails the test if any target got more requests than its cold
// limit, or if the targets did not restart as often as expected.
func checkColdLimits(t *testing.T, s targetStats, restarts int) {
	t.Helper()
	assert.Equal(t, s.coldLimitExceeded, 0, "requests above a cold limit")
	assert.Equal(t, s.overloadCrashes, 0, "targets crashed from overload")
	assert.Equal(t, s.restarts, restarts, "restarts of the targets")
}

// TestGuaranteeColdStarts guards against overloading cold targets: all targets
// restart repeatedly under load through all daemons, at the end also while the
// platform is down and while it is slow.
func TestGuaranteeColdStarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, engines: 3, plainTargets: 1, startCold: true, warmRequests: 4, adjustProfile: manyAttempts})
	load := startLoad(t, c.newLoader(), 12)
	load.waitForMore(t, 40)
	restarts := 0
	restart := func() {
		c.restartAllTargets()
		restarts += len(c.fleet.Targets)
	}
	for range 3 {
		restart()
		load.waitForMore(t, 40)
	}
	c.setPlatformFaults(registrar.Faults{Down: true})
	restart()
	load.waitForMore(t, 20)
	restart()
	c.setPlatformFaults(registrar.Faults{Delay: specifier.Duration{Duration: 400 * time.Millisecond}})
	load.waitForMore(t, 20)
	restart()
	load.waitForMore(t, 20)
	c.setPlatformFaults(registrar.Faults{})
	load.waitForMore(t, 40)
	outcomes := load.stop()
	s := c.collectStats()
	checkColdLimits(t, s, restarts)
	checkNotRunOutcomes(t, outcomes, s)
	assert.Equal(t, s.mismatchedResumes, 0)
}

// ownerReportedBy returns the owner of a target that a host reports.
func (c *cluster) ownerReportedBy(target identifier.Target, reporter *host) identifier.Host {
	status, _ := c.fetchStatus(reporter)
	for _, s := range status.Targets {
		if s.Name == target {
			return s.Owner
		}
	}
	return ""
}

// waitForOwner waits until a host reports itself as the owner of a target.
func (c *cluster) waitForOwner(target identifier.Target) *host {
	c.t.Helper()
	var owner *host
	waitUntil(c.t, startTimeout, string(target)+" has an owner", func() bool {
		for _, h := range c.hosts {
			if c.ownerReportedBy(target, h) == h.settings.Host {
				owner = h
			}
		}
		return owner != nil
	})
	return owner
}

// TestGuaranteeColdStartsWithPausedOwner guards against two owners that use a cold
// target at once: the owner fills the target and is suspended past its lease, and
// resumes after its successor has started to use the target.
func TestGuaranteeColdStartsWithPausedOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, engines: 1, plainTargets: 1, startCold: true, warmRequests: 1 << 20, adjustProfile: manyAttempts})
	owner := c.waitForOwner("engine-01")
	l := newLoader(t, func() []netip.AddrPort { return []netip.AddrPort{owner.settings.Listen} })
	var long sync.WaitGroup
	for i := range coldLimit {
		p := newPrompt(fmt.Sprint("long ", i), 20*decodeRate)
		p.Deadline = time.Minute
		long.Go(func() { l.Complete(context.Background(), p) })
	}
	waitUntil(t, startTimeout, "the owner's requests fill the engine", func() bool {
		var e engine.Stats
		c.fetchStats("engine-01", &e)
		return e.Running == coldLimit
	})
	owner.pause(t)
	var callers []netip.AddrPort
	for _, h := range c.otherHosts(owner) {
		callers = append(callers, h.settings.Listen)
	}
	load := startLoad(t, newLoader(t, func() []netip.AddrPort { return callers }), 6)
	c.injectFaults("engine-01", engine.Faults{Mark: true})
	waitUntil(t, takeoverTimeout, "the new owner uses the engine", func() bool { return c.collectStats().startedSinceMarkByTarget["engine-01"] > coldLimit })
	owner.resume(t)
	load.waitForMore(t, 12)
	long.Wait()
	outcomes := load.stop()
	s := c.collectStats()
	checkColdLimits(t, s, 0)
	checkNotRunOutcomes(t, outcomes, s)
}

// takeoverTimeout bounds the time until a new owner uses a cold target: the
// longest use of the target by the previous owner plus a margin.
const takeoverTimeout = 50 * time.Second

// TestGuaranteeColdStartsWithKilledOwner guards against overloading cold targets
// when a daemon is killed and the others can't reach each other.
func TestGuaranteeColdStartsWithKilledOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, engines: 3, plainTargets: 1, startCold: true, warmRequests: 4, adjustProfile: manyAttempts})
	load := startLoad(t, c.newLoader(1, 2), 8)
	load.waitForMore(t, 20)
	c.restartAllTargets()
	c.hosts[0].kill()
	c.injectProxyFaults(cutConnections(), c.peerProxyNames()...)
	load.waitForMore(t, 20)
	c.restartAllTargets()
	load.waitForMore(t, 20)
	c.injectProxyFaults(restoreConnections(), c.peerProxyNames()...)
	c.hosts[0].start(t)
	waitUntil(t, startTimeout, "the daemon is back", c.hosts[0].isReady)
	load.waitForMore(t, 20)
	outcomes := load.stop()
	s := c.collectStats()
	checkColdLimits(t, s, 2*len(c.fleet.Targets))
	checkNotRunOutcomes(t, outcomes, s)
}

// TestGuaranteeColdStartsWithSilentConnections guards against overloading cold
// targets when all connections to targets and between daemons stop delivering
// data without being closed.
func TestGuaranteeColdStartsWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 2, plainTargets: 1, startCold: true, warmRequests: 4, adjustProfile: manyAttempts})
	load := startLoad(t, c.newLoader(), 8)
	load.waitForMore(t, 20)
	for range 2 {
		c.injectProxyFaults(proxier.Faults{SilenceDown: true}, c.peerProxyNames()...)
		c.injectProxyFaults(proxier.Faults{SilenceUp: true}, c.targetProxyNames()...)
		c.restartAllTargets()
		load.waitForMore(t, 20)
	}
	outcomes := load.stop()
	s := c.collectStats()
	checkColdLimits(t, s, 2*len(c.fleet.Targets))
	checkNotRunOutcomes(t, outcomes, s)
}

// TestGuaranteeColdStartsWhileIdle guards against treating a restarted engine as
// warm: it restarts without load and keeps its idle connections open, so that the
// daemons see no disconnect before all of them send requests at once.
func TestGuaranteeColdStartsWhileIdle(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, engines: 1, plainTargets: 1, startCold: true, warmRequests: 4, adjustProfile: manyAttempts})
	const rounds = 3
	const idleTime = 100 * time.Millisecond
	var outcomes []loader.Outcome
	for range rounds {
		load := startLoad(t, c.newLoader(), 12)
		load.waitForMore(t, 40)
		waitUntil(t, startTimeout, "the engine is warm", func() bool {
			var e engine.Stats
			c.fetchStats("engine-01", &e)
			return !e.Cold
		})
		outcomes = append(outcomes, load.stop()...)
		<-time.After(idleTime)
		c.restartTarget("engine-01", engine.Faults{RestartSilently: true})
	}
	load := startLoad(t, c.newLoader(), 12)
	load.waitForMore(t, 40)
	outcomes = append(outcomes, load.stop()...)
	s := c.collectStats()
	checkColdLimits(t, s, rounds)
	checkAllComplete(t, outcomes)
}

// TestGuaranteeColdStartsWithOpenConnections guards against overloading engines
// that restart under load but keep their idle connections open.
func TestGuaranteeColdStartsWithOpenConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 3, engines: 3, plainTargets: 1, startCold: true, warmRequests: 4, adjustProfile: manyAttempts})
	load := startLoad(t, c.newLoader(), 12)
	const rounds = 3
	for range rounds {
		load.waitForMore(t, 40)
		c.eachTarget(modelService, func(name string) { c.restartTarget(name, engine.Faults{RestartSilently: true}) })
	}
	load.waitForMore(t, 40)
	outcomes := load.stop()
	s := c.collectStats()
	checkColdLimits(t, s, rounds*3)
	checkNotRunOutcomes(t, outcomes, s)
}
