package follower

import (
	"cmp"
	"context"
	"time"

	"cardamomscale.example/cardamomscale/platform/caller"
)

const (
	// heartbeatInterval is the mean time between heartbeats of a watching host.
	heartbeatInterval = 500 * time.Millisecond
	// updateTimeout is how long other hosts wait for an update before they call the
	// platform themselves. It allows for two heartbeats of each of two hosts, and is half
	// the time within which a configuration must be in force where not all hosts watch.
	updateTimeout = 1500 * time.Millisecond
	// platformRetryInterval is how long a watching host that can't reach the platform
	// relies on updates of other hosts before it calls the platform again.
	platformRetryInterval = 3 * time.Second
	// maxUpdateDelay is the assumed upper bound of the network delay of an update.
	maxUpdateDelay = 200 * time.Millisecond
	// overduePause is how long a call may go on without an answer once its wait is over, or an update of
	// another host has shown changes that the answer should have, or it may be silent. Healthy calls of
	// several hosts end within some milliseconds of each other.
	overduePause = 300 * time.Millisecond
	// updateQueueSize bounds the updates that are queued during a list or a pause.
	updateQueueSize = 16
	// maxUpdateBytes bounds the changes in an update, so that it fits into a datagram.
	// Each host reads larger changes from the platform itself.
	maxUpdateBytes = 32 << 10
)

// WatchUpdate is a message from a watching host about objects of one kind: either
// changes or a heartbeat.
type WatchUpdate struct {
	Kind string `cbor:"1,keyasint"`
	// Objects are all changes after revision After, up to and including UpTo. After is that of the
	// last change before, so that updates of several hosts continue each other.
	After   int64           `cbor:"2,keyasint"`
	UpTo    int64           `cbor:"3,keyasint"`
	Objects []caller.Object `cbor:"4,keyasint,omitempty"`
	// Age is the time since the platform's answer was current.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Heartbeat is true if the update only states that the sender's watch works and has
	// received no changes after UpTo. Its Age is unknown, so it confirms nothing.
	Heartbeat bool `cbor:"6,keyasint,omitempty"`
	// AfterOutage is true during and just after an outage: removed entries may come back
	// within ReturnWithin.
	AfterOutage  bool          `cbor:"7,keyasint,omitempty"`
	ReturnWithin time.Duration `cbor:"9,keyasint,omitempty"`
	// Era is the store's era, in which After and UpTo are revisions.
	Era int64 `cbor:"8,keyasint,omitempty"`
}

// receivedUpdate is an update with its time of arrival.
type receivedUpdate struct {
	WatchUpdate
	receivedAt time.Time
}

// Receive queues updates of another host. It never blocks: if a queue is full, it
// drops the oldest update, which leaves a gap that the watch detects and closes. It
// must not be called concurrently.
func (f *Follower) Receive(updates []WatchUpdate) {
	now := f.cfg.Clock.Now()
	for _, u := range updates {
		f.newest.observe(u.Era)
		for _, w := range f.watches {
			if w.kind == u.Kind {
				w.enqueue(receivedUpdate{u, now})
			}
		}
	}
}

func (w *watch) enqueue(u receivedUpdate) {
	for {
		select {
		case w.updates <- u:
			return
		default:
		}
		select {
		case <-w.updates:
		default:
		}
	}
}

// applyQueued applies the updates that arrived during a list or a pause.
func (w *watch) applyQueued() {
	for w.revision != 0 {
		select {
		case u := <-w.updates:
			w.applyUpdate(u)
		default:
			return
		}
	}
}

// watchAnswer is the outcome of a watch call.
type watchAnswer struct {
	changes caller.Objects
	err     error
	// givenUp says why the call was given up; it is empty if the call ended by itself.
	givenUp giveUpReason
	// peerRevision is the highest revision after which updates during the call continue, or 0.
	peerRevision int64
}

// awaitAnswer makes a watch call and applies updates of other hosts while it waits, so that a
// call without an answer doesn't hold them up. It gives up a call that is overdue, suspected to be
// silent unless it ends soon by itself, or still open some time after the platform has answered
// another call. The call has ended when awaitAnswer returns.
func (w *watch) awaitAnswer(ctx context.Context, after int64, wait time.Duration) watchAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan watchAnswer, 1)
	go func() {
		changes, err := w.cfg.Caller.Watch(ctx, w.kind, after, wait)
		answers <- watchAnswer{changes: changes, err: err}
	}()
	var expired <-chan time.Time
	if wait > confirmWait {
		expiry := time.NewTimer(wait + overduePause + time.Duration(w.lateness.Load()))
		defer expiry.Stop()
		expired = expiry.C
	}
	var due <-chan time.Time
	var peerRevision int64
	var reason giveUpReason
	overtaken := false
	expect := func(why giveUpReason) { due, reason = time.After(overduePause), why }
	end := func(why giveUpReason) watchAnswer {
		cancel()
		answer := <-answers
		if answer.peerRevision = peerRevision; answer.err != nil {
			answer.givenUp = why
		}
		return answer
	}
	for {
		select {
		case answer := <-answers:
			answer.peerRevision = peerRevision
			return answer
		case u := <-w.updates:
			if u.Era == w.era {
				overtaken = overtaken || len(u.Objects) > 0 && u.UpTo > w.revision
				peerRevision = max(peerRevision, u.After)
			}
			w.applyUpdate(u)
			switch {
			case !overtaken && peerRevision <= w.revision:
				due = nil // Nothing is missing, or a later update has closed the gap.
			case due == nil && wait > confirmWait:
				expect(giveUpOvertaken)
			}
		case <-w.suspected:
			if due == nil && wait > confirmWait {
				overtaken = true
				expect(giveUpSuspected)
			}
		case <-w.answered:
			if due == nil {
				overtaken = true
				expect(giveUpRegained)
			}
		case <-expired:
			return end(giveUpExpired)
		case <-due:
			return end(reason)
		}
	}
}

// sendHeartbeats regularly sends the revisions of all watches to other hosts.
func (f *Follower) sendHeartbeats(ctx context.Context) error {
	for sleep(ctx, heartbeatInterval) {
		if !f.cfg.WatchesPlatform() {
			continue
		}
		var updates []WatchUpdate
		for _, w := range f.watches {
			if u, ok := w.heartbeat(); ok {
				updates = append(updates, u)
			}
		}
		f.cfg.SendUpdates(updates)
	}
	return nil
}

// heartbeat returns a heartbeat with the watch's revision, or false before the first
// list, while calls fail, after a call was given up, and if changes aren't passed on.
func (w *watch) heartbeat() (WatchUpdate, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WatchUpdate{Kind: w.kind, Era: w.era, After: w.changedAt, UpTo: w.revision, Heartbeat: true}, w.isPassedOn && w.revision != 0 && !w.failing && !w.overdue
}

// forwardChanges sends the platform's answer to a watch to other hosts. The last change before it was
// that of the given revision.
func (w *watch) forwardChanges(changedAt int64, changes caller.Objects, fresh freshness) {
	if !w.isPassedOn || !w.cfg.WatchesPlatform() {
		return
	}
	size := 0
	for _, o := range changes.Objects {
		size += len(o.Spec) + len(o.Status)
	}
	if size > maxUpdateBytes {
		return // The next heartbeat shows the other hosts that they are behind.
	}
	now := w.cfg.Clock.Now()
	u := WatchUpdate{Kind: w.kind, Era: w.era, After: changedAt, UpTo: max(changedAt, changes.Revision), Objects: changes.Objects, Age: now.Sub(fresh.asOf)}
	if now.Before(fresh.returnUntil) {
		u.AfterOutage, u.ReturnWithin = true, fresh.returnUntil.Sub(now)
	}
	w.cfg.SendUpdates([]WatchUpdate{u})
}

// updatedByPeers reports whether updates of other hosts keep this watch current. That
// includes a watching host that can't reach the platform while other hosts can.
func (w *watch) updatedByPeers() bool {
	now := w.cfg.Clock.Now()
	// After one failed call, the other hosts' calls may be silent too.
	usesPeers := !w.cfg.WatchesPlatform() || w.failures > 1 && w.lastUpdate.After(w.lastFailure) && now.Sub(w.lastFailure) < platformRetryInterval
	return usesPeers && w.revision != 0 && !w.behind && now.Sub(w.lastUpdate) < updateTimeout
}

// waitForUpdate waits for an update instead of calling the platform.
func (w *watch) waitForUpdate(ctx context.Context) {
	timer := time.NewTimer(updateTimeout - w.cfg.Clock.Now().Sub(w.lastUpdate))
	defer timer.Stop()
	select {
	case u := <-w.updates:
		w.applyUpdate(u)
	case <-w.suspected:
		w.behind = true
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyUpdate applies an update that continues from the current revision. It skips
// changes that are known already; a gap or a new era makes the watch call the platform. It
// ignores updates of hosts that don't know the current era.
func (w *watch) applyUpdate(u receivedUpdate) {
	if u.Era < w.era {
		return
	}
	w.lastUpdate = u.receivedAt
	w.setAnswered(u.receivedAt)
	if u.Era > w.era || u.After > w.revision {
		w.behind = true
		return
	}
	if u.Heartbeat {
		return
	}
	fresh := freshness{asOf: u.receivedAt.Add(-u.Age - maxUpdateDelay), fromPeer: true, receivedAt: u.receivedAt}
	if u.AfterOutage {
		fresh.returnUntil = u.receivedAt.Add(cmp.Or(u.ReturnWithin, outageGrace))
	}
	w.confirmRevision(caller.Objects{Objects: u.Objects, Revision: u.UpTo}, fresh)
	if u.UpTo <= w.revision {
		u.Objects = nil
	}
	w.applyChanges(caller.Objects{Objects: u.Objects, Revision: u.UpTo}, fresh)
}
