// Package reporter delays the load reports of a stand-in, so that they lag
// behind the truth as those of real targets do.
package reporter

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// mergeShare is the part of the lag within which reports replace each other.
const mergeShare = 8

// Reporter keeps the reports of the last lag. Its owner guards it. The zero
// value reports without a lag.
type Reporter struct {
	// Lag is the age of the report that Latest returns.
	Lag     time.Duration
	reports []dated
}

type dated struct {
	at     time.Time
	report messenger.LoadReport
}

// Reset forgets all reports, as a restart does, and publishes report at once.
func (r *Reporter) Reset(now time.Time, report messenger.LoadReport) {
	r.reports = append(r.reports[:0], dated{at: now.Add(-r.Lag), report: report})
}

// Record keeps the report of a load that changed at now.
func (r *Reporter) Record(now time.Time, report messenger.LoadReport) {
	if n := len(r.reports); n > 1 && now.Sub(r.reports[n-1].at) < r.Lag/mergeShare {
		r.reports[n-1].report = report
		return
	}
	r.prune(now)
	r.reports = append(r.reports, dated{at: now, report: report})
}

// Latest returns the report that was true about one lag before now.
func (r *Reporter) Latest(now time.Time) messenger.LoadReport {
	r.prune(now)
	if len(r.reports) == 0 {
		return messenger.LoadReport{}
	}
	return r.reports[0].report
}

// prune drops all reports that a later, published one replaces.
func (r *Reporter) prune(now time.Time) {
	due := now.Add(-r.Lag)
	n := 0
	for n+1 < len(r.reports) && !r.reports[n+1].at.After(due) {
		n++
	}
	r.reports = append(r.reports[:0], r.reports[n:]...)
}
