// Package reducer makes all of a daemon's decisions. It is one pure reducer over
// events: it reads no clock, does no I/O and starts no goroutine, and returns
// what is to be done as data.
package reducer

import (
	"math/rand/v2"
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Config configures a State.
type Config struct {
	Host       identifier.Host
	DataCentre identifier.DataCentre
	// Seed makes the random choices repeatable.
	Seed uint64
	// BlockSecret keys the names of cache blocks; all daemons share it.
	BlockSecret []byte
	// MaxRequests bounds the requests held at once; 0 means DefaultMaxRequests.
	MaxRequests int
	// MaxPrefixes bounds the remembered cache blocks; 0 means DefaultMaxPrefixes.
	MaxPrefixes int
}

const (
	// DefaultMaxRequests is the number of requests that one daemon holds at most.
	DefaultMaxRequests = 4096
	// DefaultMaxPrefixes is the number of cache blocks that one daemon remembers.
	DefaultMaxPrefixes = 32768
)

// State is all that one daemon knows and decides by. Its areas are embedded and
// each has a file of its own. State is not safe for concurrent use.
type State struct {
	cfg   Config
	now   time.Time
	rng   *rand.Rand
	keyer *hasher.Keyer
	out   []Effect
	// quiet is true when the event can't have made room for a queued request.
	quiet bool

	configuration
	admission
	queueing
	routing
	attempts
	caching
	linking
	weighing
	owning
	draining
}

// New returns a State that knows no configuration yet and refuses all requests.
func New(cfg Config) *State {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = DefaultMaxRequests
	}
	if cfg.MaxPrefixes == 0 {
		cfg.MaxPrefixes = DefaultMaxPrefixes
	}
	s := &State{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		keyer: hasher.New(hasher.Config{Secret: cfg.BlockSecret}),
	}
	s.configuration = newConfiguration()
	s.admission = newAdmission()
	s.queueing = newQueueing()
	s.routing = newRouting()
	s.attempts = newAttempts()
	s.caching = newCaching(cfg.MaxPrefixes)
	s.linking = newLinking()
	s.weighing = newWeighing()
	s.owning = newOwning(cfg.Host)
	s.groupHosts()
	return s
}

// Reduce takes in one event at the time now and returns what is to be done, in
// order. The time never runs backwards between calls.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.now = now
	s.out = nil
	s.quiet = false
	s.reduce(ev)
	if !s.quiet {
		s.dispatch()
	}
	s.checkDrained()
	return s.out
}

func (s *State) reduce(ev Event) {
	switch ev := ev.(type) {
	case ConfigAdopted:
		s.onConfigAdopted(ev)
	case RequestArrived:
		s.onRequestArrived(ev)
	case CallerGone:
		s.onCallerGone(ev)
	case AttemptStarted:
		s.onAttemptStarted(ev)
	case AttemptDone:
		s.onAttemptDone(ev)
	case AttemptFailed:
		s.onAttemptFailed(ev)
	case LookupDone:
		s.onLookupDone(ev)
	case ImportDone:
		s.onImportDone(ev)
	case ExportDone:
		s.onExportDone(ev)
	case ClaimSettled:
		s.onClaimSettled(ev)
	case DrainStarted:
		s.onDrainStarted()
	case Tick:
		s.onTick()
	default:
		s.reduceSurroundings(ev)
	}
}

// reduceSurroundings takes in events about targets, peers and membership.
func (s *State) reduceSurroundings(ev Event) {
	switch ev := ev.(type) {
	case LoadObserved:
		s.onLoadObserved(ev)
	case IncarnationSeen:
		s.onIncarnationSeen(ev.Target, ev.Incarnation, ev.Cold)
	case TargetUnreachable:
		s.onTargetUnreachable(ev)
	case CacheObserved:
		s.onCacheObserved(ev)
	case OwnershipChanged:
		s.onOwnershipChanged(ev)
	case PeersChanged:
		s.onPeersChanged(ev)
	case MembersChanged:
		s.onMembersChanged(ev)
	case LinkAsked:
		s.onLinkAsked(ev)
	case LinkSettled:
		s.onLinkSettled(ev)
	case LinkReturned:
		s.onLinkReturned(ev)
	case PermitAsked:
		s.onPermitAsked(ev)
	case PermitSettled:
		s.onPermitSettled(ev)
	case PermitReturned:
		s.onPermitReturned(ev)
	}
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(id identifier.Request, step Step, target identifier.Target, detail string) {
	s.emit(Note{Request: id, Step: step, Target: target, Detail: detail})
}

func (s *State) onTick() {
	s.expireQueued()
	s.retryExports()
	s.expirePermits()
	if s.lingering {
		s.assignTargets()
	}
}
