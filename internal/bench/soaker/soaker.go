// Package soaker runs real relay processes under injected faults, and checks the
// guarantees of the relay against what callers and targets observe.
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
	"cardamomscale.example/cardamomscale/internal/standin/reserver"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindInvalid reports an invalid Config.
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
	// Seed determines the faults and the load, but not how the processes interleave.
	Seed uint64
	// FaultDuration is the duration of the phase with faults. It is followed by a phase
	// with planned maintenance only.
	FaultDuration time.Duration
	// Hosts, Engines and PlainTargets are the numbers of hosts, each a process of its own,
	// of model engines and of targets of the plain service.
	Hosts, Engines, PlainTargets int
	// Callers is the number of concurrent callers.
	Callers int
	// Binary is the path of cardamomd, and Dir the directory for settings and logs.
	Binary string
	Dir    string
	Logger hclog.Logger
	// ports is the range of the hosts' ports; the default one of reserver if it is empty.
	ports reserver.Config
}

const (
	// maxHosts keeps the processes well under a few hundred.
	maxHosts = 150
	// readyTimeout bounds the time until a started host is ready.
	readyTimeout = 15 * time.Second
	// recoveryTime is the pause between the faults and the maintenance: twice the time
	// in which a stable deployment has reconnected and new weights are in place.
	recoveryTime = 8 * time.Second
	// minAnsweredShare is the share of requests that must be answered during maintenance.
	minAnsweredShare = 0.95
)

// Result is the outcome of a soak.
type Result struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	Faults   map[string]int `json:"faults"`
	Orders   int            `json:"orders"`
	// Crashes counts the targets that crashed on a part or a request, FatalRuns the requests that reached
	// targets with it from hosts in touch. SoundAnswered of SoundSent sound ones were answered after that.
	Crashes       int `json:"crashes"`
	FatalRuns     int `json:"fatal-runs"`
	SoundSent     int `json:"sound-sent"`
	SoundAnswered int `json:"sound-answered"`
	// Stalls counts the times at which the soak's own process wasn't scheduled for a
	// while, and SkippedChecks the checks against the clock that were skipped because
	// of them.
	Stalls        int `json:"stalls"`
	SkippedChecks int `json:"checks-passed-over"`
	// Violations describes the first violations of rules.
	Violations []string `json:"broken"`
}

// Soaker runs one soak.
type Soaker struct {
	cfg     Config
	cluster *cluster
	checker *checker
	rng     *rand.Rand

	mu     sync.Mutex
	faults map[string]int
}

// New returns a Soaker, or an Error of KindInvalid.
func New(cfg Config) (*Soaker, error) {
	switch {
	case cfg.Logger == nil || cfg.Binary == "" || cfg.Dir == "":
		return nil, newError("new soaker", KindInvalid, errors.New("logger, binary and directory are needed"))
	case cfg.Hosts < 2 || cfg.Hosts > maxHosts || cfg.Engines < 2 || cfg.PlainTargets < 2 || cfg.Callers < 1 || cfg.FaultDuration < 0:
		return nil, newError("new soaker", KindInvalid, errors.Newf("hosts is %d, want 2 to %d; engines and plains at least 2; callers at least 1", cfg.Hosts, maxHosts))
	}
	if cfg.ports == (reserver.Config{}) {
		cfg.ports = reserver.Config{First: reserver.DefaultFirst, Last: reserver.DefaultLast}
	}
	return &Soaker{cfg: cfg, checker: newChecker(), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), faults: map[string]int{}}, nil
}

// Run injects faults, clears them, pauses lease holders, lets prompts crash engines and targets name limits,
// stops hosts under uploads, and then checks planned maintenance. Violations are in the Result; an error means that the soak itself could not be run, or was interrupted.
func (s *Soaker) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cl, err := newCluster(ctx, s.cfg, s.checker)
	if err != nil {
		return Result{}, err
	}
	s.cluster = cl
	defer cl.close()
	if err := cl.awaitReady(ctx, readyTimeout); err != nil {
		return Result{}, err
	}
	g, groupCtx := errgroup.WithContext(ctx)
	callerCtx, stopCallers := context.WithCancel(groupCtx)
	for n := range s.cfg.Callers {
		c := newCaller(cl, s.checker, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)+1)), n)
		g.Go(func() error { c.run(callerCtx); return nil })
	}
	g.Go(func() error { s.checker.watchStalls(callerCtx); return nil })
	s.injectFaults(ctx)
	cl.clearFaults()
	sleep(ctx, recoveryTime)
	s.pauseSeries(ctx)
	s.crashSeries(ctx)
	s.limitSeries(ctx)
	sleep(ctx, recoveryTime)
	s.stopSeries(ctx)
	sleep(ctx, contactTime)
	s.checkMaintenance(ctx)
	stopCallers()
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	// The result of an interrupted soak is incomplete, so that it counts as an error.
	return s.result(), ctx.Err()
}

func (s *Soaker) result() Result {
	r := s.checker.result()
	r.Seed = s.cfg.Seed
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Faults = s.faults
	return r
}

// recordEvent counts and logs a fault or a maintenance step.
func (s *Soaker) recordEvent(name string, fields ...any) {
	s.mu.Lock()
	s.faults[name]++
	s.mu.Unlock()
	s.cfg.Logger.Info(name, fields...)
}

// checkMaintenance changes weights and keys, drains a target, evacuates a data centre and
// restarts hosts, one after the other and under load. Each change must take effect within
// the platform's bounds, and none may make requests fail.
func (s *Soaker) checkMaintenance(ctx context.Context) {
	cl, chk := s.cluster, s.checker
	before := chk.currentCounts()
	chk.awaitWeightVersion(cl.engines, cl.weightVersion())
	s.recordEvent("weights named in calm")
	version := cl.publishWeights()
	s.checkDrain(ctx)
	s.checkEvacuation(ctx)
	key := cl.rotateKey()
	s.recordEvent("key revoked in calm", "key", key)
	for _, h := range cl.hosts {
		s.recordEvent("host restarted in calm", "host", h.name)
		from := time.Now()
		h.stop(ctx)
		if !h.start(cl.checker) || !h.awaitReady(ctx, readyTimeout) {
			chk.addViolation("restart", fmt.Sprintf("%s doesn't serve again after a restart in good order", h.name))
		}
		chk.checkNoCutRequests(h.name, from)
		if time.Since(from) > time.Minute || len(cl.hosts) > maxMaintenanceRestarts && h.index >= maxMaintenanceRestarts {
			break
		}
	}
	chk.awaitWeightVersion(cl.engines, version)
	chk.checkAnsweredShare(before, minAnsweredShare)
}

// maxMaintenanceRestarts bounds the hosts that are restarted one by one as maintenance.
const maxMaintenanceRestarts = 4

// checkDrain drains a target and checks that it then receives no requests.
func (s *Soaker) checkDrain(ctx context.Context) {
	t := s.cluster.plains[s.rng.IntN(len(s.cluster.plains))]
	s.recordEvent("target drained in calm", "target", t.name)
	acknowledged := t.announce(true)
	sleep(ctx, maxDrainTime+2*time.Second)
	s.checker.checkNoExecutions(acknowledged.Add(maxDrainTime), func(target string) bool { return target == t.name }, "a leaving target")
	t.announce(false)
}

// checkEvacuation evacuates a data centre, checks that its targets then receive no
// requests, and ends the evacuation.
func (s *Soaker) checkEvacuation(ctx context.Context) {
	dc := dataCentres[s.rng.IntN(len(dataCentres))]
	s.recordEvent("data centre out in calm", "data-centre", dc)
	acknowledged := s.cluster.evacuate(dc)
	sleep(ctx, maxEvacuationTime+2*time.Second)
	s.checker.checkNoExecutions(acknowledged.Add(maxEvacuationTime), func(target string) bool { return s.cluster.dataCentreOf(target) == dc }, "a data centre that is out")
	s.cluster.endEvacuation(dc)
	sleep(ctx, time.Second)
}

// sleep waits for d. It returns false if ctx ends before.
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
