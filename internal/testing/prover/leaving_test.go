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

// leavingLimit is the time after which something that leaves gets no new work.
const leavingLimit = 3 * time.Second

// proveNoNewWork makes a change under load and fails if targets of the change
// get new work later than leavingLimit after it, or if any request is cut.
func (c *cluster) proveNoNewWork(change func(), leaving ...string) {
	t := c.t
	t.Helper()
	run := startLoad(t, c.loader(), 12)
	// Streams that last longer than the limit are running when the change comes.
	var group sync.WaitGroup
	long := make([]loader.Outcome, 2*len(leaving))
	l := c.loader()
	for i := range long {
		group.Go(func() { long[i] = l.Complete(context.Background(), prompt(fmt.Sprint("long ", i), 5*decodeRate)) })
	}
	within(t, startLimit, "the leaving targets have work", func() bool {
		s := c.seen()
		for _, name := range leaving {
			if s.sinceMarkBy[name] == 0 {
				return false
			}
		}
		return true
	})
	change()
	<-time.After(leavingLimit)
	for _, name := range leaving {
		c.fault(name, engine.Faults{Mark: true})
	}
	run.more(t, 60)
	s := c.seen()
	for _, name := range leaving {
		assert.Equal(t, s.sinceMarkBy[name], 0, "requests that %s got later than %v after it left", name, leavingLimit)
	}
	group.Wait()
	checkWhole(t, append(run.stop(), long...))
}

// inCentre returns the names of the targets in a data centre.
func (c *cluster) inCentre(name identifier.DataCentre) []string {
	var list []string
	for target, spec := range c.fleet.Targets {
		if spec.DataCentre == name {
			list = append(list, string(target))
		}
	}
	return list
}

// leave makes the membership list say that a target is leaving.
func (c *cluster) leave(name string) {
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

// threeCentres is a cluster in which each data centre has all parts.
var threeCentres = plan{centres: 3, daemons: 3, engines: 3, plains: 3, profile: persistent}

func TestGuaranteeDataCentreOutThenPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.proveNoNewWork(func() {
		c.accept("data-centre", "out", "centre-2")
		c.platform(registrar.Faults{Down: true})
	}, c.inCentre("centre-2")...)
}

// cutFromPlatform cuts a host off from the object API and the membership list.
func (c *cluster) cutFromPlatform(h *host) {
	c.proxies(cutOff(), objectsOf(h.settings.Host), membersOf(h.settings.Host))
}

func TestGuaranteeDataCentreOutHeardFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.cutFromPlatform(c.hosts[0])
	c.proveNoNewWork(func() { c.accept("data-centre", "out", "centre-1") }, c.inCentre("centre-1")...)
}

// TestGuaranteeDataCentreOutWithSilentPlatformConnections silences connections
// for longer than the time between two watches, so that it hits one of each daemon.
func TestGuaranteeDataCentreOutWithSilentPlatformConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	for range 5 {
		for _, h := range c.hosts {
			c.proxies(proxier.Faults{SilenceDown: true}, objectsOf(h.settings.Host))
		}
		<-time.After(250 * time.Millisecond)
	}
	c.proveNoNewWork(func() { c.accept("data-centre", "out", "centre-2") }, c.inCentre("centre-2")...)
}

func TestGuaranteeTargetOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.proveNoNewWork(func() { c.accept("target", "out", "engine-02") }, "engine-02")
}

func TestGuaranteeTargetLeaving(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.proveNoNewWork(func() { c.leave("engine-02"); c.leave("plain-03") }, "engine-02", "plain-03")
}

func TestGuaranteeTargetLeavingWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.proveNoNewWork(func() {
		for _, h := range c.hosts {
			c.proxies(proxier.Faults{SilenceDown: true}, membersOf(h.settings.Host))
		}
		c.leave("engine-02")
	}, "engine-02")
}

func TestGuaranteeTargetLeavingHeardFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.cutFromPlatform(c.hosts[0])
	c.proveNoNewWork(func() { c.leave("engine-01") }, "engine-01")
}

// TestGuaranteeHostOut takes a host out: the balancer must hear of it.
func TestGuaranteeHostOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, threeCentres)
	c.accept("host", "out", "entry-02")
	within(t, leavingLimit, "a host that is out is not ready", func() bool { return !c.hosts[1].ready() })
	c.accept("host", "in", "entry-02")
	within(t, leavingLimit, "a host that is in again is ready", c.hosts[1].ready)
}

// balanceInterval is the time between two looks of the balancer at a host.
const balanceInterval = 50 * time.Millisecond

// balancer follows the hosts' readiness until the test ends.
func (c *cluster) balancer() func() []netip.AddrPort {
	var list atomic.Pointer[[]netip.AddrPort]
	all := c.callers()
	list.Store(&all)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		ticker := time.NewTicker(balanceInterval)
		defer ticker.Stop()
		for {
			var ready []netip.AddrPort
			for _, h := range c.hosts {
				if h.ready() {
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

// TestGuaranteeRollingRestart restarts all daemons one by one under load.
func TestGuaranteeRollingRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 3, daemons: 3, engines: 3, plains: 3})
	run := startLoad(t, newLoader(t, c.balancer()), 12)
	for _, h := range c.hosts {
		run.more(t, 20)
		h.stop(t)
		h.start(t)
		within(t, startLimit, "the daemon is back", h.ready)
	}
	run.more(t, 20)
	checkWhole(t, run.stop())
}

// TestGuaranteeShutdownWithSilentConnections shuts a daemon down whose
// connections to targets have just fallen silent.
func TestGuaranteeShutdownWithSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 2, plains: 1, profile: persistent})
	run := startLoad(t, newLoader(t, c.balancer()), 8)
	for _, h := range c.hosts {
		run.more(t, 16)
		c.proxies(proxier.Faults{SilenceDown: true}, c.targetProxies()...)
		h.stop(t)
		h.start(t)
		within(t, startLimit, "the daemon is back", h.ready)
	}
	run.more(t, 16)
	outcomes := run.stop()
	checkWhole(t, outcomes)
	assert.Equal(t, c.seen().mismatched, 0)
}
