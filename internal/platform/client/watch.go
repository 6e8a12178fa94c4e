package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxWatches bounds the watches that one caller holds beside each other.
	maxWatches = 4
	// maxWatchDelay is how much later than its wait a watch may be answered.
	maxWatchDelay = 10 * time.Second
)

// watched is how one watch ended.
type watched struct {
	objects []Object
	err     error
}

// Watch implements ObjectStore. When the answer is overdue, because the
// connection has fallen silent or the platform is slow, it sends another watch
// beside the first one and takes the answer that comes first.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan watched, maxWatches)
	send := func() {
		objects, err := c.watchOnce(ctx, prefix, after)
		answers <- watched{objects, err}
	}
	go send()
	open := 1
	ticker := c.cfg.Clock.NewTicker(c.cfg.WatchWait + c.cfg.WatchSilence)
	defer ticker.Stop()
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil || open == 0 {
				return a.objects, a.err
			}
		case <-ticker.Chan():
			if open < maxWatches {
				open++
				go send()
			}
		}
	}
}

// watchOnce sends one watch.
func (c *HTTPClient) watchOnce(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {c.cfg.WatchWait.String()},
	}
	var objects []Object
	err := c.call(ctx, call{
		op: "watch objects " + prefix, method: http.MethodGet, path: PathWatch, query: query,
		timeout: c.cfg.WatchWait + maxWatchDelay, limit: c.reads, client: c.watch, out: &objects,
	})
	return objects, err
}
