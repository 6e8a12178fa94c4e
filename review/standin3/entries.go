package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	oddEntryTime      = 30 * time.Second
	entryCalmTime     = 4 * time.Second
	ordersInterval    = 50 * time.Millisecond
	questionsInterval = 50 * time.Millisecond
	// starvedShare is the share of the service of all requests that each kind of request must have.
	starvedShare = 0.25
)

// oddEntry is an entry of another writer: its service isn't named in the configuration.
func oddEntry() string {
	return fmt.Sprintf(`{"service":"nobody","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":0,"born":%d}`, time.Now().UnixMilli())
}

// runOddEntry lets another writer overwrite the entries of the plain workers once, just after their heartbeats. They write
// theirs again with the next ones. No kind of request may be served less than a quarter as often as all.
func runOddEntry(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 0)
	defer d.stop()
	if err != nil {
		return err
	}
	playCtx, end := context.WithTimeout(ctx, entryCalmTime+oddEntryTime)
	defer end()
	var orders, prompts tally
	for _, h := range d.hosts {
		go sendEach(playCtx, ordersInterval, &orders, func() *http.Request { return d.request(ctx, h, pathOrder, []byte("one order")) })
		go sendEach(playCtx, questionsInterval, &prompts, func() *http.Request {
			return d.prompt(ctx, h, "1460,13", promptParts, []byte("prompt"))
		})
	}
	time.Sleep(entryCalmTime)
	d.record.printf("in calm: orders by status %v, prompts by status %v", &orders, &prompts)
	d.awaitHeartbeats(playCtx)
	for _, w := range d.workers {
		if d.trouble && !w.engine {
			entry := oddEntry()
			d.store.Put("servers", w.id, entry)
			d.record.printf("another writer overwrites the entry of %s, started at %d: %s", w.id, w.born.UnixMilli(), entry)
		}
	}
	<-playCtx.Done()
	time.Sleep(time.Second)
	d.record.printf("at the end: orders by status %v, prompts by status %v", &orders, &prompts)
	d.recordWorkers()
	return judgeStarved(&orders, &prompts)
}

// judgeStarved reports whether the orders were served too rarely.
func judgeStarved(orders, prompts *tally) error {
	ordersServed, ordersAll := orders.served()
	promptsServed, promptsAll := prompts.served()
	if ordersAll == 0 || promptsServed == 0 {
		return errors.New("no request was served")
	}
	share := float64(ordersServed) / float64(ordersAll)
	allShare := float64(ordersServed+promptsServed) / float64(ordersAll+promptsAll)
	if share < starvedShare*allShare {
		return fmt.Errorf("%.3f of the orders and %.3f of all requests were served: %w", share, allShare, errBroken)
	}
	return nil
}
