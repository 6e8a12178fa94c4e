// Package follower watches the platform's objects and the stores' contents and posts
// their changes as events.
package follower

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

const (
	// minWaitShare is the share of the longest wait of a watch that each watch waits at least. The jitter
	// spreads the calls of all hosts, even after a change that ends all watches at once, so that the newest
	// confirmation of the configuration, which hosts forward, is never as old as a full wait.
	minWaitShare = 1.0 / 3
	// defaultContactTime and defaultDrainTime are the times of a Config that doesn't set them.
	defaultContactTime = 3 * time.Second
	defaultDrainTime   = 2 * time.Second
	// confirmWait is the wait of the watch after a change of the configuration, as an
	// answer with changes only confirms the state at the start of its own watch, and after a
	// failed call, as a longer one would hide when the platform came back.
	confirmWait = 100 * time.Millisecond
	// waitTolerance is how much earlier than requested the platform may end a wait.
	waitTolerance = 50 * time.Millisecond
	// renewalReserve is the part of the time within which a silent watch must have been replaced that is
	// kept for the call that replaces it and for passing its answer on.
	renewalReserve = 200 * time.Millisecond
	// defaultHistory is how long the platform keeps changes unless a Config says otherwise. historyShare
	// is the share of that time that a watch may wait: it fails if that time ends before it.
	defaultHistory = 25 * time.Second
	historyShare   = 0.75
	// batchPause lets changes accumulate before the next watch, as each answer costs every
	// watching host a call. Targets that are taken out must stop getting requests within
	// 2 s, which bounds it.
	batchPause = 400 * time.Millisecond
	// partPause lets changes accumulate before the next call to a store.
	partPause = 60 * time.Millisecond
	// minRetryPause and maxRetryPause bound the back-off after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// unwatchedPause is the time between checks whether this host has to watch objects that are not
	// passed on.
	unwatchedPause = 500 * time.Millisecond
	// initialPollPause is the time between checks for stores until the first
	// configuration names some.
	initialPollPause = 20 * time.Millisecond
	// firstStartPause is longer than the time within which all hosts start, and maxHostsWait the
	// longest wait for the list of hosts. firstListDelay lets the watching hosts list first: what
	// others list later lacks none of the changes that these pass on.
	firstStartPause = 600 * time.Millisecond
	maxHostsWait    = 500 * time.Millisecond
	firstListDelay  = 800 * time.Millisecond
	// overloadPause is the pause after an overloaded store refused a call, as a refused
	// call costs as much as an answered one.
	overloadPause = 2 * time.Second
	// outageGrace is how long after an outage a removed entry may be a lapsed one,
	// which comes back once it is renewed. The platform specifies this time.
	outageGrace = 2 * time.Second
	// partWait is how long a store may delay an answer without changes. The platform
	// allows 1 s and charges for waits below 200 ms.
	partWait = 500 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	// Host is the name of this host.
	Host   string
	Caller *caller.Caller
	Clock  timer.Clock
	Logger hclog.Logger
	Post   func(decider.Event)
	// Stores returns the addresses of the configured stores.
	Stores func() []netip.AddrPort
	// WatchesPlatform reports whether this host watches the platform, for others too,
	// rather than receiving updates from other hosts.
	WatchesPlatform func() bool
	// SendUpdates sends updates to other hosts.
	SendUpdates func([]WatchUpdate)
	// FollowsStore reports whether this host polls a store itself.
	FollowsStore func(store netip.AddrPort) bool
	// FirstStart is true if all hosts start at about the same time.
	FirstStart bool
	// History is how long the platform keeps changes.
	History time.Duration
	// ContactTime is the time after an outage of the platform from which the state must be current
	// again, and DrainTime that within which a target that leaves must get no more requests.
	ContactTime, DrainTime time.Duration
	// Rollouts is true if the platform has rollouts. Each watch has a price.
	Rollouts bool
}

// Follower runs one watch for each kind of platform objects and one poller for each store.
type Follower struct {
	cfg     Config
	newest  newestEra
	watches []*watch
	// hostsKnown is closed once the hosts have been listed.
	hostsKnown     chan struct{}
	hostsKnownOnce sync.Once
	// unregistered receives a value when the store has lost the entry of this host.
	unregistered chan struct{}
	skipped      skippedEntries
	givenUp      givenUpCalls
	// lost is true from a call without an answer, or one that lost changes, to the next answer.
	lost atomic.Bool
	// lateness is how much later than the end of its wait the platform last answered a watch without
	// changes, in nanoseconds.
	lateness atomic.Int64
}

// New returns a Follower. It makes no calls before Run.
func New(cfg Config) *Follower {
	cfg.History = cmp.Or(cfg.History, defaultHistory)
	cfg.ContactTime, cfg.DrainTime = cmp.Or(cfg.ContactTime, defaultContactTime), cmp.Or(cfg.DrainTime, defaultDrainTime)
	f := &Follower{cfg: cfg, newest: newestEra{risen: make(chan struct{})}, hostsKnown: make(chan struct{}), unregistered: make(chan struct{}, 1)}
	for _, kind := range cfg.kinds() {
		f.watches = append(f.watches, &watch{Follower: f, kind: kind, isPassedOn: kind != caller.KindQuarantine, era: unknownEra, objects: map[string]caller.Object{}, updates: make(chan receivedUpdate, updateQueueSize), suspected: make(chan struct{}, 1), answered: make(chan struct{}, 1)})
	}
	return f
}

// Run watches the platform and polls the stores until ctx ends. On the first start it lets the other
// hosts register first, as each new host ends the watches of all that know too few hosts to leave
// them to others.
func (f *Follower) Run(ctx context.Context) error {
	if f.cfg.FirstStart && !pause(ctx, firstStartPause) {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range f.watches {
		g.Go(func() error {
			if w.kind != caller.KindHosts {
				f.awaitHosts(ctx)
				if f.cfg.FirstStart && !f.cfg.WatchesPlatform() {
					sleep(ctx, firstListDelay)
				}
			}
			return w.run(ctx)
		})
	}
	g.Go(func() error { return f.sendHeartbeats(ctx) })
	g.Go(func() error { return f.pollStores(ctx) })
	return g.Wait()
}

// awaitHosts waits until the hosts have been listed, but not for long. Which hosts there are decides
// whether this one watches the platform.
func (f *Follower) awaitHosts(ctx context.Context) {
	timer := time.NewTimer(maxHostsWait)
	defer timer.Stop()
	select {
	case <-f.hostsKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits between 0.5 and 1.5 times d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return pause(ctx, d/2+rand.N(d))
}

// unknownEra is the era of a watch that hasn't listed its objects yet.
const unknownEra = -1

// watch keeps a copy of all objects of one kind, from the platform or from updates of
// other hosts.
type watch struct {
	*Follower
	kind string
	// isPassedOn is true if the watching hosts pass changes on to others, which otherwise hear of them in
	// messages between reducers.
	isPassedOn bool
	objects    map[string]caller.Object
	updates    chan receivedUpdate
	// suspected has a value if the current call may be silent.
	suspected chan struct{}
	// answered has a value if the platform is known to answer since a call was lost.
	answered chan struct{}
	// changed is true if the last answer had changes.
	changed bool
	// unreadable is true if the configuration that the platform has can't be decoded.
	unreadable bool
	// lastUpdate is when the last update of another host was received.
	lastUpdate time.Time
	// behind is true if an update showed that this host lacks changes.
	behind bool
	// expired is true if the last call was given up as its wait was over.
	expired bool
	// lastFailure is when a call last failed, recoveredAt when the last outage ended. failures
	// counts the calls that have failed since the last successful one.
	lastFailure, recoveredAt time.Time
	failures                 int

	// mu guards the fields below, which heartbeats read. Only the watch writes them.
	mu sync.Mutex
	// revision is the revision up to which all changes are known; 0 before each list. There were no
	// changes after changedAt up to it.
	revision, changedAt int64
	// era is the store's era of revision; unknownEra before the first list.
	era int64
	// failing is true from a failed call to the next successful one.
	failing bool
	// refused is true if the platform refused the last failed call.
	refused bool
	// overdue is true from a call that was given up to the next successful one.
	overdue bool
	// answeredAt is when the last answer or update of another host came, or zero before the first.
	answeredAt time.Time
}

// freshness describes how current an answer of the platform is.
type freshness struct {
	// asOf is the time at which the answer was known to be current.
	asOf time.Time
	// fromPeer is true if another host forwarded the answer, in an update received at receivedAt.
	fromPeer   bool
	receivedAt time.Time
	// returnUntil is the time until which entries that lapsed in an outage may come back, or zero.
	returnUntil time.Time
}

func (w *watch) run(ctx context.Context) error {
	backoff := minRetryPause
	for ctx.Err() == nil {
		w.applyQueued()
		if w.eraIsOver() {
			w.forgetRevision()
		}
		if !w.isPassedOn && !w.cfg.WatchesPlatform() {
			w.stopWatching()
			pause(ctx, unwatchedPause)
			continue
		}
		if w.unreadable {
			sleep(ctx, unreadablePause)
			w.forgetRevision()
		}
		if w.updatedByPeers() {
			w.waitForUpdate(ctx)
			continue
		}
		err := w.poll(ctx)
		if err == nil {
			backoff = minRetryPause
			continue
		}
		if w.eraIsOver() {
			continue
		}
		if kind := caller.KindOf(err); kind == caller.KindCompacted || kind == caller.KindReset {
			w.cfg.Logger.Info("changes are lost, listing again", "kind", w.kind, "after", w.revision, "error", err.Error())
			w.platformLost(w)
			w.forgetRevision()
			continue
		}
		w.recordFailure(ctx, err)
		if !w.pause(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, w.maxPause())
	}
	return nil
}

// maxPause is the longest back-off after failed calls. Hosts that don't watch the
// platform learn of its recovery from those that do, so they retry less often.
func (w *watch) maxPause() time.Duration {
	if w.cfg.WatchesPlatform() {
		return maxRetryPause
	}
	return updateTimeout
}

// forgetRevision makes the watch list its objects again.
func (w *watch) forgetRevision() { w.setPosition(w.era, 0, w.changedAt) }

// setPosition sets the era, the revision up to which all changes are known, and that of the last one.
func (w *watch) setPosition(era, revision, changedAt int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era, w.revision, w.changedAt = era, revision, changedAt
}

// stopWatching leaves the objects to other hosts. A later watch lists them again.
func (w *watch) stopWatching() {
	w.forgetRevision()
	w.setFailing(false, false)
	w.setAnswered(time.Time{})
}

func (w *watch) setFailing(failing, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing, w.refused = failing, refused
}

func (w *watch) setOverdue(overdue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overdue = overdue
}

func (w *watch) recordFailure(ctx context.Context, err error) {
	w.lastFailure = w.cfg.Clock.Now()
	w.failures++
	if ctx.Err() != nil {
		return
	}
	if !w.failing {
		w.platformLost(w)
		w.cfg.Logger.Warn("platform lost", "kind", w.kind, "error", err.Error())
	}
	w.setFailing(true, caller.KindOf(err) == caller.KindUnavailable)
}

// suspect ends the current call, unless it ends soon by itself.
func (w *watch) suspect() {
	select {
	case w.suspected <- struct{}{}:
	default:
	}
}

// ObserveCall reports the outcome of another call of this host to the platform.
func (f *Follower) ObserveCall(err error) {
	switch kind := caller.KindOf(err); {
	case err != nil && kind == caller.KindUnanswered:
		f.platformLost(nil)
	case err == nil || kind != caller.KindUnavailable:
		f.platformAnswered(nil)
	}
}

// platformLost records that a call of a watch, or another one if by is nil, was lost. All watches
// may be silent then.
func (f *Follower) platformLost(by *watch) {
	f.lost.Store(true)
	for _, w := range f.watches {
		if w != by {
			w.suspect()
		}
	}
}

// platformAnswered lets the other watches continue at once if the platform was lost.
func (f *Follower) platformAnswered(by *watch) {
	if !f.lost.CompareAndSwap(true, false) {
		return
	}
	for _, w := range f.watches {
		if w != by {
			w.noticeAnswer()
		}
	}
}

// noticeAnswer ends the pause or the current call of the watch, as the platform answers again. A
// refused call was answered too, so its pause stands.
func (w *watch) noticeAnswer() {
	w.mu.Lock()
	refused := w.refused
	w.mu.Unlock()
	if refused {
		return
	}
	select {
	case w.answered <- struct{}{}:
	default:
	}
}

// pause waits for d after a failed call, or until the platform is known to answer. It returns false
// if ctx ends first.
func (w *watch) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.answered:
	case <-ctx.Done():
		return false
	}
	return true
}

// Refresh asks the platform soon for the changes of a kind that this host may lack.
func (f *Follower) Refresh(kind string) {
	for _, w := range f.watches {
		if w.kind == kind {
			w.suspect()
		}
	}
}

func (w *watch) recordSuccess() {
	w.failures = 0
	now := w.cfg.Clock.Now()
	silentFor := now.Sub(w.setAnswered(now))
	w.platformAnswered(w)
	switch {
	case w.failing:
		w.setFailing(false, false)
		w.recoveredAt = now
		w.cfg.Logger.Info("platform regained", "kind", w.kind, "after", w.revision, "silent-for", silentFor)
	case w.overdue:
		w.cfg.Logger.Info("watch resumed", "kind", w.kind, "after", w.revision, "silent-for", silentFor)
	}
	w.setOverdue(false)
}

// setAnswered records the time of an answer or update, and returns that of the one before or now.
func (w *watch) setAnswered(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.answeredAt
	w.answeredAt = now
	if before.IsZero() {
		return now
	}
	return before
}

// WatchAges returns the time since the last answer to each watch of the platform, or the last
// update of another host, by kind of object. A watch without changes is answered at the end of its
// wait.
func (f *Follower) WatchAges() map[string]time.Duration {
	ages := make(map[string]time.Duration, len(f.watches))
	for _, w := range f.watches {
		w.mu.Lock()
		if !w.answeredAt.IsZero() {
			ages[w.kind] = f.cfg.Clock.Now().Sub(w.answeredAt)
		}
		w.mu.Unlock()
	}
	return ages
}

// checkEra records the era of an answer. It returns an error if a newer era is known.
func (w *watch) checkEra(era int64) error {
	if newest := w.newest.observe(era); era < newest {
		return errors.Newf("answer of era %d after one of era %d", era, newest)
	}
	return nil
}

// eraIsOver reports whether a newer era is known than that of the watch.
func (w *watch) eraIsOver() bool {
	return w.era != unknownEra && w.era < w.newest.current()
}

// recordEra records the era of a list and reports whether the store went back since the last one.
// What was written before that is partly lost until it is written again, as after an outage.
func (w *watch) recordEra(era int64) bool {
	if w.era == unknownEra || w.era == era {
		return false
	}
	w.recoveredAt = w.cfg.Clock.Now()
	w.cfg.Logger.Info("store went back to an earlier copy", "kind", w.kind, "era", era, "before", w.era)
	return true
}

// checkRegistration lets Register run again if the store has lost the entry of this host.
func (w *watch) checkRegistration() {
	if _, ok := w.objects[w.cfg.Host]; ok {
		return
	}
	select {
	case w.unregistered <- struct{}{}:
	default:
	}
}

// poll makes one call: it lists all objects if no revision is known, and waits for
// changes otherwise.
func (w *watch) poll(ctx context.Context) error {
	if w.revision == 0 {
		return w.list(ctx)
	}
	return w.awaitChanges(ctx)
}

// list replaces all objects by those of the platform.
func (w *watch) list(ctx context.Context) error {
	sentAt := w.cfg.Clock.Now()
	all, err := w.cfg.Caller.List(ctx, w.kind)
	if err != nil {
		return err
	}
	if err := w.checkEra(all.Era); err != nil {
		return err
	}
	w.recordSuccess()
	w.skipEntries(all.Skipped)
	changedAt := all.Revision
	if w.era == all.Era && w.holds(all.Objects) {
		changedAt = w.changedAt // Other hosts needn't list the objects again.
	}
	wentBack := w.recordEra(all.Era)
	w.setPosition(all.Era, all.Revision, changedAt)
	clear(w.objects)
	w.updateObjects(all.Objects)
	if wentBack && w.kind == caller.KindHosts {
		w.checkRegistration()
	}
	w.cfg.Post(decider.RevisionConfirmed{Era: all.Era, Revision: all.Revision, AsOf: sentAt})
	w.postChanges(all.Objects, true, freshness{asOf: sentAt, returnUntil: w.returnUntil()})
	// Updates of the watching hosts are expected from here on.
	w.changed, w.behind, w.lastUpdate = true, false, w.cfg.Clock.Now()
	return nil
}

// holds reports whether the known objects are exactly these.
func (w *watch) holds(objects []caller.Object) bool {
	for _, o := range objects {
		if known, ok := w.objects[o.Name]; !ok || known.Revision != o.Revision {
			return false
		}
	}
	return len(objects) == len(w.objects)
}

// awaitChanges waits for changes and applies them.
func (w *watch) awaitChanges(ctx context.Context) error {
	sentAt := w.cfg.Clock.Now()
	after, changedAt := w.revision, w.changedAt
	wait := w.watchWait()
	watchCtx, cancel := w.newest.untilRisen(ctx, w.era)
	defer cancel()
	answer := w.awaitAnswer(watchCtx, after, wait)
	changes := answer.changes
	if answer.givenUp != "" {
		w.giveUp(answer.givenUp, after, w.cfg.Clock.Now().Sub(sentAt), wait)
		return nil
	}
	if answer.err != nil {
		return answer.err
	}
	w.observeLateness(w.cfg.Clock.Now().Sub(sentAt)-wait, len(changes.Objects))
	if err := w.checkEra(changes.Era); err != nil {
		return err
	}
	if w.eraIsOver() {
		return nil // The watched revision may have been given out again, for other changes.
	}
	fresh := freshness{asOf: w.answerTime(sentAt, wait, len(changes.Objects)), returnUntil: w.returnUntil()}
	w.recordSuccess()
	w.skipEntries(changes.Skipped)
	w.confirmRevision(changes, fresh)
	w.forwardChanges(changedAt, changes, fresh)
	w.changed = len(changes.Objects) > 0
	if w.revision > after && changes.Revision <= w.revision {
		changes.Objects = nil // Updates during the call had these changes and may have had later ones.
	}
	w.applyChanges(changes, fresh)
	w.behind = answer.peerRevision > w.revision
	if w.changed && w.kind != caller.KindConfig {
		sleep(ctx, batchPause)
	}
	return nil
}

// confirmRevision posts the revision of an answer without changes. That of an answer with changes
// may be the revision of the last one, rather than of the store.
func (w *watch) confirmRevision(changes caller.Objects, fresh freshness) {
	if len(changes.Objects) == 0 {
		w.cfg.Post(decider.RevisionConfirmed{Era: w.era, Revision: changes.Revision, AsOf: fresh.asOf, FromPeer: fresh.fromPeer, ReceivedAt: fresh.receivedAt})
	}
}

// returnUntil returns the time until which entries that are missing now may come back after an
// outage, or zero.
func (w *watch) returnUntil() time.Time {
	now := w.cfg.Clock.Now()
	if w.failing {
		return now.Add(outageGrace)
	}
	if until := w.recoveredAt.Add(outageGrace); now.Before(until) {
		return until
	}
	return time.Time{}
}

// applyChanges applies changes and posts them. It drops all but the last change of
// each object, except for weights, as a replaced version has a deadline of its own.
func (w *watch) applyChanges(changes caller.Objects, fresh freshness) {
	last := make(map[string]int, len(changes.Objects))
	for i, o := range changes.Objects {
		last[o.Name] = i
	}
	var objects []caller.Object
	for i, o := range changes.Objects {
		if last[o.Name] == i || w.kind == caller.KindWeights {
			objects = append(objects, o)
		}
	}
	w.updateObjects(objects)
	w.postChanges(objects, false, fresh)
	revision, changedAt := max(w.revision, changes.Revision), w.changedAt
	if len(objects) > 0 {
		changedAt = revision
	}
	w.setPosition(w.era, revision, changedAt)
}

// answerTime returns the time at which an answer is known to be current: the start of the
// call, or the end of the wait if the watch waited its full time without a change,
// however late the answer arrives.
func (w *watch) answerTime(sentAt time.Time, wait time.Duration, changes int) time.Time {
	if end := sentAt.Add(wait - waitTolerance); changes == 0 && w.cfg.Clock.Now().After(end) {
		return end
	}
	return sentAt
}

// watchWait returns how long the next watch should wait for changes.
func (w *watch) watchWait() time.Duration {
	switch {
	case w.behind, w.failing, w.overdue:
		// After an outage, the answer shows at once whether the store went back to a copy.
		return confirmWait
	case !w.cfg.WatchesPlatform():
		return updateTimeout
	case w.kind == caller.KindConfig && w.changed:
		return confirmWait
	}
	longest := w.maxWait()
	shortest := time.Duration(minWaitShare * float64(longest))
	return shortest + rand.N(longest-shortest+1)
}

// maxWait returns the longest wait of a watch. A call whose answer was lost looks like one without
// changes until its wait is over, so the wait bounds how old the state may get unnoticed.
func (w *watch) maxWait() time.Duration {
	within := w.cfg.ContactTime
	switch w.kind {
	case caller.KindTargets:
		within = min(within, w.cfg.DrainTime)
	case caller.KindHosts, caller.KindQuarantine:
		within *= 2 // Messages of other hosts tell of these objects too.
	}
	return min(max(within-overduePause-renewalReserve, confirmWait), time.Duration(historyShare*float64(w.cfg.History)))
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

// postChanges posts the events for changed objects, or for all objects if full is true.
func (w *watch) postChanges(objects []caller.Object, full bool, fresh freshness) {
	switch w.kind {
	case caller.KindConfig:
		w.postConfig(objects, fresh)
	case caller.KindTargets:
		w.postTargets(objects, full, fresh)
	case caller.KindEvacuations:
		if full || len(objects) > 0 {
			w.postEvacuations()
		}
	case caller.KindWeights:
		w.postWeights(objects, full)
	case caller.KindHosts:
		if full || len(objects) > 0 {
			w.postHosts()
		}
	case caller.KindQuarantine:
		if full || len(objects) > 0 {
			w.postQuarantine()
		}
	case caller.KindRollouts:
		if full || len(objects) > 0 {
			w.postRollouts(objects)
		}
	}
}

func (w *watch) postTargets(objects []caller.Object, full bool, fresh freshness) {
	ev := decider.TargetsListed{Era: w.era, Whole: full, ReturnUntil: fresh.returnUntil}
	for _, o := range objects {
		if o.Removed {
			ev.Removed = append(ev.Removed, o.Name)
			continue
		}
		t, err := decoder.Target(o.Name, o.Spec)
		if err != nil {
			w.skipEntry(o.Name, err)
			if !full {
				ev.Removed = append(ev.Removed, o.Name) // It no longer names a target to use.
			}
			continue
		}
		ev.Targets = append(ev.Targets, t)
	}
	if full || len(objects) > 0 {
		w.cfg.Post(ev)
	}
}

func (w *watch) postEvacuations() {
	ev := decider.EvacuationsListed{Era: w.era}
	for name := range w.objects {
		ev.DataCentres = append(ev.DataCentres, name)
	}
	w.cfg.Post(ev)
}

func (w *watch) postWeights(objects []caller.Object, full bool) {
	for _, o := range objects {
		if o.Removed {
			continue
		}
		model, version, err := decoder.DesiredWeights(o.Spec)
		if err != nil {
			w.skipEntry(o.Name, err)
			continue
		}
		w.cfg.Post(decider.DesiredWeightsChanged{Model: model, Version: version, Era: w.era, Revision: o.Revision, Listed: full})
	}
}

func (w *watch) postHosts() {
	defer w.hostsKnownOnce.Do(func() { close(w.hostsKnown) })
	ev := decider.HostsListed{Hosts: make(map[string]descriptor.Host, len(w.objects))}
	for name, o := range w.objects {
		host, err := decoder.Host(o.Spec)
		if err != nil {
			w.skipEntry(name, err)
			continue
		}
		ev.Hosts[name] = host
	}
	w.cfg.Post(ev)
}

func (w *watch) postQuarantine() {
	ev := decider.QuarantineListed{Era: w.era, Revision: w.revision}
	for name, o := range w.objects {
		kept, err := decoder.Quarantined(o.Spec)
		if err != nil {
			w.skipEntry(name, err)
			continue
		}
		ev.Suspects = append(ev.Suspects, kept)
	}
	w.cfg.Post(ev)
}

// Register adds this host to the platform's list of hosts, and adds it again whenever the store
// has lost its entry, until ctx ends. If registered is true, it first tries to replace an entry
// that is probably left from an earlier start.
func (f *Follower) Register(ctx context.Context, host descriptor.Host, registered bool) {
	for f.register(ctx, host, registered) {
		select {
		case <-f.unregistered:
			registered = false
		case <-ctx.Done():
			return
		}
	}
}

// register retries until it succeeds. It returns false if ctx ends first.
func (f *Follower) register(ctx context.Context, host descriptor.Host, registered bool) bool {
	spec := decoder.EncodeHost(host)
	corrected := false // True once the store has said whether the entry exists.
	for {
		var err error
		if registered {
			_, err = f.cfg.Caller.Replace(ctx, caller.KindHosts, f.cfg.Host, 0, spec)
		} else {
			_, err = f.cfg.Caller.Create(ctx, caller.KindHosts, f.cfg.Host, spec)
		}
		if kind := caller.KindOf(err); err != nil && (kind == caller.KindConflict || kind == caller.KindMissing) {
			registered = !registered
			if !corrected {
				corrected = true
				continue
			}
		}
		if err == nil {
			f.cfg.Logger.Info("host registered", "host", f.cfg.Host, "address", host.Address.String())
			return true
		}
		f.cfg.Logger.Warn("failed to register host", "error", err.Error())
		if !sleep(ctx, maxRetryPause) {
			return false
		}
	}
}

// pollStores starts a poller for each store that the configuration names.
func (f *Follower) pollStores(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	started := map[netip.AddrPort]bool{}
	for {
		for _, addr := range f.cfg.Stores() {
			if !started[addr] {
				started[addr] = true
				g.Go(func() error { return f.pollStore(ctx, addr) })
			}
		}
		interval := maxRetryPause
		if len(started) == 0 {
			interval = initialPollPause // Prompts can't use cached parts until the stores are known.
		}
		if !sleep(ctx, interval) {
			return g.Wait()
		}
	}
}

// pollStore lists the parts of a store and then polls it for changes. It lists the
// store again after a restart of the store or a gap in the changes.
func (f *Follower) pollStore(ctx context.Context, addr netip.AddrPort) error {
	var last descriptor.PartChanges
	listed := false
	backoff := minRetryPause
	for ctx.Err() == nil {
		if !f.cfg.FollowsStore(addr) {
			// Other hosts send the changes, and the reducer lists the store if it knows nothing of it
			// and after a gap in the changes. This poller must list it again before it resumes.
			listed = false
			sleep(ctx, maxRetryPause)
			continue
		}
		sentAt := f.cfg.Clock.Now()
		changes, err := f.fetchParts(ctx, addr, listed, last.Next)
		if err != nil {
			if caller.KindOf(err) == caller.KindUnavailable {
				sleep(ctx, overloadPause)
				continue
			}
			if ctx.Err() == nil {
				f.cfg.Post(decider.StoreLost{Store: addr})
			}
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxRetryPause)
			continue
		}
		full := !listed
		if listed && (changes.ChangesLost || changes.Boot != last.Boot) {
			f.cfg.Logger.Info("listing store again", "store", addr.String(), "lost", changes.ChangesLost, "boot", changes.Boot, "before", last.Boot, "since", last.Next, "next", changes.Next)
			listed = false
			sleep(ctx, partPause)
			continue
		}
		listed, backoff, last = true, minRetryPause, changes
		if end := sentAt.Add(partWait - waitTolerance); !full && len(changes.Changes) == 0 && f.cfg.Clock.Now().After(end) {
			sentAt = end // Without changes the store answers at the end of its wait.
		}
		f.cfg.Post(decider.PartsChanged{Store: addr, Changes: changes, Whole: full, AsOf: sentAt})
		if len(changes.Changes) > 0 {
			sleep(ctx, partPause)
		}
	}
	return nil
}

func (f *Follower) fetchParts(ctx context.Context, addr netip.AddrPort, listed bool, since int64) (descriptor.PartChanges, error) {
	if !listed {
		return f.cfg.Caller.ListParts(ctx, addr)
	}
	return f.cfg.Caller.WatchParts(ctx, addr, since, partWait)
}
