package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestoredStoreDoesNotMoveDeadline guards against a deadline that starts again when the
// store returns from an older copy and gives out lower revisions than before.
func TestRestoredStoreDoesNotMoveDeadline(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 99, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 100})
	h.advanceTicking(5 * time.Second)
	h.handle(RevisionConfirmed{Revision: 90, AsOf: h.clock}) // The copy is from before the naming.
	h.advanceTicking(2100 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "a request is sent to weights replaced 7.1 s ago")
}
