package reducer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// adoptFleet makes fleet the next version of the configuration.
func adoptFleet(s *State, fleet specifier.Fleet) {
	s.Reduce(ConfigAdopted{Version: s.version + 1, Fleet: fleet}, benchNow)
}

// TestRemovedConfigurationIsForgotten guards against maps that grow with every change
// of the configuration, because they keep entries of removed teams, services, stores
// and targets.
func TestRemovedConfigurationIsForgotten(t *testing.T) {
	size := fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 6, teams: 50, services: 2}
	s := benchState(size)
	prompts := benchPrompts()
	for i := range size.teams {
		s.runRequest(identifier.Request(fmt.Sprint(i)), benchKey(i), prompts[i])
	}
	assert.Equal(t, len(s.buckets), size.teams)
	assert.Assert(t, len(s.links) > 0)
	small := size
	small.teams, small.services, small.targets = 2, 1, 3
	next := benchFleet(small)
	next.Stores = nil
	adoptFleet(s, next)
	assert.Equal(t, len(s.buckets), small.teams)
	assert.Equal(t, len(s.links), 0)
	assert.Equal(t, len(s.queues), small.services)
	assert.Equal(t, len(s.targets), small.targets)
	for _, q := range s.queues {
		assert.Assert(t, len(q.virtualFinish) <= small.teams)
	}
}

// TestOnlyTargetsOfOwnRegionAreKept checks that targets of other regions use no
// memory, also after a data centre moved to another region.
func TestOnlyTargetsOfOwnRegionAreKept(t *testing.T) {
	s := benchState(fleetSize{dataCentres: 6, regions: 3, hosts: 2, targets: 5, teams: 1, services: 1})
	assert.Equal(t, len(s.targets), 10)
	for _, known := range s.targets {
		centre := s.fleet.DataCentres[known.spec.DataCentre]
		assert.Equal(t, centre.Region, identifier.Region("region-0"))
	}
	moved := s.fleet.Clone()
	centre := moved.DataCentres["dc-03"]
	centre.Region = "region-1"
	moved.DataCentres["dc-03"] = centre
	adoptFleet(s, moved)
	assert.Equal(t, len(s.targets), 5)
}

// TestRequestsAreBounded checks that a daemon at its limit of requests refuses
// further ones, with the run state that means that a retry is safe.
func TestRequestsAreBounded(t *testing.T) {
	s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 2, teams: 1, services: 1})
	s.cfg.MaxRequests = 3
	p := benchPrompts()[0]
	for i := range 3 {
		s.Reduce(RequestArrived{Request: identifier.Request(fmt.Sprint(i)), KeyHash: benchKey(0), Work: p}, benchNow)
	}
	effects := s.Reduce(RequestArrived{Request: "last", KeyHash: benchKey(0), Work: p}, benchNow)
	refusal, ok := effects[len(effects)-1].(Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Kind, RefusalOverload)
	assert.Equal(t, refusal.Run, RunStateNotRun)
	assert.Equal(t, len(s.requests), 3)
}

// TestPrefixesAreBounded checks that the least recently used prefixes are evicted
// first.
func TestPrefixesAreBounded(t *testing.T) {
	s := New(Config{Host: "entry-0000", DataCentre: "dc-00", MaxPrefixes: 16, BlockSecret: []byte("secret of 16 bytes")})
	adoptFleet(s, benchFleet(fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 1, teams: 1, services: 1}))
	known := s.targets["target-00000"]
	keyOf := func(i int) identifier.BlockKey { return identifier.BlockKey{byte(i)} }
	for i := range 40 {
		s.recordCached(&request{keys: []identifier.BlockKey{keyOf(i)}}, known)
	}
	assert.Equal(t, s.prefixes.Len(), 16)
	assert.Assert(t, !s.prefixes.Contains(keyOf(0)))
	assert.Assert(t, s.prefixes.Contains(keyOf(39)))
}

// TestRestartClearsExpectedCache checks that no prefix is assumed to be cached by a
// target's next incarnation until a cache event reports it.
func TestRestartClearsExpectedCache(t *testing.T) {
	s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 2, teams: 1, services: 1})
	known := s.targets["target-00000"]
	r := &request{keys: []identifier.BlockKey{{1}, {2}}}
	s.recordCached(r, known)
	s.countCachedBlocks(r)
	assert.Equal(t, s.cachedBlocksOn(known), 2)
	assert.Equal(t, s.cachedBlocksOn(s.targets["target-00001"]), 0)
	s.Reduce(IncarnationObserved{Target: known.name, Incarnation: 8, Cold: true}, benchNow)
	s.countCachedBlocks(r)
	assert.Equal(t, s.cachedBlocksOn(known), 0)
	s.Reduce(CacheObserved{Target: known.name, Stored: r.keys[:1]}, benchNow)
	s.countCachedBlocks(r)
	assert.Equal(t, s.cachedBlocksOn(known), 1)
	s.Reduce(CacheObserved{Target: known.name, Evicted: r.keys[:1]}, benchNow)
	s.countCachedBlocks(r)
	assert.Equal(t, s.cachedBlocksOn(known), 0)
}

// TestLoadReportStartsQueuedRequest checks that a queued request starts with the
// first load report that shows room on its target, and not with others.
func TestLoadReportStartsQueuedRequest(t *testing.T) {
	s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 1, teams: 1, services: 1})
	s.Reduce(benchLoad(0, benchWarmLimit), benchNow)
	s.Reduce(RequestArrived{Request: "r", KeyHash: benchKey(0), Timeout: time.Minute, Work: benchPrompts()[0]}, benchNow)
	s.Reduce(LookupDone{Request: "r", Failed: true}, benchNow)
	assert.Equal(t, len(startsOf(s.Reduce(benchLoad(0, benchWarmLimit), benchNow))), 0)
	assert.Equal(t, len(startsOf(s.Reduce(benchLoad(0, benchWarmLimit-1), benchNow))), 1)
}

func startsOf(effects []Effect) []Start {
	var starts []Start
	for _, effect := range effects {
		if start, ok := effect.(Start); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// TestChooseDoesNotAllocate checks that the choice of a target allocates no memory
// and that a whole request's allocations are bounded, for any number of targets and
// teams.
func TestChooseDoesNotAllocate(t *testing.T) {
	for _, size := range []fleetSize{{1, 1, 45, 50, 100, 1}, {1, 1, 45, 545, 2000, 1}} {
		s := benchState(size)
		p := benchPrompts()[0]
		s.runRequest("first", benchKey(0), p)
		s.now = benchNow
		r, denied := s.admit(RequestArrived{Request: "r", KeyHash: benchKey(1), Timeout: time.Minute, Work: p})
		assert.Assert(t, denied == nil)
		assert.Equal(t, len(r.keys), benchPromptBlocks)
		allocations := testing.AllocsPerRun(100, func() {
			if _, ok := s.choose(r); !ok {
				t.Fatal("no target was chosen")
			}
		})
		assert.Equal(t, allocations, 0.0)
		perRequest := testing.AllocsPerRun(100, func() { s.runRequest("again", benchKey(1), p) })
		assert.Assert(t, perRequest < maxRequestAllocations, "%v allocations with %+v", perRequest, size)
	}
}

// maxRequestAllocations bounds the allocations of all events of one request of
// benchPromptBlocks blocks.
const maxRequestAllocations = 100

// TestConnectionsToRemovedTargetAreClosed checks that no connections to a target are
// permitted once it was removed from the configuration.
func TestConnectionsToRemovedTargetAreClosed(t *testing.T) {
	s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 1, targets: 2, teams: 1, services: 1})
	next := s.fleet.Clone()
	delete(next.Targets, "target-00001")
	var closed []ExpectIncarnation
	for _, effect := range s.Reduce(ConfigAdopted{Version: 2, Fleet: next}, benchNow) {
		if expect, ok := effect.(ExpectIncarnation); ok {
			closed = append(closed, expect)
		}
	}
	assert.DeepEqual(t, closed, []ExpectIncarnation{{Target: "target-00001"}})
}
