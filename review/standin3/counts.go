package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// oddCount is a number of tokens that no prompt has.
	oddCount = "-500000000000000,13"
	// promptParts are the parts of all prompts.
	promptParts    = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	calmTime       = 5 * time.Second
	oddTime        = 25 * time.Second
	promptInterval = 50 * time.Millisecond
	deskInterval   = 25 * time.Millisecond
	// maxUnserved is the share of the requests that may be refused or fail.
	maxUnserved = 0.6
)

// runTokenCount lets one caller at each host send one request with an odd count of tokens, which engines reject, beside ordinary
// prompts and requests. Of these, 60 in 100 at most may be refused or fail.
func runTokenCount(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 0)
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	playCtx, end := context.WithTimeout(ctx, calmTime+oddTime)
	defer end()
	ordinary := make([]tally, len(d.hosts))
	for i, h := range d.hosts {
		go sendEach(playCtx, promptInterval, &ordinary[i], func() *http.Request {
			return d.prompt(ctx, h, "1460,13", promptParts, []byte("prompt"))
		})
		go sendEach(playCtx, deskInterval, &ordinary[i], func() *http.Request { return d.request(ctx, h, pathLookUp, nil) })
	}
	time.Sleep(calmTime)
	d.recordAnswers("in calm", ordinary)
	var answers tally
	if d.trouble {
		for _, h := range d.hosts {
			odd := d.prompt(ctx, h, oddCount, promptParts, []byte("prompt"))
			d.record.printf("%s gets request %s with Token-Count %s: %d", h.name, odd.Header.Get("Request-Id"), oddCount, answers.send(&http.Client{Timeout: 6 * time.Second}, odd))
		}
	}
	<-playCtx.Done()
	time.Sleep(time.Second)
	d.recordAnswers("at the end", ordinary)
	d.recordWorkers()
	return judgeUnserved(ordinary)
}

func (d *deployment) recordAnswers(when string, ordinary []tally) {
	for i, h := range d.hosts {
		d.record.printf("%s, %s: ordinary prompts and requests by status %v", h.name, when, &ordinary[i])
	}
}

func judgeUnserved(ordinary []tally) error {
	served, all := 0, 0
	for i := range ordinary {
		s, n := ordinary[i].served()
		served, all = served+s, all+n
	}
	if all == 0 {
		return errors.New("no request was sent")
	}
	if unserved := float64(all-served) / float64(all); unserved > maxUnserved {
		return fmt.Errorf("%.3f of %d ordinary requests were refused or failed: %w", unserved, all, errBroken)
	}
	return nil
}
