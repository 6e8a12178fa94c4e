package decider

import (
	"encoding/json"
	"maps"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/roller"
)

const (
	// isolatedAfter is how long a host must have been silent for its counts not to be waited for. It has ended,
	// or has long been using the old versions only.
	isolatedAfter = 10 * time.Second
	// maxClosingTime is how long hosts may be kept from using old targets before the end of a rollout.
	maxClosingTime = 3 * time.Second
	// statusRetryDelay is the delay after a status couldn't be written.
	statusRetryDelay = 300 * time.Millisecond
)

// rolloutDecision is what the lease holder needs to decide on a rollout.
type rolloutDecision struct {
	roller *roller.Roller
	// wanted is the last decision while this host holds the lease; writtenAt is when it last was what the store
	// has.
	wanted    roller.Status
	writtenAt time.Time
	// takenAt is when this host began to decide. It first waits for the counts of all hosts.
	takenAt time.Time
	// closingAt is since when no requests may be sent to old targets before the end, or zero.
	closingAt time.Time
	// writeAt is when the write in progress began, or zero. nextWriteAt is the earliest time for the next one.
	writeAt, nextWriteAt time.Time
	// loggedDecision is the last decision that was logged, and writeFailing is true from a failed write to the
	// next one that succeeds.
	loggedDecision roller.Status
	writeFailing   bool
	// reports are the latest counts of each host, and retained the counts of processes that have ended.
	reports  map[string]*countReport
	retained ownCounts
}

// decidedShare returns the share at the lease holder. A lower one than the written one is in force at once.
func (r *rolloutState) decidedShare() float64 {
	switch {
	case r.wanted.To != r.To:
		return r.status.Share
	case descriptor.RolloutPhase(r.wanted.Phase) == descriptor.RolloutReverted:
		return 0
	}
	return min(r.status.Share, r.wanted.Share)
}

// confirm returns the status of r for hosts.
func (s *State) confirm(r *rolloutState) RolloutConfirmation {
	c := RolloutConfirmation{Service: r.Service, To: r.To, Era: r.era, Revision: r.Revision, Share: s.shareInForce(r), Closing: !r.closingAt.IsZero()}
	c.Reverted = r.status.Phase == descriptor.RolloutReverted || r.wanted.To == r.To && descriptor.RolloutPhase(r.wanted.Phase) == descriptor.RolloutReverted
	if !r.writtenAt.IsZero() {
		c.Age = s.now.Sub(r.writtenAt)
	}
	return c
}

// advanceRollout decides on r and writes its status if that has changed.
func (s *State) advanceRollout(r *rolloutState) {
	in := s.rolloutInput(r)
	if r.wanted.To != r.To || !r.isActive() {
		r.wanted, r.takenAt = decisionOf(r.status), s.now
	}
	if in.Unheard == 0 || s.now.Sub(r.takenAt) > maxCountAge {
		r.wanted.Memory.Seen.Old = lowerTallies(r.wanted.Memory.Seen.Old, in.Evidence.Old)
		r.wanted.Memory.Seen.New = lowerTallies(r.wanted.Memory.Seen.New, in.Evidence.New)
		r.wanted = s.closeFirst(r, r.roller.Advance(in, r.wanted))
	}
	if r.writtenAt.IsZero() || r.isWritten() {
		r.writtenAt = s.now
	}
	if r.isWritten() || !r.writeAt.IsZero() && s.now.Sub(r.writeAt) < callTimeout || s.now.Before(r.nextWriteAt) {
		return
	}
	r.writeAt = s.now
	status := descriptor.RolloutStatus{
		To: r.To, Phase: descriptor.RolloutPhase(r.wanted.Phase), Share: r.wanted.Share, Reason: r.wanted.Reason, Elapsed: r.wanted.Elapsed, Memory: encodeMemory(r.wanted.Memory),
		From: s.oldVersions(r), Requests: in.Evidence.Requests, Exposed: in.Evidence.Exposed,
	}
	s.emit(WriteRolloutStatus{Name: r.Name, Service: r.Service, Revision: r.Revision, Status: status})
	if r.loggedDecision.SameDecision(r.wanted) {
		return
	}
	r.loggedDecision = r.wanted
	oldAnswers, newAnswers := sumTallies(in.Evidence.Old), sumTallies(in.Evidence.New)
	s.log("rollout decided", "", "service", r.Service, "to", r.To, "phase", string(status.Phase), "share", status.Share, "before", r.status.Share, "reason", status.Reason, "elapsed", in.Elapsed,
		"requests", status.Requests, "exposed", status.Exposed, "old-answers", oldAnswers.Answers, "old-failures", oldAnswers.Failures, "new-answers", newAnswers.Answers, "new-failures", newAnswers.Failures,
		"old-running", in.OldRunning, "unheard", in.Unheard, "revision", r.Revision)
}

// closeFirst delays the end of a rollout until all hosts have confirmed that they send no more requests to the
// old targets, as they otherwise do when the new ones are full.
func (s *State) closeFirst(r *rolloutState, next roller.Status) roller.Status {
	switch {
	case next.Phase == roller.Complete && r.closingAt.IsZero():
		r.closingAt = s.now
		return r.wanted
	case next.Phase == roller.Active && (next.Share < 1 || s.now.Sub(r.closingAt) > maxClosingTime):
		r.closingAt = time.Time{}
	}
	return next
}

// lowerTallies returns the tallies up to which answers have been judged. Counts that were lost with their host
// must not keep later answers from being judged, so those of routes that have fewer answers now are lowered.
func lowerTallies(seen, now map[string]roller.Tally) map[string]roller.Tally {
	var lowered map[string]roller.Tally
	for route, t := range seen {
		if n := now[route]; n.Answers < t.Answers || n.Failures < t.Failures || n.Time < t.Time {
			if lowered == nil {
				lowered = maps.Clone(seen)
			}
			lowered[route] = n
		}
	}
	if lowered == nil {
		return seen
	}
	return lowered
}

// decisionOf returns the decision that a status holds. Without a readable memory, the answers from now on are
// judged.
func decisionOf(st descriptor.RolloutStatus) roller.Status {
	d := roller.Status{To: st.To, Phase: roller.Phase(st.Phase), Share: st.Share, Reason: st.Reason, Elapsed: st.Elapsed}
	if len(st.Memory) > 0 && json.Unmarshal(st.Memory, &d.Memory) != nil {
		d.Memory = roller.Memory{}
	}
	return d
}

func encodeMemory(m roller.Memory) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil // A figure isn't finite. The next lease holder judges the answers from then on.
	}
	return raw
}

// isWritten reports whether the store has the last decision. Changes of the reason alone aren't written.
func (r *rolloutState) isWritten() bool {
	return r.Status != nil && r.Status.Phase == descriptor.RolloutPhase(r.wanted.Phase) && r.Status.Share == r.wanted.Share
}

func sumTallies(tallies map[string]roller.Tally) roller.Tally {
	var sum roller.Tally
	for _, t := range tallies {
		sum.Answers += t.Answers
		sum.Failures += t.Failures
		sum.Time += t.Time
	}
	return sum
}

// rolloutInput sums up what all hosts have counted.
func (s *State) rolloutInput(r *rolloutState) roller.Input {
	var sum ownCounts
	sum.add(r.counts)
	sum.add(r.retained)
	in := roller.Input{
		Order: roller.Order{Service: r.Service, To: r.To, Over: r.Within}, Elapsed: s.now.Sub(r.orderedAt),
		NewSlots: s.slotsUp(r.Service, releaseNew), OldSlots: s.slotsUp(r.Service, releaseInUse), OldRunning: s.oldRunning(r),
	}
	if s.isOnlyVersion(r) {
		in.NewSlots, in.OldSlots = in.OldSlots, 0
	}
	in.Unheard, in.Lagging = s.lateHosts(r)
	if r.wanted.To == r.To && !r.isWritten() {
		in.Unheard++ // No host applies the last decision.
	}
	for _, report := range r.reports {
		sum.add(report.counts())
		if s.now.Sub(report.at) < isolatedAfter {
			in.OldRunning += report.OldRunning
		}
	}
	in.Evidence = roller.Evidence{
		Old: sum.old, New: sum.new,
		Requests: max(sum.requests, r.status.Requests), Exposed: max(sum.exposed, r.status.Exposed),
	}
	return in
}

// lateHosts returns the number of hosts whose counts are old, and of those that may not apply the share in
// force, or soon not any more for lack of a confirmation.
func (s *State) lateHosts(r *rolloutState) (unheard, lagging int) {
	for host := range s.hosts {
		if host == s.cfg.Host {
			continue
		}
		report := r.reports[host]
		if report != nil && s.now.Sub(report.at) <= maxCountAge {
			if report.Share != r.status.Share || report.ConfirmedFor > maxCountAge || !r.hasClosed(report) {
				lagging++
			}
			continue
		}
		seenAt := s.startedAt
		if p := s.peerByHost[host]; p != nil {
			seenAt = latest(seenAt, p.lastSeenAt)
		}
		if s.now.Sub(seenAt) < isolatedAfter {
			unheard++
		}
	}
	return unheard, lagging
}

// hasClosed reports whether a host knows that the rollout is closing, if it is. Counts that were under way when
// that began may be about an earlier time at which it was.
func (r *rolloutState) hasClosed(report *countReport) bool {
	return r.closingAt.IsZero() || report.Closing && report.at.Sub(r.closingAt) >= maxMessageDelay
}

// onRolloutStatusWritten applies a status that this host has written.
func (s *State) onRolloutStatusWritten(ev RolloutStatusWritten) {
	r := s.rollouts[ev.Service]
	if r == nil || r.To != ev.Status.To {
		return
	}
	r.writeAt = time.Time{}
	if ev.Err != nil {
		r.nextWriteAt = s.now.Add(statusRetryDelay)
		if r.writeFailing {
			return
		}
		r.writeFailing = true
		s.log("rollout status not written", "", "service", r.Service, "to", r.To, "revision", r.Revision, "error", ev.Err.Error())
		return
	}
	if ev.Era < r.era || ev.Era == r.era && ev.Revision < r.Revision {
		return
	}
	r.era, r.Revision, r.writeFailing = ev.Era, ev.Revision, false
	s.adoptStatus(r, &ev.Status)
	s.updateVersions()
}
