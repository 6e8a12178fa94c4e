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

// post sends faults to a stand-in.
func (c *cluster) post(name string, faults any) error {
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

// fault applies faults to a stand-in.
func (c *cluster) fault(name string, faults any) {
	c.t.Helper()
	assert.NilError(c.t, c.post(name, faults), name)
}

// platform replaces the faults of the object API.
func (c *cluster) platform(f registrar.Faults) {
	c.t.Helper()
	c.fault("platform", f)
}

// proxies applies faults to the proxies with these names.
func (c *cluster) proxies(f proxier.Faults, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.fault(name, f)
	}
}

// cutOff and heal end and restore all connections through a proxy.
func cutOff() proxier.Faults { yes := true; return proxier.Faults{Cut: true, Refuse: &yes} }

func heal() proxier.Faults {
	no := false
	return proxier.Faults{Refuse: &no, Up: &proxier.Direction{}, Down: &proxier.Direction{}}
}

// peerProxies returns the names of the proxies before all hosts' peer addresses.
func (c *cluster) peerProxies() []string {
	var names []string
	for _, h := range c.hosts {
		names = append(names, before(h.settings.Host))
	}
	return names
}

// targetProxies returns the names of the proxies before all targets.
func (c *cluster) targetProxies() []string {
	var names []string
	for name := range c.fleet.Targets {
		names = append(names, before(name))
	}
	return names
}

func (c *cluster) get(address netip.AddrPort, path string, v any) error {
	response, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(v)
}

func (c *cluster) stats(name string, v any) {
	c.t.Helper()
	assert.NilError(c.t, c.get(c.control[name], server.PathStats, v), name)
}

// each calls f with the names of a service's targets.
func (c *cluster) each(service identifier.Service, f func(name string)) {
	for name, spec := range c.fleet.Targets {
		if spec.Service == service {
			f(string(name))
		}
	}
}

// seen is what all targets of a cluster saw.
type seen struct {
	// runs counts the runs of each request, by its ID.
	runs map[identifier.Request]int
	// executions counts the executions at plain targets, by idempotency key or request ID.
	executions                         map[string]int
	started, completed                 int
	mismatched, coldExceeded, fellOver int
	restarts, maxExecutions, sinceMark int
	sinceMarkBy                        map[string]int
}

// seen asks all targets.
func (c *cluster) seen() seen {
	c.t.Helper()
	s := seen{runs: map[identifier.Request]int{}, executions: map[string]int{}, sinceMarkBy: map[string]int{}}
	c.each(prompts, func(name string) {
		var e engine.Stats
		c.stats(name, &e)
		for id, n := range e.Runs {
			s.runs[id] += n
		}
		s.started += e.Started
		s.completed += e.Completed
		s.mismatched += e.MismatchedResumes
		s.coldExceeded += e.ColdLimitExceeded
		s.fellOver += e.FallOvers
		s.restarts += e.Restarts
		s.sinceMark += e.StartedSinceMark
		s.sinceMarkBy[name] = e.StartedSinceMark
	})
	c.each(orders, func(name string) {
		var p responder.Stats
		c.stats(name, &p)
		for key, n := range p.Executions {
			s.executions[key] += n
			s.runs[identifier.Request(key)] += n
		}
		s.coldExceeded += p.ColdLimitExceeded
		s.fellOver += p.FallOvers
		s.restarts += p.Restarts
		s.sinceMark += p.StartedSinceMark
		s.sinceMarkBy[name] = p.StartedSinceMark
	})
	for _, n := range s.executions {
		s.maxExecutions = max(s.maxExecutions, n)
	}
	return s
}

// status returns what a host's daemon says of itself, and false when it does not answer.
func (c *cluster) status(h *host) (describer.Status, bool) {
	var status describer.Status
	err := c.get(h.settings.OperatorListen, describer.PathStatus, &status)
	return status, err == nil
}
