package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxWatches bounds the parallel requests of one Watch.
	maxWatches = 4
	// maxWatchDelay is how long after WatchWait a response may still arrive.
	maxWatchDelay = 10 * time.Second
)

// watchResult is the result of one request of a Watch.
type watchResult struct {
	objects []Object
	err     error
}

// Watch implements ObjectStore. If the response is overdue, because the connection is
// dead or the platform is slow, it sends another request in parallel and returns the
// first successful response.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan watchResult, maxWatches)
	send := func() {
		objects, err := c.watchOnce(ctx, prefix, after)
		results <- watchResult{objects, err}
	}
	go send()
	open := 1
	ticker := c.cfg.Clock.NewTicker(c.cfg.WatchWait + c.cfg.WatchHedgeDelay)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil || open == 0 {
				return r.objects, r.err
			}
		case <-ticker.Chan():
			if open < maxWatches {
				open++
				go send()
			}
		}
	}
}

// watchOnce sends one watch request.
func (c *HTTPClient) watchOnce(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {c.cfg.WatchWait.String()},
	}
	var objects []Object
	err := c.call(ctx, call{
		op: "watch objects " + prefix, method: http.MethodGet, path: PathWatch, query: query,
		timeout: c.cfg.WatchWait + maxWatchDelay, limit: c.reads, client: c.watch, maxBytes: maxListBytes, result: &objects,
	})
	return objects, err
}
