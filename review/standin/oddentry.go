package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// oddRate is the number of requests a second at each relay.
	oddRate = 50
	// oddTime is how long the odd entry is there.
	oddTime = 6 * time.Second
)

// runOddEntry lets another writer add an entry to the list of workers that lacks fields. At its address is a
// server that is no worker and answers all requests with 404.
func runOddEntry(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	if _, err := d.startWorkers(len(zones), 30*time.Millisecond); err != nil {
		return false, err
	}
	oddAddr := d.addr(180, 1, 8080)
	other := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec.write("other server", "request", "method", r.Method, "path", r.URL.Path, "id", r.Header.Get("Request-Id"))
		http.NotFound(w, r)
	})
	if err := d.serve(oddAddr, other); err != nil {
		return false, err
	}
	d.store.put("config", "main", configuration(7, 4<<20, 2*time.Second))
	if err := d.startRelays(len(zones), 134); err != nil {
		return false, err
	}
	c := &clients{record: rec}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, r := range d.relays {
		c.group.Go(func() { c.sendSteadily(ctx, r, oddRate) })
	}
	time.Sleep(contactTime + time.Second)
	if trouble {
		d.store.put("servers", "i-02d9e6b4", map[string]any{"service": "order-desk", "addr": oddAddr, "zone": zones[0], "slots": workerSlots, "state": "ready"})
	}
	time.Sleep(oddTime)
	cancel()
	c.group.Wait()
	return judgeDenied(rec, c), nil
}

// judgeDenied checks the rule DENIED: all requests are proper, and every configuration allows them.
func judgeDenied(rec *record, c *clients) bool {
	denied, unsafe, whole := 0, 0, 0
	for _, a := range c.got {
		switch {
		case a.status == http.StatusOK && a.sealed:
			whole++
		case a.isDenied():
			denied++
			if a.unsafe {
				unsafe++
			}
		}
	}
	allowed := 5 + len(c.got)/500
	summary := fmt.Sprintf("%d requests, %d answered with success; %d denied with a 4xx that no worker sealed, %d of them unsafe, which clients don't send again; %d allowed",
		len(c.got), whole, denied, unsafe, allowed)
	rec.write("case", summary)
	fmt.Println(summary)
	return denied <= allowed
}
