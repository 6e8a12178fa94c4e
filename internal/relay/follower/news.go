package follower

import (
	"context"
	"time"

	"cardamomscale.example/cardamomscale/platform/caller"
)

const (
	// newsEvery is about the pause between messages of a host that watches, and
	// newsSilence how long others wait for one before they ask the platform themselves:
	// two messages of each of two hosts, and half the time in which a configuration must
	// be in force where not all hosts watch.
	newsEvery   = 500 * time.Millisecond
	newsSilence = 1500 * time.Millisecond
	// tryAgain is how long a host that watches, but can't reach the platform, listens
	// to others before it asks again.
	tryAgain = 3 * time.Second
	// newsMargin is how long a message may be on its way.
	newsMargin = 200 * time.Millisecond
	// newsQueued bounds the messages that wait while a watch is under way.
	newsQueued = 16
	// newsBytes bounds the changes of one message, so that it fits into a datagram;
	// larger ones are read from the platform by each host.
	newsBytes = 32 << 10
)

// News passes on what a watch of one kind of objects was told.
type News struct {
	Kind string `cbor:"1,keyasint"`
	// Objects are all changes after revision After up to Upto.
	After   int64           `cbor:"2,keyasint"`
	Upto    int64           `cbor:"3,keyasint"`
	Objects []caller.Object `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the platform said so. It is unknown, and confirms nothing,
	// if Pulse is true: the sender's watch stands and has told no more than Upto.
	Age   time.Duration `cbor:"5,keyasint,omitempty"`
	Pulse bool          `cbor:"6,keyasint,omitempty"`
	// Lapsing is true just after an outage.
	Lapsing bool `cbor:"7,keyasint,omitempty"`
}

// heardNews is news with the time at which it came.
type heardNews struct {
	News
	at time.Time
}

// Take takes in news from another host. It never blocks: the oldest make room for
// the newest, which shows as a gap that the watch closes itself. It must not be
// called concurrently.
func (f *Follower) Take(news []News) {
	now := f.cfg.Clock.Now()
	for _, n := range news {
		for _, w := range f.watches {
			if w.kind == n.Kind {
				w.enqueue(heardNews{n, now})
			}
		}
	}
}

func (w *watch) enqueue(n heardNews) {
	for {
		select {
		case w.news <- n:
			return
		default:
		}
		select {
		case <-w.news:
		default:
		}
	}
}

// takeQueued takes in what came while the watch asked the platform itself.
func (w *watch) takeQueued() {
	for w.revision != 0 {
		select {
		case n := <-w.news:
			w.takeNews(n)
		default:
			return
		}
	}
}

// pulse tells other hosts regularly how far the watches of this host are.
func (f *Follower) pulse(ctx context.Context) error {
	for sleep(ctx, newsEvery) {
		if !f.cfg.Watches() {
			continue
		}
		var news []News
		for _, w := range f.watches {
			if n, ok := w.position(); ok {
				news = append(news, n)
			}
		}
		f.cfg.Tell(news)
	}
	return nil
}

// position returns how far the watch is, or false while it doesn't stand.
func (w *watch) position() (News, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return News{Kind: w.kind, After: w.revision, Upto: w.revision, Pulse: true}, w.revision != 0 && !w.lost
}

// pass tells other hosts what the platform answered to a watch from revision after on.
func (w *watch) pass(after int64, changes caller.Objects, p proof) {
	if !w.cfg.Watches() {
		return
	}
	size := 0
	for _, o := range changes.Objects {
		size += len(o.Spec)
	}
	if size > newsBytes {
		return // The next pulse lets the others see that they are behind.
	}
	w.cfg.Tell([]News{{
		Kind: w.kind, After: after, Upto: max(after, changes.Revision), Objects: changes.Objects,
		Age: w.cfg.Clock.Now().Sub(p.asOf), Lapsing: p.lapsing,
	}})
}

// informed reports whether other hosts tell this one all that changes. One that
// watches listens to others too once it has failed to reach the platform and they
// haven't.
func (w *watch) informed() bool {
	now := w.cfg.Clock.Now()
	told := !w.cfg.Watches() || w.lost && w.heard.After(w.tried) && now.Sub(w.tried) < tryAgain
	return told && w.revision != 0 && !w.behind && now.Sub(w.heard) < newsSilence
}

// listen waits for news instead of asking the platform.
func (w *watch) listen(ctx context.Context) {
	timer := time.NewTimer(newsSilence - w.cfg.Clock.Now().Sub(w.heard))
	defer timer.Stop()
	select {
	case n := <-w.news:
		w.takeNews(n)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeNews takes over changes that follow what is known. News from before them is
// old; a gap is closed by asking the platform.
func (w *watch) takeNews(n heardNews) {
	w.heard = n.at
	if n.After > w.revision {
		w.behind = true
		return
	}
	if n.Pulse {
		return
	}
	p := proof{asOf: n.at.Add(-n.Age - newsMargin), told: true, lapsing: n.Lapsing}
	if n.Upto <= w.revision {
		n.Objects = nil
	}
	w.advance(caller.Objects{Objects: n.Objects, Revision: n.Upto}, p)
}
