// Package follower follows what the platform and the stores hold and turns it
// into events.
package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

const (
	// A watch of the configuration waits between minConfigWait and maxConfigWait: each
	// answer confirms the version in force, which keys need within seconds. Peers tell of
	// their confirmations in between, so that those of all hosts should come at
	// different times, also after a change that ends all watches at once.
	minConfigWait = 1300 * time.Millisecond
	maxConfigWait = 3500 * time.Millisecond
	// confirmWait is the wait after a change of the configuration: the change itself
	// only confirms what was in force when its watch began.
	confirmWait = 100 * time.Millisecond
	// waitTolerance is how much sooner than asked the platform may end a wait.
	waitTolerance = 50 * time.Millisecond
	// objectWait is how long other watches wait; the platform allows 30 s.
	objectWait = 25 * time.Second
	// batchPause lets changes gather before the next watch: each host that watches
	// pays for each answer, and targets must be left alone within two seconds.
	batchPause = 400 * time.Millisecond
	// partPause lets changes gather before the next question to a store.
	partPause = 60 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// initialPollPause is the pause between looks for the first configuration's stores.
	initialPollPause = 20 * time.Millisecond
	// overloadPause is the pause after a store that answers too many calls at once
	// refused one: each refusal costs as much as a question.
	overloadPause = 2 * time.Second
	// outageGrace is how long after an outage removals count as lapsed entries,
	// which may come back: by the platform's terms.
	outageGrace = 2 * time.Second
	// partWait is how long a store may hold back an answer without changes; the
	// platform allows 1 s, and prices less than 200 ms.
	partWait = 500 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Caller *caller.Caller
	Clock  timer.Clock
	Logger hclog.Logger
	Post   func(decider.Event)
	// Stores returns the stores to follow.
	Stores func() []netip.AddrPort
	// WatchesPlatform reports whether this host watches the platform for others too, or is
	// told by others. Tell passes news on to them.
	WatchesPlatform func() bool
	SendUpdates     func([]WatchUpdate)
	// PollsStore reports whether a store is asked directly once it has been listed.
	PollsStore func(store netip.AddrPort) bool
}

// Follower follows the platform and the stores until it is stopped.
type Follower struct {
	cfg     Config
	watches []*watch
}

// New returns a Follower.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg}
	for _, kind := range []string{caller.KindConfig, caller.KindTargets, caller.KindEvacuations, caller.KindWeights, caller.KindHosts} {
		f.watches = append(f.watches, &watch{Follower: f, kind: kind, objects: map[string]caller.Object{}, updates: make(chan receivedUpdate, updateQueueSize)})
	}
	return f
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range f.watches {
		g.Go(func() error { return w.run(ctx) })
	}
	g.Go(func() error { return f.sendHeartbeats(ctx) })
	g.Go(func() error { return f.pollStores(ctx) })
	return g.Wait()
}

// sleep waits for about d, and returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch follows the objects of one kind.
type watch struct {
	*Follower
	kind    string
	objects map[string]caller.Object
	updates chan receivedUpdate
	// changed is true when the last answer brought changes.
	changed bool
	// lastUpdate is when another host last told of this kind, and behind is true when it
	// knows of changes that this host doesn't.
	lastUpdate time.Time
	behind     bool
	// lastFailure is when a call last failed, and back when calls last began to succeed again.
	lastFailure, recoveredAt time.Time

	// mu guards what pulses tell; only the watch itself writes it.
	mu sync.Mutex
	// revision is how far the watch is; 0 before the first list.
	revision int64
	// failing is true while calls fail.
	failing bool
}

// freshness says how far an answer of the platform can be believed.
type freshness struct {
	// asOf is when the answer was true.
	asOf time.Time
	// relayed is true when another host passed the answer on.
	relayed bool
	// afterOutage is true just after an outage: what was removed may come back.
	afterOutage bool
}

func (w *watch) run(ctx context.Context) error {
	pause := minRetryPause
	for ctx.Err() == nil {
		w.applyQueued()
		if w.updatedByPeers() {
			w.waitForUpdate(ctx)
			continue
		}
		err := w.poll(ctx)
		if err == nil {
			pause = minRetryPause
			continue
		}
		if caller.KindOf(err) == caller.KindCompacted {
			w.cfg.Logger.Info("changes are gone, listing anew", "kind", w.kind, "after", w.revision)
			w.setRevision(0)
			continue
		}
		w.recordFailure(ctx, err)
		if !sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, w.maxPause())
	}
	return nil
}

// maxPause is the longest pause after failed calls. Hosts that others tell of
// the platform's return needn't ask as often as these.
func (w *watch) maxPause() time.Duration {
	if w.cfg.WatchesPlatform() {
		return maxRetryPause
	}
	return updateTimeout
}

func (w *watch) setRevision(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = revision
}

func (w *watch) setFailing(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = lost
}

func (w *watch) recordFailure(ctx context.Context, err error) {
	w.lastFailure = w.cfg.Clock.Now()
	if !w.failing && ctx.Err() == nil {
		w.setFailing(true)
		w.cfg.Logger.Warn("platform lost", "kind", w.kind, "error", err.Error())
	}
}

func (w *watch) recordSuccess() {
	if w.failing {
		w.setFailing(false)
		w.recoveredAt = w.cfg.Clock.Now()
		w.cfg.Logger.Info("platform regained", "kind", w.kind)
	}
}

// poll lists all objects if none are known, and waits for changes otherwise.
func (w *watch) poll(ctx context.Context) error {
	asked := w.cfg.Clock.Now()
	if w.revision == 0 {
		all, err := w.cfg.Caller.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.recordSuccess()
		clear(w.objects)
		w.updateObjects(all.Objects)
		w.postChanges(all.Objects, true, freshness{asOf: asked, afterOutage: w.recentOutage()})
		w.setRevision(all.Revision)
		// Others that watch are about to tell of what comes next.
		w.changed, w.behind, w.lastUpdate = true, false, w.cfg.Clock.Now()
		return nil
	}
	after := w.revision
	wait := w.watchWait()
	changes, err := w.cfg.Caller.Watch(ctx, w.kind, after, wait)
	if err != nil {
		return err
	}
	p := freshness{asOf: w.answerTime(asked, wait, len(changes.Objects)), afterOutage: w.recentOutage()}
	w.recordSuccess()
	w.forwardChanges(after, changes, p)
	w.applyChanges(changes, p)
	w.changed, w.behind = len(changes.Objects) > 0, false
	if w.changed && w.kind != caller.KindConfig {
		sleep(ctx, batchPause)
	}
	return nil
}

// recentOutage reports whether entries that are found removed now may come back.
func (w *watch) recentOutage() bool {
	return w.failing || w.cfg.Clock.Now().Sub(w.recoveredAt) < outageGrace
}

// applyChanges takes changes over. Of several changes of one object only the last counts.
func (w *watch) applyChanges(changes caller.Objects, p freshness) {
	last := make(map[string]int, len(changes.Objects))
	for i, o := range changes.Objects {
		last[o.Name] = i
	}
	var objects []caller.Object
	for i, o := range changes.Objects {
		if last[o.Name] == i {
			objects = append(objects, o)
		}
	}
	w.updateObjects(objects)
	w.postChanges(objects, false, p)
	w.setRevision(max(w.revision, changes.Revision))
}

// answerTime is when the platform's answer was true. A watch that waited in vain for its
// whole time was answered at the end of it, however late the answer came.
func (w *watch) answerTime(asked time.Time, wait time.Duration, changes int) time.Time {
	if end := asked.Add(wait - waitTolerance); changes == 0 && w.cfg.Clock.Now().After(end) {
		return end
	}
	return asked
}

func (w *watch) watchWait() time.Duration {
	switch {
	case w.behind:
		return confirmWait
	case !w.cfg.WatchesPlatform():
		return updateTimeout
	case w.kind != caller.KindConfig:
		return objectWait
	case w.changed:
		return confirmWait
	}
	return minConfigWait + rand.N(maxConfigWait-minConfigWait)
}

func (w *watch) updateObjects(objects []caller.Object) {
	for _, o := range objects {
		if o.Removed {
			delete(w.objects, o.Name)
		} else {
			w.objects[o.Name] = o
		}
	}
}

// postChanges turns objects into the event of their kind.
func (w *watch) postChanges(objects []caller.Object, whole bool, p freshness) {
	switch w.kind {
	case caller.KindConfig:
		w.postConfig(objects, p)
	case caller.KindTargets:
		w.postTargets(objects, whole, p)
	case caller.KindEvacuations:
		if whole || len(objects) > 0 {
			w.postEvacuations()
		}
	case caller.KindWeights:
		w.postWeights(objects)
	case caller.KindHosts:
		if whole || len(objects) > 0 {
			w.postHosts()
		}
	}
}

func (w *watch) postConfig(objects []caller.Object, p freshness) {
	for _, o := range objects {
		if o.Name != caller.ConfigName || o.Removed {
			continue
		}
		cfg, err := decoder.Config(o.Spec)
		if err != nil {
			w.cfg.Logger.Error("configuration ignored", "revision", o.Revision, "error", err.Error())
			return
		}
		w.cfg.Post(decider.ConfigListed{Config: cfg})
	}
	w.cfg.Post(decider.ConfigConfirmed{AsOf: p.asOf, Told: p.relayed})
}

func (w *watch) postTargets(objects []caller.Object, whole bool, p freshness) {
	ev := decider.TargetsListed{Whole: whole, Lapsing: p.afterOutage}
	for _, o := range objects {
		if o.Removed {
			ev.Removed = append(ev.Removed, o.Name)
			continue
		}
		t, err := decoder.Target(o.Name, o.Spec)
		if err != nil {
			w.cfg.Logger.Warn("entry ignored", "target", o.Name, "revision", o.Revision, "error", err.Error())
			continue
		}
		ev.Targets = append(ev.Targets, t)
	}
	if whole || len(objects) > 0 {
		w.cfg.Post(ev)
	}
}

func (w *watch) postEvacuations() {
	var ev decider.EvacuationsListed
	for name := range w.objects {
		ev.DataCentres = append(ev.DataCentres, name)
	}
	w.cfg.Post(ev)
}

func (w *watch) postWeights(objects []caller.Object) {
	for _, o := range objects {
		if o.Removed {
			continue
		}
		model, version, err := decoder.NamedWeights(o.Spec)
		if err != nil {
			w.cfg.Logger.Warn("named weights ignored", "name", o.Name, "error", err.Error())
			continue
		}
		w.cfg.Post(decider.WeightsNamed{Model: model, Version: version})
	}
}

func (w *watch) postHosts() {
	ev := decider.HostsListed{Hosts: make(map[string]descriptor.Host, len(w.objects))}
	for name, o := range w.objects {
		host, err := decoder.Host(o.Spec)
		if err != nil {
			w.cfg.Logger.Warn("host ignored", "host", name, "error", err.Error())
			continue
		}
		ev.Hosts[name] = host
	}
	w.cfg.Post(ev)
}

// Register enters this host into the list of hosts, and repeats it until it is
// there. Known is true if it probably is there from an earlier start.
func (f *Follower) Register(ctx context.Context, name string, host descriptor.Host, known bool) {
	spec := decoder.HostSpec(host)
	for {
		var err error
		if known {
			_, err = f.cfg.Caller.Replace(ctx, caller.KindHosts, name, 0, spec)
		} else {
			_, err = f.cfg.Caller.Create(ctx, caller.KindHosts, name, spec)
		}
		if kind := caller.KindOf(err); err != nil && (kind == caller.KindConflict || kind == caller.KindMissing) {
			known = !known
			continue
		}
		if err == nil {
			f.cfg.Logger.Info("host registered", "host", name, "address", host.Address.String())
			return
		}
		f.cfg.Logger.Warn("host not registered", "error", err.Error())
		if !sleep(ctx, maxRetryPause) {
			return
		}
	}
}

// pollStores starts one follower for each store that the configuration names.
func (f *Follower) pollStores(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	following := map[netip.AddrPort]bool{}
	for {
		for _, addr := range f.cfg.Stores() {
			if !following[addr] {
				following[addr] = true
				g.Go(func() error { return f.pollStore(ctx, addr) })
			}
		}
		pause := maxRetryPause
		if len(following) == 0 {
			pause = initialPollPause // Until the first configuration prompts are read anew.
		}
		if !sleep(ctx, pause) {
			return g.Wait()
		}
	}
}

func (f *Follower) pollStore(ctx context.Context, addr netip.AddrPort) error {
	var last descriptor.PartChanges
	listed, told := false, false
	pause := minRetryPause
	for ctx.Err() == nil {
		if told && !f.cfg.PollsStore(addr) {
			// Changes come from other hosts; a gap ends with a new list.
			listed = false
			sleep(ctx, maxRetryPause)
			continue
		}
		asked := f.cfg.Clock.Now()
		changes, err := f.fetchParts(ctx, addr, listed, last.Next)
		if err != nil {
			if caller.KindOf(err) == caller.KindUnavailable {
				sleep(ctx, overloadPause)
				continue
			}
			if ctx.Err() == nil {
				f.cfg.Post(decider.StoreLost{Store: addr})
			}
			sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
			continue
		}
		whole := !listed
		if listed && (changes.Lost || changes.Boot != last.Boot) {
			f.cfg.Logger.Info("store is listed anew", "store", addr.String(), "lost", changes.Lost, "boot", changes.Boot, "before", last.Boot, "since", last.Next, "next", changes.Next)
			listed = false
			sleep(ctx, partPause)
			continue
		}
		listed, told, pause, last = true, true, minRetryPause, changes
		if end := asked.Add(partWait - waitTolerance); !whole && len(changes.Changes) == 0 && f.cfg.Clock.Now().After(end) {
			asked = end // The store answered at the end of its wait.
		}
		f.cfg.Post(decider.PartsChanged{Store: addr, Changes: changes, Whole: whole, AsOf: asked})
		if len(changes.Changes) > 0 {
			sleep(ctx, partPause)
		}
	}
	return nil
}

func (f *Follower) fetchParts(ctx context.Context, addr netip.AddrPort, listed bool, since int64) (descriptor.PartChanges, error) {
	if !listed {
		return f.cfg.Caller.PartList(ctx, addr)
	}
	return f.cfg.Caller.PartChanges(ctx, addr, since, partWait)
}
