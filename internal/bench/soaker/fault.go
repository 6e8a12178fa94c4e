package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// meanFaultInterval is the mean pause between two faults. Faults last up to
	// maxFaultDuration, which is longer than all bounds of the platform except the one
	// for new weights.
	meanFaultInterval = 500 * time.Millisecond
	maxFaultDuration  = 8 * time.Second
	// meanChangeInterval is the mean pause between planned changes.
	meanChangeInterval = 1500 * time.Millisecond
	// maxLinkDelay is the longest delay of a link. It stays below the safety margin of a
	// lease.
	maxLinkDelay = 120 * time.Millisecond
	// meanGoBackInterval is the mean pause before the platform's store goes back to a copy that
	// is up to maxCopyAge old. It is away for up to maxAwayTime, and what it lost is written
	// again up to maxRewriteTime later.
	meanGoBackInterval = 6 * time.Second
	maxCopyAge         = 5 * time.Second
	maxAwayTime        = time.Second
	maxRewriteTime     = 1500 * time.Millisecond
	// copyInterval is the time between two copies of the store.
	copyInterval = 100 * time.Millisecond
	// meanSpoilInterval is the mean pause between targets that spoil spoiledShare of their answers.
	meanSpoilInterval = time.Second
	spoiledShare      = 0.3
	// maxClockStep is the largest step of a store's clock, forward or back.
	maxClockStep = 4 * time.Second
)

const (
	// noTeamsShare is the share of runs in which all teams are taken away once, for noTeamsTime, which is longer than
	// the bound for revoked keys.
	noTeamsShare = 0.25
	noTeamsTime  = maxRevokeTime + 2*time.Second
)

// goBackStream, spoilStream and teamsStream are the streams of random numbers of letStoreGoBack, spoilAnswers and
// removeTeams.
const (
	goBackStream = 1 << 32
	spoilStream  = 1 << 33
	teamsStream  = 1 << 34
)

// invalidStatuses are statuses that no answer has.
var invalidStatuses = []string{"000", "020", "099", "101", "600", "999"}

// fault is a fault or a planned operation such as a drain. run starts it and returns
// when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, duration time.Duration)
}

// injectFaults injects random faults, which may overlap, and applies planned changes
// meanwhile. It returns when all faults are over.
func (s *Soaker) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.cfg.FaultDuration)
	faultCtx, stop := context.WithDeadline(ctx, end)
	defer stop()
	var g sync.WaitGroup
	defer g.Wait()
	g.Go(func() { s.applyChanges(faultCtx) })
	g.Go(func() { s.letStoreGoBack(faultCtx) })
	g.Go(func() { s.spoilAnswers(faultCtx) })
	g.Go(func() { s.changeLimits(faultCtx) })
	g.Go(func() { s.removeTeams(faultCtx) })
	for sleep(faultCtx, time.Duration(s.rng.Float64()*2*float64(meanFaultInterval))) {
		f := s.drawFault()
		duration := time.Duration(s.rng.Float64() * float64(maxFaultDuration))
		s.recordEvent(f.name, "duration", duration.String())
		g.Go(func() { f.run(faultCtx, duration) })
	}
}

// applyChanges changes the configuration, keys or weights, one after the other, until
// ctx ends.
func (s *Soaker) applyChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	for sleep(ctx, time.Duration(rng.Float64()*2*float64(meanChangeInterval))) {
		switch rng.IntN(3) {
		case 0:
			s.recordEvent("key revoked")
			s.cluster.rotateKey()
		case 1:
			s.recordEvent("configuration changes")
			s.cluster.writeConfig()
		default:
			s.recordEvent("weights named")
			s.cluster.publishWeights()
		}
	}
}

// letStoreGoBack copies the platform's store and lets it come back from an earlier copy now and
// then, until ctx ends. It has random numbers of its own, so that the other faults of a seed stay
// the same.
func (s *Soaker) letStoreGoBack(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, goBackStream))
	draw := func(limit time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(limit)) }
	store := s.cluster.platform
	copies := []imitator.StoreCopy{store.Copy()}
	next := time.Now().Add(draw(2 * meanGoBackInterval))
	for sleep(ctx, copyInterval) {
		if time.Now().Before(next) {
			copies = append(copies, store.Copy())
			copies = copies[max(0, len(copies)-int(maxCopyAge/copyInterval)):]
			continue
		}
		i := rng.IntN(len(copies))
		away, rewrite := draw(maxAwayTime), draw(maxRewriteTime)
		s.recordEvent("platform goes back", "copies", len(copies)-i, "away", away.String(), "rewrite", rewrite.String())
		store.SetDown(true)
		sleep(ctx, away)
		revision := copies[i].Revision()
		lost := store.GoBack(copies[i])
		store.SetDown(false)
		sleep(ctx, rewrite)
		store.WriteAgain(lost, revision, imitator.KindConfig, imitator.KindTargets, imitator.KindEvacuations, imitator.KindWeights)
		copies, next = []imitator.StoreCopy{store.Copy()}, time.Now().Add(draw(2*meanGoBackInterval))
	}
}

// spoilAnswers makes one target after the other send answers that end with their connections, some
// of them early, or floods, until ctx ends. Series overlap with the other faults. It has random
// numbers of its own, so that the other faults of a seed stay the same.
func (s *Soaker) spoilAnswers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, spoilStream))
	all := s.cluster.targets()
	for sleep(ctx, time.Duration(rng.Float64()*2*float64(meanSpoilInterval))) {
		t, duration := all[rng.IntN(len(all))], time.Duration(rng.Float64()*float64(maxFaultDuration))
		t.worker.SetFailureShare(spoiledShare)
		switch kind := rng.IntN(3 * imitator.FloodKinds); {
		case kind < imitator.FloodKinds:
			s.recordEvent("flood by "+t.name, "flood", kind, "duration", duration.String())
			t.worker.SetFlood(imitator.NewFlood(kind))
		case kind < 2*imitator.FloodKinds:
			status := invalidStatuses[rng.IntN(len(invalidStatuses))]
			s.recordEvent("status "+status+" by "+t.name, "duration", duration.String())
			t.worker.SetInvalidStatus(status)
		default:
			s.recordEvent("answers without framing by "+t.name, "duration", duration.String())
			t.worker.SetUnframed(true)
		}
		sleep(ctx, duration)
		t.endSpoiling()
	}
}

// endSpoiling makes a target answer properly again.
func (t *target) endSpoiling() {
	t.worker.SetFailureShare(0)
	t.worker.SetFlood(nil)
	t.worker.SetUnframed(false)
	t.worker.SetInvalidStatus("")
}

// removeTeams takes all teams away in some runs, and gives them new keys after noTeamsTime, or when ctx ends. It has
// random numbers of its own, so that the other faults of a seed stay the same.
func (s *Soaker) removeTeams(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, teamsStream))
	if rng.Float64() >= noTeamsShare || !sleep(ctx, time.Duration(rng.Float64()*float64(max(0, s.cfg.FaultDuration-noTeamsTime)))) {
		return
	}
	s.recordEvent("all teams are taken away")
	teams := s.cluster.removeTeams()
	sleep(ctx, noTeamsTime)
	s.recordEvent("teams get new keys")
	s.cluster.restoreTeams(teams)
}

// drawFault draws the next fault and the component that it affects.
func (s *Soaker) drawFault() fault {
	switch s.rng.IntN(5) {
	case 0, 1:
		return s.drawHostFault()
	case 2:
		return s.drawLinkFault()
	case 3:
		return s.drawStoreFault()
	}
	return s.drawTargetFault()
}

func (s *Soaker) drawHostFault() fault {
	cl := s.cluster
	h := cl.hosts[s.rng.IntN(len(cl.hosts))]
	switch s.rng.IntN(4) {
	case 0:
		return fault{"kill " + h.name, func(ctx context.Context, duration time.Duration) {
			h.kill()
			sleep(ctx, duration/2)
			h.start(s.checker)
		}}
	case 1:
		return fault{"pause " + h.name, func(ctx context.Context, duration time.Duration) {
			h.pause()
			sleep(ctx, duration)
			h.resume(s.checker)
		}}
	case 2:
		return fault{"stop " + h.name, func(ctx context.Context, _ time.Duration) {
			h.resume(s.checker)
			h.stop(ctx)
			h.start(s.checker)
		}}
	}
	return fault{"hang up " + h.name, func(ctx context.Context, _ time.Duration) { h.reloadSettings(ctx) }}
}

func (s *Soaker) drawLinkFault() fault {
	l := s.cluster.links[s.rng.IntN(len(s.cluster.links))]
	on := true
	silent, delay := proxier.Direction{Silent: true}, proxier.Direction{Delay: server.Duration{Duration: time.Duration(s.rng.Float64() * float64(maxLinkDelay))}}
	kinds := []struct {
		name   string
		faults proxier.Faults
	}{
		{"silence both ways", proxier.Faults{Up: &silent, Down: &silent}},
		{"silence to", proxier.Faults{Up: &silent}},
		{"silence from", proxier.Faults{Down: &silent}},
		{"delay", proxier.Faults{Up: &delay, Down: &delay}},
		{"refuse", proxier.Faults{Reset: true, Refuse: &on}},
		{"reset", proxier.Faults{Reset: true}},
		{"silence the open connections of", proxier.Faults{SilenceUp: true, SilenceDown: true}},
	}
	k := kinds[s.rng.IntN(len(kinds))]
	return fault{k.name + " " + l.name, func(ctx context.Context, duration time.Duration) {
		l.disrupt(k.faults)
		sleep(ctx, duration)
		l.heal()
	}}
}

// drawStoreFault draws a fault of the platform or of a part store.
func (s *Soaker) drawStoreFault() fault {
	cl := s.cluster
	st := cl.partStores[s.rng.IntN(len(cl.partStores))]
	skew := time.Duration((s.rng.Float64()*2 - 1) * float64(maxClockStep))
	chk := s.checker
	lasting := func(name string, set func(bool)) fault {
		return fault{name, func(ctx context.Context, duration time.Duration) {
			chk.markFault(chk.platformFaults, name, true)
			set(true)
			sleep(ctx, duration)
			set(false)
			chk.markFault(chk.platformFaults, name, false)
		}}
	}
	instant := func(name string, do func()) fault {
		return fault{name, func(context.Context, time.Duration) { do() }}
	}
	switch s.rng.IntN(6) {
	case 0:
		return lasting("platform down", cl.platform.SetDown)
	case 1:
		return lasting("platform's answers lost", cl.platform.SetLoseResponses)
	case 2:
		const name = "platform forgets its changes"
		return instant(name, func() {
			chk.markFault(chk.platformFaults, name, false)
			cl.platform.Compact()
		})
	case 3:
		return instant("store restarts empty", st.Restart)
	case 4:
		return instant("store forgets its events", st.DropEvents)
	}
	return instant("store's clock steps", func() { st.SetClockSkew(skew) })
}

func (s *Soaker) drawTargetFault() fault {
	cl := s.cluster
	all := cl.targets()
	t := all[s.rng.IntN(len(all))]
	dc := dataCentres[s.rng.IntN(len(dataCentres))]
	switch s.rng.IntN(5) {
	case 0:
		return fault{"restart " + t.name, func(context.Context, time.Duration) { t.restart() }}
	case 1:
		return fault{"answers cut by " + t.name, func(ctx context.Context, duration time.Duration) {
			t.worker.SetFailureShare(0.3)
			sleep(ctx, duration)
			t.worker.SetFailureShare(0)
		}}
	case 2:
		return fault{"entry lapses of " + t.name, func(ctx context.Context, duration time.Duration) {
			t.removeEntry()
			sleep(ctx, duration/2)
			t.announce(false)
		}}
	case 3:
		return fault{"drain " + t.name, func(ctx context.Context, duration time.Duration) {
			t.announce(true)
			sleep(ctx, duration)
			t.announce(false)
		}}
	}
	return fault{"data centre out", func(ctx context.Context, duration time.Duration) {
		cl.evacuate(dc)
		sleep(ctx, duration)
		cl.endEvacuation(dc)
	}}
}
