package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// The routes of the configuration, all on one host.
const (
	routeHost  = "pule25.example"
	routePay   = "/pay/"
	routeOrder = "/order/"
	routeAsk   = "/ask/"
	plainName  = "tienda"
	engineName = "asistente"
	modelName  = "daka510000"
)

// configuration is what the operator writes.
type configuration struct {
	version int
	// keys maps keys to tenants.
	keys map[string]string
	// coldPerS is the cold limit of the plain service.
	coldPerS float64
	// stores maps the addresses of stores to their capacities in tokens.
	stores map[string]int
}

// writeConfig writes a configuration as the operator does, and returns when the store had acknowledged it.
func (s *stage) writeConfig(c configuration) time.Time {
	type object = map[string]any
	tenants := []object{}
	for key, tenant := range c.keys {
		tenants = append(tenants, object{"name": tenant, "apiKeys": []string{key}, "priority": 1})
	}
	services := []object{
		{"name": plainName, "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "coldS": coldTime.Seconds(), "coldPerS": c.coldPerS},
		{"name": engineName, "healthPath": "/healthz", "maxConns": 300, "proto": "h1", "coldS": coldTime.Seconds(), "coldPerS": 13.0,
			"engine": object{"slots": 48, "kvCapacity": 63375, "tokenKvBytes": 192512, "models": []object{{"name": modelName}}}},
	}
	for addr, capacity := range c.stores {
		services = append(services, object{"name": "memoria-" + addr, "kvStoreAddr": addr, "zone": zones[1], "kvCapacity": capacity, "linkMbps": 2e6, "maxInflight": 12, "managed": true, "first_ms": 0.5})
	}
	raw, err := json.Marshal(object{
		"version": c.version,
		"routes": []object{
			{"name": "r-pay", "host": routeHost, "pathPrefix": routePay, "kind": "unsafe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": plainName, "attempts": 1},
			{"name": "r-order", "host": routeHost, "pathPrefix": routeOrder, "kind": "unsafe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": plainName, "attempts": 1, "public": true},
			{"name": "r-ask", "host": routeHost, "pathPrefix": routeAsk, "kind": "stream", "timeoutMs": 15000, "goalMs": 300, "priority": 1, "service": engineName, "attempts": 1, "sticky": true, "gapAimMs": 150},
		},
		"services": services,
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err) // Can't happen: the configuration has plain values only.
	}
	s.store.Put(imitator.KindConfig, imitator.ConfigName, string(raw))
	s.note("the operator's configuration %d is acknowledged, with %d keys", c.version, len(c.keys))
	return time.Now()
}

var lastRequest atomic.Int64

// nextID returns a new request ID.
func nextID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// answer is what a caller got. Status is 0 if it got none.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// kept is true if the request was not the first one on its connection.
	kept   bool
	sealed bool
	body   string
	err    error
}

// request describes one attempt of a caller.
type request struct {
	method, path, key, body string
	deadline                time.Duration
	// leaves is how long the caller waits before it leaves, or 0 for the deadline.
	leaves time.Duration
	header http.Header
}

// caller sends requests to one host.
type caller struct {
	stage  *stage
	client http.Client
}

// newCaller returns a caller that opens a connection for each request unless keep is true.
func (s *stage) newCaller(keep bool) *caller {
	return &caller{stage: s, client: http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends one request to a host, returns the answer, and records both.
func (c *caller) send(h *host, q request) answer {
	a := c.exchange(h, q)
	c.stage.note("%s sent at %.3f to %s with key %s: %s", a.id, a.sentAt.Sub(c.stage.began).Seconds(), h.name, q.key, a)
	return a
}

func (c *caller) exchange(h *host, q request) answer {
	a := answer{id: nextID(), sentAt: time.Now()}
	c.stage.runs.setSent(a.id, a.sentAt)
	req, err := http.NewRequest(q.method, "http://"+netip.AddrPortFrom(h.addr, callerPort).String()+q.path+a.id, strings.NewReader(q.body))
	if err != nil {
		panic(err) // Can't happen: the cases choose the paths.
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, values := range q.header {
		req.Header[name] = values
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.kept = c.Reused }}))
	client := c.client
	client.Timeout = cmp.Or(q.leaves, q.deadline)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }() // All of the body has been read, or the answer is incomplete.
	raw, err := io.ReadAll(resp.Body)
	a.status, a.sealed, a.body, a.err = resp.StatusCode, resp.Header.Get("Reply-Seal") != "", string(raw), err
	return a
}

// closedUnanswered reports whether the connection ended before any of the answer came. A caller that left has closed it
// itself.
func (a answer) closedUnanswered() bool {
	var failure net.Error
	left := errors.As(a.err, &failure) && failure.Timeout()
	return a.err != nil && a.status == 0 && !left
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return "no answer"
	case a.err != nil:
		return fmt.Sprintf("status %d, not complete", a.status)
	}
	return fmt.Sprintf("status %d, sealed %v", a.status, a.sealed)
}
