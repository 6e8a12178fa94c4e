package prover

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/commander"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
)

// inForceLimit is the time within which an accepted change is in force everywhere.
const inForceLimit = 4 * time.Second

// observer records the configuration versions that daemons say are in force.
type observer struct {
	mu      sync.Mutex
	highest map[identifier.Host]uint64
	reverts []error
}

// watchVersions polls all daemons until the test ends. A ready daemon, also one
// that was restarted, may not show a lower version than it showed before.
func (c *cluster) watchVersions() *observer {
	o := &observer{highest: map[identifier.Host]uint64{}}
	stop, done := make(chan struct{}), make(chan struct{})
	c.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			for _, h := range c.hosts {
				o.look(c, h)
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return o
}

func (o *observer) look(c *cluster, h *host) {
	status, ok := c.status(h)
	if !ok || !status.Ready {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if seen := o.highest[status.Host]; status.ConfigVersion < seen {
		o.reverts = append(o.reverts, errors.Newf("host %q went from version %d to %d", status.Host, seen, status.ConfigVersion))
		return
	}
	o.highest[status.Host] = status.ConfigVersion
}

// check fails if any daemon reverted.
func (o *observer) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, err := range o.reverts {
		t.Error(err)
	}
}

// version returns the version of the configuration that the platform holds.
func (c *cluster) version() uint64 {
	c.t.Helper()
	var object struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(c.t, c.get(c.objects, "/v1/objects/"+specifier.FleetKey, &object))
	return object.Version
}

// inForce fails unless hosts show a version in time.
func (c *cluster) inForce(version uint64, hosts ...*host) {
	c.t.Helper()
	within(c.t, inForceLimit, "version "+strconv.FormatUint(version, 10)+" is in force everywhere", func() bool {
		for _, h := range hosts {
			status, ok := c.status(h)
			if !ok || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

// change makes one change and returns the version that was accepted.
func (c *cluster) change(n int) uint64 {
	c.t.Helper()
	state := "out"
	if n%2 == 1 {
		state = "in"
	}
	c.accept("target", state, "engine-02")
	return c.version()
}

// TestGuaranteeConfigurationInForce changes the configuration while the object
// API is slow, loses answers and reads stale.
func TestGuaranteeConfigurationInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 3, daemons: 6, engines: 3, plains: 1})
	o := c.watchVersions()
	n := 0
	for _, f := range []registrar.Faults{
		{}, {Delay: specifier.Duration{Duration: 200 * time.Millisecond}}, {LoseShare: 0.4},
		{StaleFor: specifier.Duration{Duration: 500 * time.Millisecond}},
	} {
		c.platform(f)
		version := c.change(n)
		c.inForce(version, c.hosts...)
		n++
	}
	// Reads answer from before a change, while daemons restart after it.
	before := c.version()
	c.platform(registrar.Faults{StaleFor: specifier.Duration{Duration: 6 * time.Second}})
	c.accept("target", "in", "engine-02")
	c.inForce(before+1, c.hosts...)
	for _, h := range c.hosts[:3] {
		h.kill()
		h.start(t)
	}
	c.waitReady()
	c.inForce(before+1, c.hosts...)
	o.check(t)
}

// TestGuaranteeConfigurationAfterPartition parts the daemons from each other and
// one of them from the platform, changes the configuration, and heals the partition.
func TestGuaranteeConfigurationAfterPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 3, daemons: 3, engines: 3, plains: 1})
	o := c.watchVersions()
	cut := c.hosts[0]
	c.proxies(cutOff(), c.peerProxies()...)
	c.cutFromPlatform(cut)
	version := c.change(0)
	c.inForce(version, c.hosts[1:]...)
	c.proxies(heal(), c.peerProxies()...)
	c.inForce(version, c.hosts...)
	// The daemon that has heard of the change from peers only restarts without the platform.
	cut.kill()
	cut.start(t)
	within(t, startLimit, "the daemon is ready without the platform", cut.ready)
	c.inForce(version, cut)
	c.proxies(heal(), objectsOf(cut.settings.Host), membersOf(cut.settings.Host))
	c.inForce(c.change(1), c.hosts...)
	o.check(t)
}

// TestGuaranteeConfigurationWithDeadWatcherAndPartition kills a daemon and parts
// the others before a change.
func TestGuaranteeConfigurationWithDeadWatcherAndPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 4, engines: 2, plains: 1})
	for i, dead := range c.hosts[:2] {
		dead.kill()
		c.proxies(cutOff(), c.peerProxies()...)
		c.inForce(c.change(i), c.others(dead)...)
		c.proxies(heal(), c.peerProxies()...)
		dead.start(t)
		within(t, startLimit, "the daemon is back", dead.ready)
		c.inForce(c.version(), c.hosts...)
	}
}

// TestGuaranteeOperatorsRace lets operators change the same version at once:
// one wins, and the others hear that they lost.
func TestGuaranteeOperatorsRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 2, engines: 2, plains: 1})
	const operators = 6
	for round := range 3 {
		c.platform(registrar.Faults{LoseShare: 0.2 * float64(round)})
		expected := c.version()
		codes := make([]int, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				codes[i], _ = c.ctl("target", []string{"out", "in"}[round%2], "engine-01", "--expect", strconv.FormatUint(expected, 10), "-m", fmt.Sprint("operator ", i))
			})
		}
		group.Wait()
		won, lost := 0, 0
		for _, code := range codes {
			switch commander.ExitCode(code) {
			case commander.ExitOK:
				won++
			case commander.ExitLostRace:
				lost++
			}
		}
		assert.Assert(t, won == 1 && lost == operators-1, "round %d: exit codes %v", round, codes)
		c.inForce(c.version(), c.hosts...)
	}
}
