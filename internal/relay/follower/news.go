package follower

import (
	"context"
	"time"

	"cardamomscale.example/cardamomscale/platform/caller"
)

const (
	// heartbeatInterval is about the pause between messages of a host that watches, and
	// updateTimeout how long others wait for one before they ask the platform themselves:
	// two messages of each of two hosts, and half the time in which a configuration must
	// be in force where not all hosts watch.
	heartbeatInterval = 500 * time.Millisecond
	updateTimeout     = 1500 * time.Millisecond
	// platformRetryInterval is how long a host that watches, but can't reach the platform, listens
	// to others before it asks again.
	platformRetryInterval = 3 * time.Second
	// maxUpdateDelay is how long a message may be on its way.
	maxUpdateDelay = 200 * time.Millisecond
	// updateQueueSize bounds the messages that wait while a watch is under way.
	updateQueueSize = 16
	// maxUpdateBytes bounds the changes of one message, so that it fits into a datagram;
	// larger ones are read from the platform by each host.
	maxUpdateBytes = 32 << 10
)

// WatchUpdate passes on what a watch of one kind of objects was told.
type WatchUpdate struct {
	Kind string `cbor:"1,keyasint"`
	// Objects are all changes after revision After up to Upto.
	After   int64           `cbor:"2,keyasint"`
	UpTo    int64           `cbor:"3,keyasint"`
	Objects []caller.Object `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the platform said so. It is unknown, and confirms nothing,
	// if Pulse is true: the sender's watch stands and has told no more than Upto.
	Age       time.Duration `cbor:"5,keyasint,omitempty"`
	Heartbeat bool          `cbor:"6,keyasint,omitempty"`
	// AfterOutage is true just after an outage.
	AfterOutage bool `cbor:"7,keyasint,omitempty"`
}

// receivedUpdate is news with the time at which it came.
type receivedUpdate struct {
	WatchUpdate
	receivedAt time.Time
}

// Receive takes in news from another host. It never blocks: the oldest make room for
// the newest, which shows as a gap that the watch closes itself. It must not be
// called concurrently.
func (f *Follower) Receive(news []WatchUpdate) {
	now := f.cfg.Clock.Now()
	for _, n := range news {
		for _, w := range f.watches {
			if w.kind == n.Kind {
				w.enqueue(receivedUpdate{n, now})
			}
		}
	}
}

func (w *watch) enqueue(n receivedUpdate) {
	for {
		select {
		case w.updates <- n:
			return
		default:
		}
		select {
		case <-w.updates:
		default:
		}
	}
}

// applyQueued takes in what came while the watch asked the platform itself.
func (w *watch) applyQueued() {
	for w.revision != 0 {
		select {
		case n := <-w.updates:
			w.applyUpdate(n)
		default:
			return
		}
	}
}

// sendHeartbeats tells other hosts regularly how far the watches of this host are.
func (f *Follower) sendHeartbeats(ctx context.Context) error {
	for sleep(ctx, heartbeatInterval) {
		if !f.cfg.WatchesPlatform() {
			continue
		}
		var news []WatchUpdate
		for _, w := range f.watches {
			if n, ok := w.heartbeat(); ok {
				news = append(news, n)
			}
		}
		f.cfg.SendUpdates(news)
	}
	return nil
}

// heartbeat returns how far the watch is, or false while it doesn't stand.
func (w *watch) heartbeat() (WatchUpdate, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WatchUpdate{Kind: w.kind, After: w.revision, UpTo: w.revision, Heartbeat: true}, w.revision != 0 && !w.failing
}

// forwardChanges tells other hosts what the platform answered to a watch from revision after on.
func (w *watch) forwardChanges(after int64, changes caller.Objects, p freshness) {
	if !w.cfg.WatchesPlatform() {
		return
	}
	size := 0
	for _, o := range changes.Objects {
		size += len(o.Spec)
	}
	if size > maxUpdateBytes {
		return // The next pulse lets the others see that they are behind.
	}
	w.cfg.SendUpdates([]WatchUpdate{{
		Kind: w.kind, After: after, UpTo: max(after, changes.Revision), Objects: changes.Objects,
		Age: w.cfg.Clock.Now().Sub(p.asOf), AfterOutage: p.afterOutage,
	}})
}

// updatedByPeers reports whether other hosts tell this one all that changes. One that
// watches listens to others too once it has failed to reach the platform and they
// haven't.
func (w *watch) updatedByPeers() bool {
	now := w.cfg.Clock.Now()
	told := !w.cfg.WatchesPlatform() || w.failing && w.lastUpdate.After(w.lastFailure) && now.Sub(w.lastFailure) < platformRetryInterval
	return told && w.revision != 0 && !w.behind && now.Sub(w.lastUpdate) < updateTimeout
}

// waitForUpdate waits for news instead of asking the platform.
func (w *watch) waitForUpdate(ctx context.Context) {
	timer := time.NewTimer(updateTimeout - w.cfg.Clock.Now().Sub(w.lastUpdate))
	defer timer.Stop()
	select {
	case n := <-w.updates:
		w.applyUpdate(n)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyUpdate takes over changes that follow what is known. News from before them is
// old; a gap is closed by asking the platform.
func (w *watch) applyUpdate(n receivedUpdate) {
	w.lastUpdate = n.receivedAt
	if n.After > w.revision {
		w.behind = true
		return
	}
	if n.Heartbeat {
		return
	}
	p := freshness{asOf: n.receivedAt.Add(-n.Age - maxUpdateDelay), relayed: true, afterOutage: n.AfterOutage}
	if n.UpTo <= w.revision {
		n.Objects = nil
	}
	w.applyChanges(caller.Objects{Objects: n.Objects, Revision: n.UpTo}, p)
}
