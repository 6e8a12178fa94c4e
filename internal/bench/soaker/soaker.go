// Package soaker runs the relay's real processes under faults that are injected
// from outside, and checks what callers and targets see against the promises.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindInvalid reports a faulty Config.
	KindInvalid Kind = "invalid"
	// KindStart reports a process or listener that could not be started.
	KindStart Kind = "start"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures a Soaker.
type Config struct {
	// Seed determines the faults and the load, but not how processes interleave.
	Seed uint64
	// Storm is the time with faults; a calm time with planned work only follows it.
	Storm time.Duration
	// Hosts, Engines and Plains are how many of each run; a host is a process.
	Hosts, Engines, Plains int
	// Callers is how many callers ask at once.
	Callers int
	// Binary is the path of cardamomd, and Dir where settings and logs go.
	Binary string
	Dir    string
	Logger hclog.Logger
}

const (
	// maxHosts keeps the processes well under a few hundred.
	maxHosts = 150
	// startTime is how long all hosts may take to be ready.
	startTime = 15 * time.Second
	// settleTime is the pause between the last fault and the calm time: the time in
	// which a stable deployment is in touch again, and new weights are in place, twice.
	settleTime = 8 * time.Second
	// calmServed is the share of requests that must be answered in the calm time.
	calmServed = 0.95
)

// Result is what a soak saw.
type Result struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	Faults   map[string]int `json:"faults"`
	Orders   int            `json:"orders"`
	// Stalls counts the times at which the soak itself didn't run for a while, and
	// Passed the checks against the clock that are passed over around them.
	Stalls int      `json:"stalls"`
	Passed int      `json:"checks-passed-over"`
	Broken []string `json:"broken"`
}

// Soaker runs one soak.
type Soaker struct {
	cfg   Config
	world *world
	judge *judge
	rng   *rand.Rand

	mu     sync.Mutex
	faults map[string]int
}

// New returns a Soaker, or an Error of KindInvalid.
func New(cfg Config) (*Soaker, error) {
	switch {
	case cfg.Logger == nil || cfg.Binary == "" || cfg.Dir == "":
		return nil, newError("new soaker", KindInvalid, errors.New("logger, binary and directory are needed"))
	case cfg.Hosts < 2 || cfg.Hosts > maxHosts || cfg.Engines < 2 || cfg.Plains < 2 || cfg.Callers < 1 || cfg.Storm < 0:
		return nil, newError("new soaker", KindInvalid, errors.Newf("hosts is %d, want 2 to %d; engines and plains at least 2; callers at least 1", cfg.Hosts, maxHosts))
	}
	return &Soaker{cfg: cfg, judge: newJudge(), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), faults: map[string]int{}}, nil
}

// Run plays the storm and the calm time. Broken promises are in the Result; an
// error means that the soak itself could not be run, or was interrupted.
func (s *Soaker) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, s.cfg, s.judge)
	if err != nil {
		return Result{}, err
	}
	s.world = w
	defer w.close()
	if err := w.awaitReady(ctx, startTime); err != nil {
		return Result{}, err
	}
	g, loading := errgroup.WithContext(ctx)
	callers, end := context.WithCancel(loading)
	for n := range s.cfg.Callers {
		c := newCaller(w, s.judge, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)+1)), n)
		g.Go(func() error { c.run(callers); return nil })
	}
	g.Go(func() error { s.judge.watchStalls(callers); return nil })
	s.storm(ctx)
	w.heal()
	sleep(ctx, settleTime)
	s.calm(ctx)
	end()
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	// What an interrupted soak saw proves nothing.
	return s.result(), ctx.Err()
}

func (s *Soaker) result() Result {
	r := s.judge.result()
	r.Seed = s.cfg.Seed
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Faults = s.faults
	return r
}

// note counts and logs a fault or a planned step.
func (s *Soaker) note(name string, fields ...any) {
	s.mu.Lock()
	s.faults[name]++
	s.mu.Unlock()
	s.cfg.Logger.Info(name, fields...)
}

// calm checks planned work, one step after the other, while requests go on. All of
// it must be in force within the platform's bounds, and cost no request.
func (s *Soaker) calm(ctx context.Context) {
	w, j := s.world, s.judge
	before := j.tally()
	j.expectOneVersion(w.engines, w.version())
	s.note("weights named in calm")
	version := w.nameWeights()
	s.drain(ctx)
	s.evacuate(ctx)
	key := w.revoke()
	s.note("key revoked in calm", "key", key)
	for _, h := range w.hosts {
		s.note("host restarted in calm", "host", h.name)
		from := time.Now()
		h.stop(ctx)
		if !h.start(w.judge) || !h.ready(ctx, startTime) {
			j.breach("restart", fmt.Sprintf("%s doesn't serve again after a restart in good order", h.name))
		}
		j.expectNoneCut(h.name, from)
		if time.Since(from) > time.Minute || len(w.hosts) > maxCalmRestarts && h.index >= maxCalmRestarts {
			break
		}
	}
	j.expectOneVersion(w.engines, version)
	j.expectServed(before, calmServed)
}

// maxCalmRestarts bounds the hosts that are restarted one by one in the calm time.
const maxCalmRestarts = 4

// drain lets a target leave in good order.
func (s *Soaker) drain(ctx context.Context) {
	t := s.world.plains[s.rng.IntN(len(s.world.plains))]
	s.note("target drained in calm", "target", t.name)
	acknowledged := t.announce(true)
	sleep(ctx, leaveTime+2*time.Second)
	s.judge.expectNone(acknowledged.Add(leaveTime), func(target string) bool { return target == t.name }, "a leaving target")
	t.announce(false)
}

// evacuate takes a data centre out and in again.
func (s *Soaker) evacuate(ctx context.Context) {
	dc := dataCentres[s.rng.IntN(len(dataCentres))]
	s.note("data centre out in calm", "data-centre", dc)
	acknowledged := s.world.takeOut(dc)
	sleep(ctx, evacuationTime+2*time.Second)
	s.judge.expectNone(acknowledged.Add(evacuationTime), func(target string) bool { return s.world.placeOf(target) == dc }, "a data centre that is out")
	s.world.takeIn(dc)
	sleep(ctx, time.Second)
}

// sleep waits for d, and returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
