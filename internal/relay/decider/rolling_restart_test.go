package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRollingRestartOfLargeFleet guards against a fleet in which hosts take others for gone, or a data
// centre has nobody to pass on its state, while all hosts restart one after the other, the aggregators
// too. A host that has run for contactTime knows all hosts that have.
func TestRollingRestartOfLargeFleet(t *testing.T) {
	t.Parallel()
	const (
		hosts, dataCentres = 195, 5
		interval, downtime = 150 * time.Millisecond, 500 * time.Millisecond
	)
	f := newCrashFleet(t, hosts, 12, 21)
	type stop struct {
		h  *host
		at time.Time
	}
	var down []stop
	checked := 0
	check := func() {
		aggregators := map[string]int{}
		for _, h := range f.hosts {
			if f.stopped[h] || !f.inTouch(h) {
				continue
			}
			if h.isAggregator() {
				aggregators[h.cfg.DataCentre]++
			}
			for _, other := range f.hosts {
				if !f.stopped[other] && f.inTouch(other) {
					checked++
					assert.Assert(t, h.isLive(other.cfg.Host, peerTimeout), "%s takes %s for gone", h.cfg.Host, other.cfg.Host)
				}
			}
		}
		for n := range dataCentres {
			dc := fmt.Sprint("dc-", n)
			assert.Assert(t, aggregators[dc] > 0, "nobody passes on the state of %s", dc)
		}
	}
	order := append([]*host(nil), f.hosts...)
	for i, h := range order {
		f.stopped[h] = true
		down = append(down, stop{h, f.clock})
		f.advance(interval)
		for len(down) > 0 && f.clock.Sub(down[0].at) >= downtime {
			f.restart(down[0].h)
			down = down[1:]
		}
		if i%20 == 19 {
			check()
		}
	}
	for _, s := range down {
		f.restart(s.h)
	}
	f.advance(contactTime)
	check()
	assert.Assert(t, checked > hosts*hosts)
}
