package reporter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

func TestReportsAreAboutOneLagOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lag = 800 * time.Millisecond
		start := time.Unix(1000, 0)
		r := Reporter{Lag: lag}
		r.Reset(start, messenger.LoadReport{})
		now := start
		// Running numbers the reports; changed[i] is when report i was recorded.
		changed := []time.Time{start.Add(-lag)}
		for n := 1; n <= rapid.IntRange(1, 80).Draw(t, "changes"); n++ {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(lag/2)).Draw(t, "gap")))
			r.Record(now, messenger.LoadReport{Running: n})
			changed = append(changed, now)
			got := r.Published(now).Running
			assert.Assert(t, !changed[got].After(now.Add(-lag+lag/mergeDivisor)), "report %d is too new", got)
			if got+1 < len(changed) {
				assert.Assert(t, changed[got+1].After(now.Add(-lag-lag/mergeDivisor)), "report %d is too old", got)
			}
		}
	})
}
