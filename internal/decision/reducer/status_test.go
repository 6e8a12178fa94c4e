package reducer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatusOmitsQueuedRequests guards against a status without the requests that wait at a target.
func TestStatusOmitsQueuedRequests(t *testing.T) {
	p := newOwnerAndPeer()
	queued := func() int { return p.owner.Status(p.now).Targets[0].Queued }
	p.owner.Reduce(LoadObserved{Target: "target-0", Incarnation: 1, Running: 8, Queued: 3}, p.now)
	assert.Equal(t, queued(), 3)
	assert.Equal(t, p.owner.Status(p.now).Targets[0].Load, 11)
	p.owner.Reduce(IncarnationObserved{Target: "target-0", Incarnation: 2}, p.now)
	assert.Equal(t, queued(), 0)
}
