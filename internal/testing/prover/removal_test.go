package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// noNewWorkLimit is the time within which a target or data centre that leaves
// stops getting new requests.
const noNewWorkLimit = 3 * time.Second

// checkNoNewWork makes a change under load and fails the test if the leaving
// targets get new requests more than noNewWorkLimit later, or if any request
// fails.
func (c *cluster) checkNoNewWork(change func(), leaving ...string) {
	t := c.t
	t.Helper()
	load := startLoad(t, c.newLoader(), 12)
	// Start streams that last longer than the limit, so that some are running at
	// the time of the change.
	var group sync.WaitGroup
	long := make([]loader.Outcome, 2*len(leaving))
	l := c.newLoader()
	for i := range long {
		group.Go(func() { long[i] = l.Complete(context.Background(), newPrompt(fmt.Sprint("long ", i), 5*decodeRate)) })
	}
	waitUntil(t, startTimeout, "the leaving targets have work", func() bool {
		s := c.collectStats()
		for _, name := range leaving {
			if s.startedSinceMarkByTarget[name] == 0 {
				return false
			}
		}
		return true
	})
	change()
	<-time.After(noNewWorkLimit)
	for _, name := range leaving {
		c.injectFaults(name, engine.Faults{Mark: true})
	}
	load.waitForMore(t, 60)
	s := c.collectStats()
	for _, name := range leaving {
		assert.Equal(t, s.startedSinceMarkByTarget[name], 0, "requests that %s got later than %v after it left", name, noNewWorkLimit)
	}
	group.Wait()
	checkAllComplete(t, append(load.stop(), long...))
}

// targetsIn returns the names of the targets in a data centre.
func (c *cluster) targetsIn(name identifier.DataCentre) []string {
	var list []string
	for target, spec := range c.fleet.Targets {
		if spec.DataCentre == name {
			list = append(list, string(target))
		}
	}
	return list
}

// setMemberLeaving marks a target as leaving in the membership list.
func (c *cluster) setMemberLeaving(name string) {
	c.t.Helper()
	spec := c.fleet.Targets[identifier.Target(name)]
	raw, err := json.Marshal(messenger.Member{
		Name: name, Role: messenger.RoleTarget, DataCentre: spec.DataCentre, Address: spec.Address, State: messenger.MemberLeaving,
	})
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.control["members"].String()+messenger.PathMembers, bytes.NewReader(raw))
	assert.NilError(c.t, err)
	response, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	assert.NilError(c.t, response.Body.Close())
	assert.Equal(c.t, response.StatusCode, http.StatusNoContent)
}

// threeDataCentres is a cluster with a daemon, an engine and a plain target in
// each data centre.
var threeDataCentres = clusterSpec{dataCentres: 3, daemons: 3, engines: 3, plainTargets: 3, adjustProfile: manyAttempts}

// TestGuaranteeDataCentreOutThenPlatformDown guards against losing the change when
// the platform fails right after accepting it.
func TestGuaranteeDataCentreOutThenPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.checkNoNewWork(func() {
		c.mustRunCtl("data-centre", "out", "centre-2")
		c.setPlatformFaults(registrar.Faults{Down: true})
	}, c.targetsIn("centre-2")...)
}

// isolateFromPlatform cuts a host off from the object API and the membership list.
func (c *cluster) isolateFromPlatform(h *host) {
	c.injectProxyFaults(cutConnections(), objectProxyName(h.settings.Host), memberProxyName(h.settings.Host))
}

// TestGuaranteeDataCentreOutLearnedFromPeers guards against a daemon that misses
// the change because it can't reach the platform; its peers pass it on.
func TestGuaranteeDataCentreOutLearnedFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.isolateFromPlatform(c.hosts[0])
	c.checkNoNewWork(func() { c.mustRunCtl("data-centre", "out", "centre-1") }, c.targetsIn("centre-1")...)
}

// TestGuaranteeDataCentreOutWithSilentPlatformConnections guards against daemons
// that miss the change because a watch hangs on a silent connection. The faults
// repeat for longer than the time between two watches, so that they hit a watch
// of each daemon.
func TestGuaranteeDataCentreOutWithSilentPlatformConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	for range 5 {
		for _, h := range c.hosts {
			c.injectProxyFaults(proxier.Faults{SilenceDown: true}, objectProxyName(h.settings.Host))
		}
		<-time.After(250 * time.Millisecond)
	}
	c.checkNoNewWork(func() { c.mustRunCtl("data-centre", "out", "centre-2") }, c.targetsIn("centre-2")...)
}

// TestGuaranteeTargetOut checks that a target that an operator takes out gets no
// new requests.
func TestGuaranteeTargetOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.checkNoNewWork(func() { c.mustRunCtl("target", "out", "engine-02") }, "engine-02")
}

// TestGuaranteeTargetLeaving checks that targets that the membership list reports
// as leaving get no new requests.
func TestGuaranteeTargetLeaving(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.checkNoNewWork(func() { c.setMemberLeaving("engine-02"); c.setMemberLeaving("plain-03") }, "engine-02", "plain-03")
}

// TestGuaranteeTargetLeavingWithSilentConnections guards against daemons that miss
// a leaving target because their connections to the membership list are silent.
func TestGuaranteeTargetLeavingWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.checkNoNewWork(func() {
		for _, h := range c.hosts {
			c.injectProxyFaults(proxier.Faults{SilenceDown: true}, memberProxyName(h.settings.Host))
		}
		c.setMemberLeaving("engine-02")
	}, "engine-02")
}

// TestGuaranteeTargetLeavingLearnedFromPeers guards against a daemon that misses a
// leaving target because it can't reach the platform; its peers pass it on.
func TestGuaranteeTargetLeavingLearnedFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.isolateFromPlatform(c.hosts[0])
	c.checkNoNewWork(func() { c.setMemberLeaving("engine-01") }, "engine-01")
}

// TestGuaranteeHostOut checks that a host that is taken out fails its readiness
// check, so that the load balancer stops sending requests to it.
func TestGuaranteeHostOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeDataCentres)
	c.mustRunCtl("host", "out", "entry-02")
	waitUntil(t, noNewWorkLimit, "a host that is out is not ready", func() bool { return !c.hosts[1].isReady() })
	c.mustRunCtl("host", "in", "entry-02")
	waitUntil(t, noNewWorkLimit, "a host that is in again is ready", c.hosts[1].isReady)
}

// readinessInterval is the time between two readiness checks of a host by the
// load balancer.
const readinessInterval = 50 * time.Millisecond

// startBalancer polls the hosts' readiness until the test ends and returns a
// function that returns the addresses of the ready hosts.
func (c *cluster) startBalancer() func() []netip.AddrPort {
	var list atomic.Pointer[[]netip.AddrPort]
	all := c.callerAddresses()
	list.Store(&all)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		ticker := time.NewTicker(readinessInterval)
		defer ticker.Stop()
		for {
			var ready []netip.AddrPort
			for _, h := range c.hosts {
				if h.isReady() {
					ready = append(ready, h.settings.Listen)
				}
			}
			list.Store(&ready)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return func() []netip.AddrPort { return *list.Load() }
}

// TestGuaranteeRollingRestart guards against requests that fail while the daemons
// restart one by one.
func TestGuaranteeRollingRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 3, daemons: 3, engines: 3, plainTargets: 3})
	load := startLoad(t, newLoader(t, c.startBalancer()), 12)
	for _, h := range c.hosts {
		load.waitForMore(t, 20)
		h.stop(t)
		h.start(t)
		waitUntil(t, startTimeout, "the daemon is back", h.isReady)
	}
	load.waitForMore(t, 20)
	checkAllComplete(t, load.stop())
}

// TestGuaranteeShutdownWithSilentConnections guards against requests that fail
// when a daemon shuts down just after its connections to targets have become
// silent.
func TestGuaranteeShutdownWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 2, plainTargets: 1, adjustProfile: manyAttempts})
	load := startLoad(t, newLoader(t, c.startBalancer()), 8)
	for _, h := range c.hosts {
		load.waitForMore(t, 16)
		c.injectProxyFaults(proxier.Faults{SilenceDown: true}, c.targetProxyNames()...)
		h.stop(t)
		h.start(t)
		waitUntil(t, startTimeout, "the daemon is back", h.isReady)
	}
	load.waitForMore(t, 16)
	outcomes := load.stop()
	checkAllComplete(t, outcomes)
	assert.Equal(t, c.collectStats().mismatchedResumes, 0)
}
