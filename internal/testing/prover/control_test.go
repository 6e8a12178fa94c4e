package prover

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// postFaults sends faults to a stand-in's control address.
func (c *cluster) postFaults(name string, faults any) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+c.control[name].String()+server.PathFaults, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("stand-in %q answered %s", name, response.Status)
	}
	return nil
}

// injectFaults injects faults into a stand-in and fails the test if it refuses.
func (c *cluster) injectFaults(name string, faults any) {
	c.t.Helper()
	assert.NilError(c.t, c.postFaults(name, faults), name)
}

// setPlatformFaults replaces all faults of the object API.
func (c *cluster) setPlatformFaults(f registrar.Faults) {
	c.t.Helper()
	c.injectFaults("platform", f)
}

// injectProxyFaults injects faults into the named proxies.
func (c *cluster) injectProxyFaults(f proxier.Faults, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.injectFaults(name, f)
	}
}

// cutConnections returns the faults that close all connections through a proxy
// and refuse new ones.
func cutConnections() proxier.Faults { yes := true; return proxier.Faults{Cut: true, Refuse: &yes} }

// restoreConnections returns the faults that let connections through a proxy again.
func restoreConnections() proxier.Faults {
	no := false
	return proxier.Faults{Refuse: &no, Up: &proxier.Direction{}, Down: &proxier.Direction{}}
}

// peerProxyNames returns the names of the proxies in front of the hosts' peer
// addresses.
func (c *cluster) peerProxyNames() []string {
	var names []string
	for _, h := range c.hosts {
		names = append(names, proxyName(h.settings.Host))
	}
	return names
}

// targetProxyNames returns the names of the proxies in front of the targets.
func (c *cluster) targetProxyNames() []string {
	var names []string
	for name := range c.fleet.Targets {
		names = append(names, proxyName(name))
	}
	return names
}

// getJSON fetches a path and decodes the JSON response into v.
func (c *cluster) getJSON(address netip.AddrPort, path string, v any) error {
	response, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(v)
}

// fetchStats fetches the statistics of a stand-in into v.
func (c *cluster) fetchStats(name string, v any) {
	c.t.Helper()
	assert.NilError(c.t, c.getJSON(c.control[name], server.PathStats, v), name)
}

// eachTarget calls f with the name of each target of a service.
func (c *cluster) eachTarget(service identifier.Service, f func(name string)) {
	for name, spec := range c.fleet.Targets {
		if spec.Service == service {
			f(string(name))
		}
	}
}

// targetStats holds the summed statistics of a cluster's targets.
type targetStats struct {
	// runs counts the runs by request ID.
	runs map[identifier.Request]int
	// executions counts the executions at plain targets by idempotency key or, if
	// there is none, by request ID.
	executions                                            map[string]int
	started, completed                                    int
	mismatchedResumes, coldLimitExceeded, overloadCrashes int
	restarts, maxExecutions, startedSinceMark             int
	startedSinceMarkByTarget                              map[string]int
}

// collectStats fetches and sums the statistics of all targets.
func (c *cluster) collectStats() targetStats {
	c.t.Helper()
	s := targetStats{runs: map[identifier.Request]int{}, executions: map[string]int{}, startedSinceMarkByTarget: map[string]int{}}
	c.eachTarget(modelService, func(name string) {
		var e engine.Stats
		c.fetchStats(name, &e)
		for id, n := range e.Runs {
			s.runs[id] += n
		}
		s.started += e.Started
		s.completed += e.Completed
		s.mismatchedResumes += e.MismatchedResumes
		s.coldLimitExceeded += e.ColdLimitExceeded
		s.overloadCrashes += e.Crashes
		s.restarts += e.Restarts
		s.startedSinceMark += e.StartedSinceMark
		s.startedSinceMarkByTarget[name] = e.StartedSinceMark
	})
	c.eachTarget(plainService, func(name string) {
		var p responder.Stats
		c.fetchStats(name, &p)
		for key, n := range p.Executions {
			s.executions[key] += n
			s.runs[identifier.Request(key)] += n
		}
		s.coldLimitExceeded += p.ColdLimitExceeded
		s.overloadCrashes += p.Crashes
		s.restarts += p.Restarts
		s.startedSinceMark += p.StartedSinceMark
		s.startedSinceMarkByTarget[name] = p.StartedSinceMark
	})
	for _, n := range s.executions {
		s.maxExecutions = max(s.maxExecutions, n)
	}
	return s
}

// fetchStatus fetches the status of a host's daemon; it returns false if the
// daemon does not respond.
func (c *cluster) fetchStatus(h *host) (describer.Status, bool) {
	var status describer.Status
	err := c.getJSON(h.settings.OperatorListen, describer.PathStatus, &status)
	return status, err == nil
}
