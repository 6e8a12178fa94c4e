// Package reducer makes all decisions of a daemon in a pure state machine. It takes
// events and returns effects as data, without reading a clock, doing I/O or
// starting goroutines.
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
	// Seed seeds the random number generator, so that decisions are reproducible.
	Seed uint64
	// BlockSecret is the key of the hashes that name cache blocks; all daemons share it.
	BlockSecret []byte
	// MaxRequests is the maximum number of concurrent requests; 0 means DefaultMaxRequests.
	MaxRequests int
	// MaxPrefixes is the maximum number of tracked cache blocks; 0 means DefaultMaxPrefixes.
	MaxPrefixes int
}

const (
	// DefaultMaxRequests is the default limit on concurrent requests in one daemon.
	DefaultMaxRequests = 4096
	// DefaultMaxPrefixes is the default limit on cache blocks that one daemon tracks.
	DefaultMaxPrefixes = 32768
)

// State is the whole state of one daemon's decisions. Each embedded struct has its
// own file. State is not safe for concurrent use.
type State struct {
	cfg     Config
	now     time.Time
	rng     *rand.Rand
	keyer   *hasher.Keyer
	effects []Effect
	// skipDispatch is set when the event can't have freed capacity for a queued request.
	skipDispatch bool

	configuration
	admission
	queueing
	routing
	attempts
	crashes
	caching
	linking
	weightOrders
	ownershipState
	draining
}

// New returns a State without a configuration. It refuses all requests until it
// has adopted one.
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
	s.crashes = newCrashes()
	s.caching = newCaching(cfg.MaxPrefixes)
	s.linking = newLinking()
	s.weightOrders = newWeightOrders()
	s.ownershipState = newOwnershipState(cfg.Host)
	s.groupHosts()
	return s
}

// Reduce applies one event at the time now and returns the resulting effects in
// the order in which they must be carried out. now must not go backwards between calls.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.now = now
	s.effects = nil
	s.skipDispatch = false
	s.reduce(ev)
	if !s.skipDispatch {
		s.dispatch()
	}
	s.checkDrained()
	return s.effects
}

func (s *State) reduce(ev Event) {
	switch ev := ev.(type) {
	case ConfigAdopted:
		s.onConfigAdopted(ev)
	case RequestArrived:
		s.onRequestArrived(ev)
	case CallerDisconnected:
		s.onCallerDisconnected(ev)
	case ResponseStarted:
		s.onResponseStarted(ev)
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
		s.reduceClusterEvent(ev)
	}
}

// reduceClusterEvent applies events about targets, peers and membership.
func (s *State) reduceClusterEvent(ev Event) {
	switch ev := ev.(type) {
	case LoadObserved:
		s.onLoadObserved(ev)
	case IncarnationObserved:
		s.onIncarnationObserved(ev.Target, ev.Incarnation, ev.Cold)
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
	case LinkRequested:
		s.onLinkRequested(ev)
	case LinkAnswered:
		s.onLinkAnswered(ev)
	case LinkReturned:
		s.onLinkReturned(ev)
	case PermitRequested:
		s.onPermitRequested(ev)
	case PermitAnswered:
		s.onPermitAnswered(ev)
	case PermitReturned:
		s.onPermitReturned(ev)
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) recordStep(id identifier.Request, step Step, target identifier.Target, detail string) {
	s.emit(RecordStep{Request: id, Step: step, Target: target, Detail: detail})
}

func (s *State) onTick() {
	s.expireQueued()
	s.retryExports()
	s.expirePermits()
	if s.handoverPending {
		s.assignTargets()
	}
}
