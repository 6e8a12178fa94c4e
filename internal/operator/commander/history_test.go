package commander

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// TestHistoryGrowsWithoutPruning guards against a history that is never pruned because no version is
// a multiple of the interval: versions grow in uneven steps, as all objects share one counter.
func TestHistoryGrowsWithoutPruning(t *testing.T) {
	for _, step := range []int{0, 1} {
		h := newHarness(t)
		ctx := context.Background()
		put := func(key string) {
			_, err := h.store.Put(ctx, key, []byte("{}"), client.MustNotExist)
			assert.NilError(t, err)
		}
		for n := range maxRecords + 40 {
			put(specifier.Record{Version: uint64(n + 1)}.Key())
		}
		if step == 1 {
			put("other")
		}
		code, output := h.run("ana", "cardamomctl config apply -", `{"models": {"m": {"version": "first"}}}`)
		assert.Equal(t, code, ExitOK, output)
		for n := range pruneInterval {
			h.mustRun("ana", fmt.Sprintf("cardamomctl weights set m v%d -m m", n))
		}
		records, err := h.store.List(ctx, specifier.HistoryPrefix)
		assert.NilError(t, err)
		assert.Check(t, len(records) <= maxRecords+pruneInterval, "%d records, step %d", len(records), step)
	}
}
