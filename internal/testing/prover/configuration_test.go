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

// inForceLimit is the time within which an accepted change takes effect on all
// daemons.
const inForceLimit = 4 * time.Second

// versionObserver records the configuration versions that daemons report.
type versionObserver struct {
	mu          sync.Mutex
	highest     map[identifier.Host]uint64
	regressions []error
}

// watchVersions polls the configuration version of all daemons until the test
// ends. The version of a ready daemon must never decrease, not even after a
// restart.
func (c *cluster) watchVersions() *versionObserver {
	o := &versionObserver{highest: map[identifier.Host]uint64{}}
	stop, done := make(chan struct{}), make(chan struct{})
	c.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			for _, h := range c.hosts {
				o.observe(c, h)
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

// observe records the version of a host, or an error if it has decreased.
func (o *versionObserver) observe(c *cluster, h *host) {
	status, ok := c.fetchStatus(h)
	if !ok || !status.Ready {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if highest := o.highest[status.Host]; status.ConfigVersion < highest {
		o.regressions = append(o.regressions, errors.Newf("host %q went from version %d to %d", status.Host, highest, status.ConfigVersion))
		return
	}
	o.highest[status.Host] = status.ConfigVersion
}

// checkNoRegression fails the test if any daemon's version has decreased.
func (o *versionObserver) checkNoRegression(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, err := range o.regressions {
		t.Error(err)
	}
}

// configVersion returns the version of the configuration on the platform.
func (c *cluster) configVersion() uint64 {
	c.t.Helper()
	var object struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(c.t, c.getJSON(c.objects, "/v1/objects/"+specifier.FleetKey, &object))
	return object.Version
}

// waitInForce waits until hosts report at least a version, and fails the test
// after inForceLimit.
func (c *cluster) waitInForce(version uint64, hosts ...*host) {
	c.t.Helper()
	waitUntil(c.t, inForceLimit, "version "+strconv.FormatUint(version, 10)+" is in force everywhere", func() bool {
		for _, h := range hosts {
			status, ok := c.fetchStatus(h)
			if !ok || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

// changeConfig takes a target out if n is even and in if n is odd, and returns the
// new configuration version.
func (c *cluster) changeConfig(n int) uint64 {
	c.t.Helper()
	state := "out"
	if n%2 == 1 {
		state = "in"
	}
	c.mustRunCtl("target", state, "engine-02")
	return c.configVersion()
}

// TestGuaranteeConfigurationInForce guards against daemons that miss a change or
// go back to an older version while the object API is slow, loses answers or
// returns stale reads.
func TestGuaranteeConfigurationInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 3, daemons: 6, engines: 3, plainTargets: 1})
	o := c.watchVersions()
	n := 0
	for _, f := range []registrar.Faults{
		{}, {Delay: specifier.Duration{Duration: 200 * time.Millisecond}}, {LoseShare: 0.4},
		{StaleFor: specifier.Duration{Duration: 500 * time.Millisecond}},
	} {
		c.setPlatformFaults(f)
		version := c.changeConfig(n)
		c.waitInForce(version, c.hosts...)
		n++
	}
	// Daemons restart after a change while reads still return the version before it.
	before := c.configVersion()
	c.setPlatformFaults(registrar.Faults{StaleFor: specifier.Duration{Duration: 6 * time.Second}})
	c.mustRunCtl("target", "in", "engine-02")
	c.waitInForce(before+1, c.hosts...)
	for _, h := range c.hosts[:3] {
		h.kill()
		h.start(t)
	}
	c.waitAllReady()
	c.waitInForce(before+1, c.hosts...)
	o.checkNoRegression(t)
}

// TestGuaranteeConfigurationAfterPartition guards against a daemon that misses a
// change made while it can reach neither the platform nor its peers, and that
// loses it again when it restarts without the platform.
func TestGuaranteeConfigurationAfterPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 3, daemons: 3, engines: 3, plainTargets: 1})
	o := c.watchVersions()
	cut := c.hosts[0]
	c.injectProxyFaults(cutConnections(), c.peerProxyNames()...)
	c.isolateFromPlatform(cut)
	version := c.changeConfig(0)
	c.waitInForce(version, c.hosts[1:]...)
	c.injectProxyFaults(restoreConnections(), c.peerProxyNames()...)
	c.waitInForce(version, c.hosts...)
	// The daemon got the change only from peers and restarts without the platform.
	cut.kill()
	cut.start(t)
	waitUntil(t, startTimeout, "the daemon is ready without the platform", cut.isReady)
	c.waitInForce(version, cut)
	c.injectProxyFaults(restoreConnections(), objectProxyName(cut.settings.Host), memberProxyName(cut.settings.Host))
	c.waitInForce(c.changeConfig(1), c.hosts...)
	o.checkNoRegression(t)
}

// TestGuaranteeConfigurationWithKilledDaemonAndPartition guards against daemons
// that depend on another daemon for a change: one daemon is killed and the others
// can't reach each other.
func TestGuaranteeConfigurationWithKilledDaemonAndPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 4, engines: 2, plainTargets: 1})
	for i, dead := range c.hosts[:2] {
		dead.kill()
		c.injectProxyFaults(cutConnections(), c.peerProxyNames()...)
		c.waitInForce(c.changeConfig(i), c.otherHosts(dead)...)
		c.injectProxyFaults(restoreConnections(), c.peerProxyNames()...)
		dead.start(t)
		waitUntil(t, startTimeout, "the daemon is back", dead.isReady)
		c.waitInForce(c.configVersion(), c.hosts...)
	}
}

// TestGuaranteeConcurrentConfigurationChanges guards against lost updates: of
// several operators that change the same version at once, exactly one succeeds
// and the others get a conflict, also while the object API loses answers.
func TestGuaranteeConcurrentConfigurationChanges(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 2, engines: 2, plainTargets: 1})
	const operators = 6
	for round := range 3 {
		c.setPlatformFaults(registrar.Faults{LoseShare: 0.2 * float64(round)})
		expected := c.configVersion()
		codes := make([]int, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				codes[i], _ = c.runCtl("target", []string{"out", "in"}[round%2], "engine-01", "--expect", strconv.FormatUint(expected, 10), "-m", fmt.Sprint("operator ", i))
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
		c.waitInForce(c.configVersion(), c.hosts...)
	}
}
