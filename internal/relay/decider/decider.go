// Package decider makes all routing, retry, caching and rollout decisions of the relay. It is a
// pure reducer over events: it reads no clock, does no I/O and starts no goroutine, and returns
// the actions to take as data.
package decider

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// targetsCheckInterval is the interval between passes over all targets of a large fleet. Requests check
// what they depend on themselves.
const targetsCheckInterval = 250 * time.Millisecond

// Config holds the fixed settings of a State.
type Config struct {
	Host       string
	DataCentre string
	Regions    map[string]string
	// Boot identifies the process; it differs between all processes of a host.
	Boot int64
	Seed uint64
	// FirstStart is true if all hosts start at about the same time.
	FirstStart bool
	// RetryRatio and RetrySlack limit the retries of all hosts together in any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LeaseTerm is how long a lease holder keeps the lease after it last renewed it.
	LeaseTerm time.Duration
	// RevokeAfter is the time after its revocation from which a key must be rejected.
	RevokeAfter time.Duration
	// WeightsWithin is the time after a weights version is named by which all engines must use
	// it.
	WeightsWithin time.Duration
	// ConstantCosts makes the decider estimate all costs with constants.
	ConstantCosts bool
	// Rollouts is nil on platforms without rollouts.
	Rollouts *descriptor.RolloutBounds
}

// State holds all state that the decisions of one host depend on. Each embedded struct has a
// file of its own. State is not safe for concurrent use.
type State struct {
	cfg Config
	now time.Time
	// startedAt is the time of the first event, targetsCheckedAt that of the last pass over all targets.
	startedAt, targetsCheckedAt time.Time
	rng                         *rand.Rand
	effects                     []Effect

	fleet
	naming
	noticing
	limiting
	requests
	cacheDirectory
	scoping
	hostRanking
	peers
	aggregation
	retries
	rollout
	crashHistory
	quarantine
	costing
	rolling
	stopping bool
	// requestsClosed and requestsEnded are true from the events of that name.
	requestsClosed, requestsEnded bool
}

// New returns a State without a configuration, which refuses all requests.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		fleet: newFleet(), naming: newNaming(), noticing: newNoticing(), limiting: newLimiting(), requests: newRequests(), cacheDirectory: newCacheDirectory(), scoping: newScoping(), hostRanking: newHostRanking(), peers: newPeers(), aggregation: newAggregation(),
		retries: retries{retryBudgets: map[string]*retryBudget{}}, rollout: newRollout(),
		crashHistory: newCrashHistory(), quarantine: newQuarantine(), costing: newCosting(cfg), rolling: newRolling(),
	}
}

// Reduce processes one event at the time now and returns the effects to carry out, in order.
// The time must not run backwards between calls, and must include the time for which the host
// is suspended.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.effects = nil
	s.detectSuspension(now)
	if s.now.IsZero() {
		s.startedAt = now
	}
	s.now = now
	switch ev := ev.(type) {
	case RequestArrived:
		s.onRequestArrived(ev)
	case ResponseStarted:
		s.onResponseStarted(ev)
	case AttemptDone:
		s.onAttemptDone(ev)
	case AttemptFailed:
		s.onAttemptFailed(ev)
	case CallerDisconnected:
		s.onCallerDisconnected(ev)
	case RequestUnread:
		s.onRequestUnread(ev)
	case PartsChanged:
		s.onPartsChanged(ev)
	case StoreLost:
		s.onStoreLost(ev)
	case MessageReceived:
		s.onMessageReceived(ev)
	case PartsRelayed:
		s.onPartsRelayed(ev)
	case HostsListed:
		s.onHostsListed(ev)
	case Tick:
		s.onTick()
	case StopRequested:
		s.stopping = true
		s.broadcast()
	case RequestsClosed:
		s.requestsClosed = true
	case RequestsEnded:
		s.requestsEnded = true
	default:
		s.reduceClusterEvent(ev)
	}
	return s.effects
}

// reduceClusterEvent handles the events from the platform and from targets.
func (s *State) reduceClusterEvent(ev Event) {
	switch ev := ev.(type) {
	case ConfigListed:
		s.onConfigListed(ev)
	case ConfigConfirmed:
		s.onConfigConfirmed(ev)
	case TargetsListed:
		s.onTargetsListed(ev)
	case EvacuationsListed:
		s.onEvacuationsListed(ev)
	case RevisionConfirmed:
		s.onRevisionConfirmed(ev)
	case DesiredWeightsChanged:
		s.onDesiredWeightsChanged(ev)
	case LeaseAnswered:
		s.onLeaseAnswered(ev)
	case ReportAnswered:
		s.onReportAnswered(ev)
	case OrderAnswered:
		s.onOrderAnswered(ev)
	case ProbeAnswered:
		s.onProbeAnswered(ev)
	case NoticeReceived:
		s.onNoticeReceived(ev)
	case QuarantineListed:
		s.onQuarantineListed(ev)
	case QuarantineKept:
		s.onQuarantineKept(ev)
	case TrialClaimed:
		s.onTrialClaimed(ev)
	case RolloutsListed:
		s.onRolloutsListed(ev)
	case RolloutStatusWritten:
		s.onRolloutStatusWritten(ev)
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(event, request string, fields ...any) {
	s.emit(LogEntry{Event: event, Request: request, Fields: fields})
}

func (s *State) onTick() {
	if !s.isLarge() || s.now.Sub(s.targetsCheckedAt) >= targetsCheckInterval {
		s.targetsCheckedAt = s.now
		s.expireMissing()
		s.freeOutdatedParts()
		s.freeEndedScopes()
	}
	s.probeDownTargets()
	s.advanceLease()
	s.advanceUpdates()
	s.passOnParts()
	s.expireCrashes()
	s.keepQuarantine()
	s.expireQuarantine()
	s.expirePermitRequests()
	s.expireLimits()
	s.advanceRollouts()
	s.sendPeriodicMessages()
}

// Ready reports whether the host can serve callers. It can't before the configuration was confirmed
// once, as requests with keys are refused until then.
func (s *State) Ready() bool {
	return !s.stopping && s.config != nil && !s.configConfirmedAt.IsZero() && len(s.targets) > 0 && s.rolloutsKnown()
}

// Stores returns the addresses of the configured stores.
func (s *State) Stores() []netip.AddrPort {
	var list []netip.AddrPort
	for _, st := range s.stores {
		list = append(list, st.Address)
	}
	return list
}

// Limits returns the request limits, or nil before the first configuration.
func (s *State) Limits() *descriptor.Limits {
	if s.config == nil {
		return nil
	}
	return &s.config.Limits
}
