package main

import (
	"context"
	"fmt"
	"time"
)

const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// blipDelay is the time from a change of the workers to the outage, and blipTime its length.
	blipDelay = 160 * time.Millisecond
	blipTime  = 440 * time.Millisecond
	// leavingTime is how long a worker that leaves serves on: drainMs and a little longer.
	leavingTime = drainTime + 1500*time.Millisecond
	// blipRate is the number of requests a second at each relay, and blipWorkers that of workers.
	blipRate    = 40
	blipWorkers = 6
)

// runBlip takes the platform's store down for a moment, just after a worker has changed. Once the store
// has been stable for contactMs, two workers drain and exit.
func runBlip(rec *record, trouble bool) (bool, error) {
	return runLeaving(rec, func(d *deployment, first *worker) {
		go d.leave(first) // Its leaving is acknowledged before the outage, as the relays learn of it.
		time.Sleep(blipDelay)
		if trouble {
			d.store.setSilent(true)
		}
		time.Sleep(blipTime)
		d.store.setSilent(false)
	})
}

// runOddBytes lets another writer add an entry to the list of workers that breaks off. Later, two workers
// drain and exit.
func runOddBytes(rec *record, trouble bool) (bool, error) {
	return runLeaving(rec, func(d *deployment, _ *worker) {
		if trouble {
			const spec = `{"service":"order-desk","addr":"127.0.`
			d.store.Put("servers", "i-02d9e6b4", spec)
			rec.write("store", "acknowledged", "object", "servers/i-02d9e6b4", "spec", spec)
		}
	})
}

// runLeaving disturbs a deployment under load, and lets two workers drain and exit 3.4 s later. It checks
// the rule DRAIN for these.
func runLeaving(rec *record, disturb func(d *deployment, first *worker)) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	workers, err := d.startWorkers(blipWorkers, 60*time.Millisecond)
	if err != nil {
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
		c.group.Go(func() { c.sendSteadily(ctx, r, blipRate) })
	}
	time.Sleep(6 * time.Second)
	disturb(d, workers[0])
	time.Sleep(contactTime + 400*time.Millisecond)
	go d.leave(workers[2])
	acknowledgedAt := d.leave(workers[1])
	time.Sleep(2 * time.Second)
	cancel()
	c.group.Wait()
	return judgeDrain(rec, c, workers[1:3], acknowledgedAt), nil
}

// startWorkers starts and registers workers of the plain service.
func (d *deployment) startWorkers(n int, workTime time.Duration) ([]*worker, error) {
	var workers []*worker
	for i := range n {
		w, err := d.startWorker(i+1, zones[i%len(zones)], workTime)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		d.store.put("servers", w.id, w.spec("ready"))
	}
	return workers, nil
}

// leave lets a worker drain, serve on for leavingTime, and exit. It returns when the store had
// acknowledged that the worker drains.
func (d *deployment) leave(w *worker) time.Time {
	acknowledgedAt := d.store.put("servers", w.id, w.spec("draining"))
	time.Sleep(leavingTime)
	d.store.Remove("servers", w.id)
	w.exit()
	return acknowledgedAt
}

// judgeDrain checks the rule DRAIN for workers whose draining was acknowledged by the given time.
func judgeDrain(rec *record, c *clients, left []*worker, acknowledgedAt time.Time) bool {
	var late []arrival
	for _, w := range left {
		late = append(late, w.arrivalsAfter(acknowledgedAt.Add(drainTime))...)
	}
	isLate := map[string]bool{}
	for _, a := range late {
		isLate[a.id] = true
	}
	lost := 0
	for _, a := range c.got {
		if a.unsafe && isLate[a.id] && !a.sealed {
			lost++
			rec.write("case", "unsafe request lost with the worker", "id", a.id, "status", a.status, "relay", a.relay)
		}
	}
	last := time.Duration(0)
	for _, a := range late {
		last = max(last, a.at.Sub(acknowledgedAt))
	}
	summary := fmt.Sprintf("%d of %d requests reached two workers later than %v after their draining was acknowledged, the last after %v; %d unsafe ones were lost as they exited",
		len(late), len(c.got), drainTime, last.Round(time.Millisecond), lost)
	rec.write("case", summary)
	fmt.Println(summary)
	return len(late) == 0
}
