package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// noticeRetention is how long the notice of a target that is not listed is kept, as its entry
// may return.
const noticeRetention = 10 * time.Minute

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
	// pausedUntil is when the target wants requests again.
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

// onNoticeReceived takes a target out of use that is leaving, and gives it no orders for weights
// that it will hardly use. A target that wants no requests for a while gets none until then. It
// ignores a notice of a process that a newer one has replaced.
func (s *State) onNoticeReceived(ev NoticeReceived) {
	t := s.targets[ev.Target]
	if t != nil && !t.StartedAt.Equal(ev.StartedAt) || s.notices[ev.Target].startedAt.After(ev.StartedAt) {
		s.log("notice of another process ignored", "", "target", ev.Target, "leaving", ev.Notice.Leaving, "retry-after", ev.Notice.RetryAfter)
		return
	}
	n := s.noticeOf(ev.Target, ev.StartedAt)
	n.receivedAt = s.now
	if ev.Notice.Leaving && !n.leaving {
		n.leaving = true
		delete(s.updates, ev.Target)
		s.log("target leaving", "", "target", ev.Target, "listed", t != nil, "draining", t != nil && t.Draining)
	}
	if ev.Notice.RetryAfter > 0 {
		n.pausedUntil = latest(n.pausedUntil, s.now.Add(ev.Notice.RetryAfter))
		s.log("target paused", "", "target", ev.Target, "retry-after", ev.Notice.RetryAfter, "left", n.pausedUntil.Sub(s.now))
	}
	s.notices[ev.Target] = n
	if t != nil {
		t.Target = *s.withNotice(&t.Target)
		t.pausedUntil = latest(t.pausedUntil, n.pausedUntil)
	}
}

// withNotice returns a description of a target, with what the process itself has said.
func (s *State) withNotice(listed *descriptor.Target) *descriptor.Target {
	desc := *listed
	desc.Draining = desc.Draining || s.noticeOf(desc.ID, desc.StartedAt).leaving
	return &desc
}

// expireNotices removes the old notices of targets that are not listed.
func (s *State) expireNotices() {
	for id, n := range s.notices {
		if s.targets[id] == nil && s.now.Sub(n.receivedAt) > noticeRetention && s.now.After(n.pausedUntil) {
			delete(s.notices, id)
		}
	}
}
