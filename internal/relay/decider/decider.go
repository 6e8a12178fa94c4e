// Package decider makes all of the relay's decisions: one pure reducer over
// events, which reads no clock, does no I/O and starts no goroutine, and returns
// what is to be done as data.
package decider

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Config configures a State.
type Config struct {
	Host       string
	DataCentre string
	Regions    map[string]string
	// Boot is different in each process of a host.
	Boot int64
	Seed uint64
	// RetryRatio and RetrySlack bound the repeats of all hosts together in any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LeaseTerm is how long the platform considers a holder of orders to be in office.
	LeaseTerm time.Duration
	// RevokeAfter is when a key that was taken away must not be used any more.
	RevokeAfter time.Duration
	// WeightsWithin is when named weights must be in use everywhere.
	WeightsWithin time.Duration
}

// State is all that one host knows and decides by. Its areas are embedded and
// each has a file of its own. State is not safe for concurrent use.
type State struct {
	cfg Config
	now time.Time
	rng *rand.Rand
	out []Effect

	fleet
	requests
	directory
	peers
	retries
	ordering
	stopping bool
}

// New returns a State that knows no configuration yet and refuses all requests.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		fleet: newFleet(), requests: newRequests(), directory: newDirectory(), peers: newPeers(),
		retries: retries{budgets: map[string]*budget{}}, ordering: newOrdering(),
	}
}

// Reduce takes in one event at the time now and returns what is to be done, in
// order. The time never runs backwards between calls; it goes on while the host
// is suspended.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.out = nil
	s.noticeSuspension(now)
	s.now = now
	switch ev := ev.(type) {
	case RequestArrived:
		s.onRequestArrived(ev)
	case AnswerBegan:
		s.onAnswerBegan(ev)
	case AttemptDone:
		s.onAttemptDone(ev)
	case AttemptFailed:
		s.onAttemptFailed(ev)
	case CallerLeft:
		s.onCallerLeft(ev)
	case PartsChanged:
		s.onPartsChanged(ev)
	case StoreLost:
		s.onStoreLost(ev)
	case PeerSaid:
		s.onPeerSaid(ev)
	case PartsTold:
		s.onPartsTold(ev)
	case HostsListed:
		s.onHostsListed(ev)
	case Tick:
		s.onTick()
	case StopAsked:
		s.stopping = true
		s.tellAll()
	default:
		s.reduceSurroundings(ev)
	}
	return s.out
}

// reduceSurroundings takes in what the platform and the targets say.
func (s *State) reduceSurroundings(ev Event) {
	switch ev := ev.(type) {
	case ConfigListed:
		s.onConfigListed(ev)
	case ConfigConfirmed:
		s.onConfigConfirmed(ev)
	case TargetsListed:
		s.onTargetsListed(ev)
	case EvacuationsListed:
		s.onEvacuationsListed(ev)
	case WeightsNamed:
		s.onWeightsNamed(ev)
	case LeaseSeen:
		s.onLeaseSeen(ev)
	case ReportSeen:
		s.onReportSeen(ev)
	case OrderAnswered:
		s.onOrderAnswered(ev)
	case ProbeAnswered:
		s.onProbeAnswered(ev)
	}
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(event, request string, fields ...any) {
	s.emit(Note{Event: event, Request: request, Fields: fields})
}

func (s *State) onTick() {
	s.expireMissing()
	s.probeDown()
	s.advanceLease()
	s.advanceOrders()
	s.freeOutdated()
	s.tellPeers()
}

// Ready reports whether the host can serve callers.
func (s *State) Ready() bool {
	return !s.stopping && s.config != nil && len(s.targets) > 0
}

// Stores returns the addresses of the stores that the configuration names.
func (s *State) Stores() []netip.AddrPort {
	var list []netip.AddrPort
	for _, st := range s.stores {
		list = append(list, st.Address)
	}
	return list
}

// Limits returns what callers may send, or nil before the first configuration.
func (s *State) Limits() *descriptor.Limits {
	if s.config == nil {
		return nil
	}
	return &s.config.Limits
}
