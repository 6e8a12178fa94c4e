// Package reporter delays the load reports of a stand-in, so that they are as
// stale as those of real targets.
package reporter

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// mergeDivisor sets the interval, Lag/mergeDivisor, within which a new report
// replaces the previous one.
const mergeDivisor = 8

// Reporter returns load reports with a delay of Lag. It isn't safe for concurrent
// use. The zero value returns them without delay.
type Reporter struct {
	// Lag is the approximate age of the report that Published returns.
	Lag     time.Duration
	reports []timedReport
}

// timedReport is a report with the time at which it was recorded.
type timedReport struct {
	at     time.Time
	report messenger.LoadReport
}

// Reset drops all reports, as a restart does, and makes report available at once.
func (r *Reporter) Reset(now time.Time, report messenger.LoadReport) {
	r.reports = append(r.reports[:0], timedReport{at: now.Add(-r.Lag), report: report})
}

// Record adds the report of a load that changed at now.
func (r *Reporter) Record(now time.Time, report messenger.LoadReport) {
	if n := len(r.reports); n > 1 && now.Sub(r.reports[n-1].at) < r.Lag/mergeDivisor {
		r.reports[n-1].report = report
		return
	}
	r.prune(now)
	r.reports = append(r.reports, timedReport{at: now, report: report})
}

// Published returns the report that was current about one Lag before now.
func (r *Reporter) Published(now time.Time) messenger.LoadReport {
	r.prune(now)
	if len(r.reports) == 0 {
		return messenger.LoadReport{}
	}
	return r.reports[0].report
}

// prune drops the reports that are older than the newest one due at now.
func (r *Reporter) prune(now time.Time) {
	due := now.Add(-r.Lag)
	n := 0
	for n+1 < len(r.reports) && !r.reports[n+1].at.After(due) {
		n++
	}
	r.reports = append(r.reports[:0], r.reports[n:]...)
}
