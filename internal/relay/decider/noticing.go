package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// noticeRetention is how long the notice of a target that is not listed is kept, as its entry
	// may return.
	noticeRetention = 10 * time.Minute
	// leavingAnnounceTime is how long a host announces that a target is leaving, which covers
	// two broadcasts. Hosts that miss both learn of it from the target or the list.
	leavingAnnounceTime = 2*broadcastInterval + minBroadcastInterval
)

// noticing holds what targets said about themselves in their answers. Their entries in the list
// may say otherwise, lapse, or return.
type noticing struct {
	// notices maps the IDs of targets to the notices of their newest processes.
	notices map[string]notice
}

// notice is what one process of a target said.
type notice struct {
	startedAt  time.Time
	receivedAt time.Time
	leaving    bool
	// announceUntil is until when this host announces to its peers that the target is leaving.
	announceUntil time.Time
	// pausedUntil is when the target wants requests from this host again.
	pausedUntil time.Time
}

func newNoticing() noticing { return noticing{notices: map[string]notice{}} }

// noticeOf returns the notice of one process of a target, or an empty one.
func (s *State) noticeOf(target string, startedAt time.Time) notice {
	if n, ok := s.notices[target]; ok && n.startedAt.Equal(startedAt) {
		return n
	}
	return notice{startedAt: startedAt}
}

// hasOtherProcess reports whether a target is known to have another process than the one that
// started at the given time.
func (s *State) hasOtherProcess(target string, startedAt time.Time) bool {
	t := s.targets[target]
	return t != nil && !t.StartedAt.Equal(startedAt) || s.notices[target].startedAt.After(startedAt)
}

// onNoticeReceived takes a target out of use that is leaving, for good, or that wants no requests
// for a while. It ignores a notice of another process.
func (s *State) onNoticeReceived(ev NoticeReceived) {
	if s.hasOtherProcess(ev.Target, ev.StartedAt) {
		s.log("notice of another process ignored", "", "target", ev.Target, "leaving", ev.Notice.Leaving, "retry-after", ev.Notice.RetryAfter, "limit", ev.Notice.Limit.PerSecond)
		return
	}
	n := s.noticeOf(ev.Target, ev.StartedAt)
	t := s.targets[ev.Target]
	if ev.Notice.Leaving && !n.leaving {
		draining := t != nil && t.Draining
		n.leaving = true
		if !draining {
			n.announceUntil = s.now.Add(leavingAnnounceTime)
		}
		s.log("target leaving", "", "target", ev.Target, "listed", t != nil, "draining", draining)
	}
	if ev.Notice.RetryAfter > 0 {
		n.pausedUntil = latest(n.pausedUntil, s.now.Add(ev.Notice.RetryAfter))
		s.log("target paused", "", "target", ev.Target, "retry-after", ev.Notice.RetryAfter, "left", n.pausedUntil.Sub(s.now))
	}
	s.setNotice(ev.Target, n)
	s.observeLimit(processID{ev.Target, ev.StartedAt.UnixMilli()}, ev.Notice.Limit)
}

// applyLeavingTargets takes the targets out of use that have told a peer that they are leaving.
func (s *State) applyLeavingTargets(leaving map[string]int64, host string) {
	for id, startedAtMillis := range leaving {
		startedAt := time.UnixMilli(startedAtMillis)
		n := s.noticeOf(id, startedAt)
		if n.leaving || s.hasOtherProcess(id, startedAt) {
			continue
		}
		n.leaving = true
		if s.isAggregator() {
			n.announceUntil = s.now.Add(leavingAnnounceTime)
			s.passOn()
		}
		s.log("target leaving", "", "target", id, "listed", s.targets[id] != nil, "peer", host)
		s.setNotice(id, n)
	}
}

// setNotice records the notice of a target's newest process and applies it. A target that is
// leaving gets no order for weights that it would hardly use.
func (s *State) setNotice(target string, n notice) {
	n.receivedAt = s.now
	s.notices[target] = n
	if n.leaving {
		delete(s.updates, target)
	}
	if t := s.targets[target]; t != nil {
		t.Draining = t.Draining || n.leaving
		t.pausedUntil = latest(t.pausedUntil, n.pausedUntil)
	}
}

// withNotice returns a description of a target, with what the process itself has said.
func (s *State) withNotice(listed *descriptor.Target) *descriptor.Target {
	desc := *listed
	desc.Draining = desc.Draining || s.noticeOf(desc.ID, desc.StartedAt).leaving
	return &desc
}

// leavingTargets returns the targets to announce as leaving, with the start of their process in
// Unix milliseconds.
func (s *State) leavingTargets() map[string]int64 {
	leaving := map[string]int64{}
	for id, n := range s.notices {
		if s.now.Before(n.announceUntil) {
			leaving[id] = n.startedAt.UnixMilli()
		}
	}
	return leaving
}

// expireNotices removes the old notices of targets that are not listed.
func (s *State) expireNotices() {
	for id, n := range s.notices {
		if s.targets[id] == nil && s.now.Sub(n.receivedAt) > noticeRetention && s.now.After(n.pausedUntil) {
			delete(s.notices, id)
		}
	}
}
