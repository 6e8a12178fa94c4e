package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

const (
	// faultEvery is about the pause between two faults, and faultLongest how long one
	// lasts: longer than any bound of the platform but that of new weights.
	faultEvery   = 500 * time.Millisecond
	faultLongest = 8 * time.Second
	// planEvery is about the pause between planned changes.
	planEvery = 1500 * time.Millisecond
	// linkDelay is the longest delay on a way. It stays under the margin of a lease.
	linkDelay = 120 * time.Millisecond
	// clockStep is how far stores' clocks step.
	clockStep = 4 * time.Second
)

// fault is one fault, or planned work, that begins now and is over when it returns.
type fault struct {
	name string
	run  func(ctx context.Context, lasts time.Duration)
}

// storm lets faults and planned work come at random, in series and overlapping.
func (s *Soaker) storm(ctx context.Context) {
	end := time.Now().Add(s.cfg.Storm)
	storming, stop := context.WithDeadline(ctx, end)
	defer stop()
	var g sync.WaitGroup
	defer g.Wait()
	g.Go(func() { s.plan(storming) })
	for sleep(storming, time.Duration(s.rng.Float64()*2*float64(faultEvery))) {
		f := s.draw()
		lasts := time.Duration(s.rng.Float64() * float64(faultLongest))
		s.note(f.name, "lasts", lasts.String())
		g.Go(func() { f.run(storming, lasts) })
	}
}

// plan changes the configuration, keys and weights in series, whatever else happens.
func (s *Soaker) plan(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	for sleep(ctx, time.Duration(rng.Float64()*2*float64(planEvery))) {
		switch rng.IntN(3) {
		case 0:
			s.note("key revoked")
			s.world.revoke()
		case 1:
			s.note("configuration changes")
			s.world.configure()
		default:
			s.note("weights named")
			s.world.nameWeights()
		}
	}
}

// draw draws the next fault and what it strikes.
func (s *Soaker) draw() fault {
	switch s.rng.IntN(5) {
	case 0, 1:
		return s.drawHost()
	case 2:
		return s.drawLink()
	case 3:
		return s.drawStore()
	}
	return s.drawTarget()
}

func (s *Soaker) drawHost() fault {
	w := s.world
	h := w.hosts[s.rng.IntN(len(w.hosts))]
	switch s.rng.IntN(4) {
	case 0:
		return fault{"kill " + h.name, func(ctx context.Context, lasts time.Duration) {
			h.kill()
			sleep(ctx, lasts/2)
			h.start(s.judge)
		}}
	case 1:
		return fault{"pause " + h.name, func(ctx context.Context, lasts time.Duration) {
			h.pause()
			sleep(ctx, lasts)
			h.goOn(s.judge)
		}}
	case 2:
		return fault{"stop " + h.name, func(ctx context.Context, _ time.Duration) {
			h.goOn(s.judge)
			h.stop(ctx)
			h.start(s.judge)
		}}
	}
	return fault{"hang up " + h.name, func(ctx context.Context, _ time.Duration) { h.hangUp(ctx) }}
}

func (s *Soaker) drawLink() fault {
	l := s.world.links[s.rng.IntN(len(s.world.links))]
	on := true
	silent, delay := proxier.Direction{Silent: true}, proxier.Direction{Delay: server.Duration{Duration: time.Duration(s.rng.Float64() * float64(linkDelay))}}
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
	return fault{k.name + " " + l.name, func(ctx context.Context, lasts time.Duration) {
		_ = l.Apply(k.faults) // No value is out of range.
		sleep(ctx, lasts)
		l.Heal()
	}}
}

func (s *Soaker) drawStore() fault {
	w := s.world
	st := w.parts[s.rng.IntN(len(w.parts))]
	skew := time.Duration((s.rng.Float64()*2 - 1) * float64(clockStep))
	during := func(name string, set func(bool)) fault {
		return fault{name, func(ctx context.Context, lasts time.Duration) {
			set(true)
			sleep(ctx, lasts)
			set(false)
		}}
	}
	at := func(name string, do func()) fault {
		return fault{name, func(context.Context, time.Duration) { do() }}
	}
	switch s.rng.IntN(6) {
	case 0:
		return during("platform down", w.store.SetDown)
	case 1:
		return during("platform's answers lost", w.store.SetLost)
	case 2:
		return at("platform forgets its changes", w.store.Compact)
	case 3:
		return at("store restarts empty", st.Restart)
	case 4:
		return at("store forgets its events", st.Forget)
	}
	return at("store's clock steps", func() { st.SetSkew(skew) })
}

func (s *Soaker) drawTarget() fault {
	w := s.world
	all := w.targets()
	t := all[s.rng.IntN(len(all))]
	dc := dataCentres[s.rng.IntN(len(dataCentres))]
	switch s.rng.IntN(5) {
	case 0:
		return fault{"restart " + t.name, func(context.Context, time.Duration) { t.restart() }}
	case 1:
		return fault{"answers cut by " + t.name, func(ctx context.Context, lasts time.Duration) {
			t.worker.SetFailing(0.3)
			sleep(ctx, lasts)
			t.worker.SetFailing(0)
		}}
	case 2:
		return fault{"entry lapses of " + t.name, func(ctx context.Context, lasts time.Duration) {
			t.lapse()
			sleep(ctx, lasts/2)
			t.announce(false)
		}}
	case 3:
		return fault{"drain " + t.name, func(ctx context.Context, lasts time.Duration) {
			t.announce(true)
			sleep(ctx, lasts)
			t.announce(false)
		}}
	}
	return fault{"data centre out", func(ctx context.Context, lasts time.Duration) {
		w.takeOut(dc)
		sleep(ctx, lasts)
		w.takeIn(dc)
	}}
}
