package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// applyTime is bounds.applyMs.
	applyTime = 2 * time.Second
	// saveDelay is longer than a relay that has just started saves nothing to a store.
	saveDelay = 5 * time.Second
	engines   = 2
	model     = "daka510000"
	llmPath   = "/cufi501/fi50/"
	// storeTokens is the capacity of the store of cache parts.
	storeTokens = 1573921
	otherTenant = "jeye930"
	// prompts is the number of different shared parts.
	prompts = 10
)

// tenantKeys are the keys of the two tenants, of which one becomes isolated.
var tenantKeys = map[string]string{otherTenant: "nu6wsjnbanfqasnmgkcu", imitator.IsolatedTeam: "yj8pjbvk9m68k7b2ex5w"}

// observer records what the engines see.
type observer struct {
	record *record
	mu     sync.Mutex
	// shared are the times at which a request used a part that a request of another tenant made.
	shared []time.Time
}

// RequestReached implements imitator.Observer.
func (o *observer) RequestReached(imitator.Arrival) {}

// RequestStarted implements imitator.Observer.
func (o *observer) RequestStarted(run imitator.Run) {
	o.record.write("engine", "runs", "id", run.ID, "tenant", run.Team, "salt", run.Salt, "parts", strings.Join(run.Parts, ","))
}

// OrderReceived implements imitator.Observer.
func (o *observer) OrderReceived(imitator.Order) {}

// RuleViolated implements imitator.Observer. The parts of one tenant count as isolated all the time; the case
// counts those only that are used while it is.
func (o *observer) RuleViolated(rule, detail string) {
	o.record.write("engine", rule, "detail", detail)
	if rule != "isolated teams" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shared = append(o.shared, time.Now())
}

// llmConfiguration returns a configuration with engines, a store of cache parts, and two tenants.
func llmConfiguration(version int, store string, isolated bool) map[string]any {
	type object = map[string]any
	return object{
		"version": version,
		"routes":  []object{{"name": "r-llm", "host": routeHost, "pathPrefix": llmPath, "kind": "stream", "timeoutMs": 15000, "goalMs": 200, "priority": 0, "service": "wording-models", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 150}},
		"services": []object{
			{"name": "wording-models", "healthPath": "/healthz", "maxConns": 300, "proto": "h1", "tls": false, "coldS": 3.0, "coldPerS": 13.0, "engine": object{"slots": 48, "kvCapacity": 63372, "tokenKvBytes": 192512, "linkMbps": 1500000.0, "managed": true, "stride": 4, "maxInflight": 12, "models": []object{{"name": model}}}},
			{"name": "label-memory", "kvStoreAddr": store, "zone": zones[0], "kvCapacity": storeTokens, "linkMbps": 590000.0, "maxInflight": 12, "managed": true, "first_ms": 6.0},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{
			{"name": otherTenant, "apiKeys": []string{tenantKeys[otherTenant]}, "priority": 1, "isolated": false},
			{"name": imitator.IsolatedTeam, "apiKeys": []string{tenantKeys[imitator.IsolatedTeam]}, "priority": 1, "isolated": isolated},
		},
	}
}

// runIsolate changes the configuration, so that a tenant becomes isolated whose prompts are cached.
func runIsolate(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	o := &observer{record: rec}
	storeAddr := d.addr(150, 1, 8746)
	parts := imitator.NewPartStore(storeTokens)
	if err := d.serve(storeAddr, parts); err != nil {
		return false, err
	}
	for n := range engines {
		id, addr := fmt.Sprintf("i-%08x", 0x7f3a0000+n), d.addr(100, n+1, 8080)
		w := imitator.NewWorker(imitator.WorkerConfig{
			ID: id, Model: model, Weights: 1, Events: 3, Pause: 5 * time.Millisecond, LoadTime: 400 * time.Millisecond,
			Stores: map[netip.AddrPort]*imitator.PartStore{netip.MustParseAddrPort(storeAddr): parts}, Observer: o, Crash: func() {},
		})
		if err := d.serve(addr, w); err != nil {
			return false, err
		}
		d.store.put("servers", id, map[string]any{
			"service": "wording-models", "addr": addr, "zone": zones[n], "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0, "stage": "unified",
			"models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}, "seq": 4, "born": rec.start.UnixMilli(),
		})
	}
	d.store.put("config", "main", llmConfiguration(7, storeAddr, false))
	if err := d.startRelays(2, 134); err != nil {
		return false, err
	}
	time.Sleep(saveDelay)
	served := d.sendPrompts(imitator.IsolatedTeam)
	time.Sleep(time.Second) // The parts are saved, and the relays know it.
	isolatedAt := time.Now()
	if trouble {
		isolatedAt = d.store.put("config", "main", llmConfiguration(8, storeAddr, true))
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	served += d.sendPrompts(otherTenant)
	return o.judge(trouble, served, isolatedAt), nil
}

// sendPrompts sends one prompt for each shared part as a tenant, and returns how many were answered.
func (d *deployment) sendPrompts(tenant string) int {
	served := 0
	client := &http.Client{Timeout: 15 * time.Second}
	for n := range prompts {
		to := d.relays[n%len(d.relays)]
		id := fmt.Sprintf("%s-%d", tenant, n)
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+to.front()+llmPath+"2f", strings.NewReader("prompt"))
		if err != nil {
			panic(err) // Can't happen: addresses and paths are fixed.
		}
		r.Host = routeHost
		r.Header.Set("Request-Id", id)
		r.Header.Set("Authorization", "Bearer "+tenantKeys[tenant])
		r.Header.Set("Deadline-Ms", "15000")
		r.Header.Set("Model", model)
		r.Header.Set("Token-Count", "3210,12")
		r.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:1200,91bd%04x:1760,%s-%d:250", n, tenant, n))
		resp, err := client.Do(r)
		status := 0
		if err == nil {
			status = resp.StatusCode
			if _, err = io.Copy(io.Discard, resp.Body); err == nil && status == http.StatusOK {
				served++
			}
			_ = resp.Body.Close() // It has been read.
		}
		d.record.write("client", "gets", "id", id, "tenant", tenant, "relay", to.name, "status", status, "error", err)
		time.Sleep(150 * time.Millisecond)
	}
	return served
}

// judge checks the rule WALL.
func (o *observer) judge(trouble bool, served int, isolatedAt time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	broken := 0
	for _, at := range o.shared {
		if trouble && at.After(isolatedAt.Add(applyTime)) {
			broken++
		}
	}
	summary := fmt.Sprintf("%d of %d prompts answered; %d parts that a request of the isolated tenant made were used by requests of another one, later than %v after the acknowledgement; %d before the tenant was isolated or without the change",
		served, 2*prompts, broken, applyTime, len(o.shared)-broken)
	o.record.write("case", summary)
	fmt.Println(summary)
	return broken == 0
}
