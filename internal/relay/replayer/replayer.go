// Package replayer simulates relay hosts under load in virtual time. It drives the real
// reducer with generated arrivals against a model of the engines and stores, which
// follows the specifications of the deployments. The same Config yields the same Result.
package replayer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/bench/scheduler"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports an invalid Config.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config describes a replay.
type Config struct {
	Hosts   int `json:"hosts"`
	Engines int `json:"engines"`
	// LongRate and ShortRate are the arrivals of long and short prompts per second.
	LongRate  float64 `json:"long-rate"`
	ShortRate float64 `json:"short-rate"`
	// Subjects is the number of distinct long parts that prompts have in common.
	Subjects int `json:"subjects"`
	// Length is the simulated time with arrivals.
	Length time.Duration `json:"length"`
	// MessageDelay is the delay of messages between hosts.
	MessageDelay time.Duration `json:"message-delay"`
	Seed         uint64        `json:"seed"`
	Faults       []Fault       `json:"troubles"`
	// Paced makes the engines state the pace of their machines; nil leaves them as they are.
	Paced *Paced `json:"paced,omitempty"`
}

// FaultKind classifies faults.
type FaultKind string

// The kinds of faults.
const (
	// FaultUnresponsive stops Count engines from responding.
	FaultUnresponsive FaultKind = "dark"
	// FaultSlowStore makes the link of a large store Factor times slower.
	FaultSlowStore FaultKind = "slow-store"
	// FaultNewWeights announces the weights version Count.
	FaultNewWeights FaultKind = "weights"
	// FaultBurst multiplies the arrival rates by Factor.
	FaultBurst FaultKind = "burst"
	// FaultFatalPart adds Factor long prompts a second with a part that crashes each engine that begins
	// an answer on it.
	FaultFatalPart FaultKind = "fatal-part"
	// FaultFatalRequest adds Factor repeats a second of one request that crashes each engine that begins an
	// answer on it.
	FaultFatalRequest FaultKind = "fatal-request"
	// FaultCrash lets Factor engines a second crash, whatever they run.
	FaultCrash FaultKind = "crash"
	// FaultLimit lets Count engines name a limit of Factor requests a second.
	FaultLimit FaultKind = "limit"
	// FaultIsolation isolates a team that sends nothing, which changes the salt of all others.
	FaultIsolation FaultKind = "isolation"
)

// Fault is a disturbance that starts at At, after the warm-up, and lasts for For.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Count  int           `json:"count"`
	Factor float64       `json:"factor"`
	// Delay is the time from the first part of an answer to the crash; 0 for one before it.
	Delay time.Duration `json:"delay,omitempty"`
}

// Result holds the outcomes of all requests.
type Result struct {
	Requests int `json:"requests"`
	InTime   int `json:"in-time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// OldWeights counts requests that started on older weights more than 1.5 s after
	// newer ones were announced.
	OldWeights int `json:"old-weights"`
	// PrefilledTokens counts the prompt tokens that engines prefilled, Imported those that they
	// imported from stores.
	PrefilledTokens int `json:"read"`
	Imported        int `json:"imported"`
	// Discarded counts imports that didn't finish in time.
	Discarded int `json:"discarded"`
	// Crashes counts the engines that crashed on a part or a request, FatalRequests the requests with it, and
	// FatalLate those of them that reached an engine later than contactTime after the crash from which the
	// platform's bound counts.
	Crashes       int `json:"crashes"`
	FatalRequests int `json:"fatal-requests"`
	FatalLate     int `json:"fatal-late"`
	// Quarantined counts the sound requests that were refused because something in them is in quarantine.
	Quarantined int `json:"quarantined"`
	// OverLimit counts the requests that reached engines beyond the platform's rule for limits, RefusedLimited
	// those that were refused because of limits.
	OverLimit      int `json:"over-limit"`
	RefusedLimited int `json:"refused-limited"`
	// Orders counts accepted orders.
	Orders int `json:"orders"`
	// OrderTime is the total time from the acceptance of orders to their completion.
	OrderTime time.Duration `json:"under-order"`
}

// InTimeShare returns the share of requests whose first part arrived within the latency goal.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

const (
	modelName = "model-1"
	// networkDelay is the one-way delay between a host and an engine, platformDelay the
	// duration of a call to the platform.
	networkDelay  = time.Millisecond
	platformDelay = 4 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	// connectTimeout is how long a host waits for an unresponsive engine.
	connectTimeout = 400 * time.Millisecond
	// oldWeightsGrace is the time after which requests on older weights count for less under
	// the service's objective.
	oldWeightsGrace = 1500 * time.Millisecond
	// contactTime, partCrashBound and requestCrashBound are the platform's bounds for parts and requests that
	// crash engines, and crashDowntime how long an engine is away after a crash.
	contactTime       = 3 * time.Second
	partCrashBound    = 5
	requestCrashBound = 3
	crashDowntime     = 2 * time.Second
	longGoal          = 300 * time.Millisecond
	shortGoal         = 200 * time.Millisecond
)

// Replayer is the state of one simulation.
type Replayer struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	start time.Time
	queue scheduler.Queue
	hosts []*host
	// byAddress maps the addresses for messages to their hosts.
	byAddress      map[netip.AddrPort]*host
	engines        map[string]*engine
	stores         map[netip.AddrPort]*store
	versionNamedAt time.Time
	version        int
	arrivalFactor  float64
	// fatal is the fault of requests that crash engines, which come until fatalUntil. From crash crashBound on
	// few may reach engines, from boundAt.
	fatal               Fault
	fatalUntil, boundAt time.Time
	crashBound          int
	// trials counts the trials that were claimed.
	trials int
	// lastEngine numbers the processes of engines.
	lastEngine int
	// revision is that of the platform's store.
	revision   int64
	lease      decider.Lease
	result     Result
	lastNumber int64
	// open holds the requests that haven't ended.
	open map[int64]*request
	// kinds holds the outcomes by path.
	kinds map[string]*KindResult
}

// host is one relay's reducer.
type host struct {
	*decider.State
	name string
}

// New returns a Replayer that is ready to run, or an Error of KindInvalid.
func New(cfg Config) (*Replayer, error) {
	if cfg.Hosts < 1 || cfg.Engines < 1 || cfg.Length <= 0 || cfg.Subjects < 1 {
		return nil, &Error{failer.Detail[Kind]{Op: "new replayer", Kind: KindInvalid, Err: errors.New("hosts, engines, subjects and length must be above 0")}}
	}
	r := &Replayer{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		engines: map[string]*engine{}, version: 1, arrivalFactor: 1, open: map[int64]*request{}, byAddress: map[netip.AddrPort]*host{}, kinds: map[string]*KindResult{},
	}
	config := r.config()
	var list []descriptor.Target
	for n := range cfg.Engines {
		d := descriptor.Target{
			ID: fmt.Sprintf("engine-%02d", n+1), Service: "engines", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1)),
			DataCentre: "a", Slots: cfg.slots(), StartedAt: time.UnixMilli(1), Weights: map[string]int{modelName: 1},
		}
		list = append(list, d)
		r.engines[d.ID] = &engine{Target: d, replayer: r, id: d.ID, version: 1, cachedUntil: map[string]time.Time{}}
	}
	r.lastEngine = cfg.Engines
	hosts := map[string]descriptor.Host{}
	for n := range cfg.Hosts {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7000", n+1))
		hosts[fmt.Sprintf("host-%02d", n+1)] = descriptor.Host{Address: addr, DataCentre: "a"}
	}
	r.newStores(config)
	for n := range cfg.Hosts {
		h := &host{name: fmt.Sprintf("host-%02d", n+1)}
		h.State = decider.New(decider.Config{
			Host: h.name, DataCentre: "a", Regions: map[string]string{"a": "r"}, Boot: 1, Seed: cfg.Seed + uint64(n),
			RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, LeaseTerm: 3 * time.Second, RevokeAfter: 5 * time.Second, WeightsWithin: 8 * time.Second, ConstantCosts: cfg.Paced != nil && cfg.Paced.ConstantCosts,
		})
		r.hosts = append(r.hosts, h)
		r.byAddress[hosts[h.name].Address] = h
		r.post(h, decider.ConfigListed{Config: config})
		r.post(h, decider.ConfigConfirmed{AsOf: r.now})
		r.post(h, decider.TargetsListed{Targets: list, Whole: true})
		r.post(h, decider.DesiredWeightsChanged{Model: modelName, Version: 1, Listed: true})
		r.post(h, decider.HostsListed{Hosts: hosts})
		for _, addr := range r.storeAddresses() {
			r.post(h, decider.PartsChanged{Store: addr, Changes: descriptor.PartChanges{Boot: 1}, Whole: true})
		}
	}
	return r, nil
}

// config returns the configuration of the farm shop deployment's engines and stores.
func (r *Replayer) config() *descriptor.Config {
	share := []descriptor.Share{{Service: "engines", Weight: 1}}
	cfg := &descriptor.Config{
		Version: 1, Keys: map[string]*descriptor.Team{},
		Routes: []descriptor.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: descriptor.KindStream, Timeout: 5 * time.Second, Goal: longGoal, Priority: 1, Attempts: 1, Shares: share},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: descriptor.KindStream, Timeout: 15 * time.Second, Goal: shortGoal, Attempts: 2, Resumable: true, Shares: share},
		},
		Services: map[string]*descriptor.Service{
			"engines": {Name: "engines", MaxConnections: 300, ColdRate: 13, Engine: &descriptor.Engine{Slots: r.cfg.slots(), MemoryTokens: r.cfg.memoryTokens(), TokenBytes: 192512}},
		},
	}
	add := func(n, tokens int, linkMbps float64, latency time.Duration) {
		name := fmt.Sprint("store-", n)
		cfg.Services[name] = &descriptor.Service{Name: name, Store: &descriptor.Store{
			Address: netip.MustParseAddrPort(fmt.Sprintf("172.20.0.%d:80", n)), DataCentre: "a", CapacityTokens: tokens, LinkMbps: linkMbps, TransferLatency: latency,
		}}
	}
	for n := 1; n <= 3; n++ {
		add(n, 176859, 2e6, 500*time.Microsecond)
	}
	for n := 4; n <= 5; n++ {
		add(n, 2100206, 590000, 6*time.Millisecond)
	}
	return cfg
}

// schedule runs a function at a point in virtual time.
func (r *Replayer) schedule(when time.Time, run func()) {
	r.queue.Add(when, run)
}

func (r *Replayer) scheduleAfter(d time.Duration, run func()) { r.schedule(r.now.Add(d), run) }

// Run runs the simulation to its end.
func (r *Replayer) Run() Result {
	end := r.start.Add(r.cfg.Length)
	for i, h := range r.hosts {
		r.scheduleAfter(time.Duration(i)*tickInterval/time.Duration(len(r.hosts)), func() { r.tick(h) })
	}
	const warmUp = 2 * time.Second // Until a host holds the lease for orders.
	r.scheduleAfter(warmUp, func() { r.scheduleArrivals("/long/", r.cfg.LongRate) })
	r.scheduleAfter(warmUp, func() { r.scheduleArrivals("/short/", r.cfg.ShortRate) })
	r.scheduleAfter(warmUp, r.varyPaces)
	for _, fault := range r.cfg.Faults {
		r.scheduleAfter(warmUp+fault.At, func() { r.injectFault(fault) })
	}
	for {
		ev, ok := r.queue.Next(end.Add(warmUp))
		if !ok {
			return r.result
		}
		r.now = ev.At
		ev.Run()
	}
}

// storeAddresses returns the addresses of the stores in a fixed order, so that a seed always gives
// the same run.
func (r *Replayer) storeAddresses() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(r.stores), netip.AddrPort.Compare)
}

func (r *Replayer) tick(h *host) {
	r.post(h, decider.ConfigConfirmed{AsOf: r.now})
	r.post(h, decider.RevisionConfirmed{Revision: r.revision, AsOf: r.now})
	for _, addr := range r.storeAddresses() {
		r.post(h, decider.PartsChanged{Store: addr, AsOf: r.now, Changes: descriptor.PartChanges{Boot: 1, Clock: r.now}})
	}
	r.post(h, decider.Tick{})
	r.scheduleAfter(tickInterval, func() { r.tick(h) })
}

// scheduleArrivals sends a request and schedules the next one, as a Poisson process.
func (r *Replayer) scheduleArrivals(path string, rate float64) {
	if rate <= 0 {
		return
	}
	r.sendRequest(path)
	pause := time.Duration(r.rng.ExpFloat64() / (rate * r.arrivalFactor) * float64(time.Second))
	r.scheduleAfter(pause, func() { r.scheduleArrivals(path, rate) })
}

// scheduleFatalArrivals sends a request that crashes engines and schedules the next one.
func (r *Replayer) scheduleFatalArrivals(rate float64) {
	if rate <= 0 || r.now.After(r.fatalUntil) {
		return
	}
	r.result.FatalRequests++
	r.sendFatalRequest()
	r.scheduleAfter(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() { r.scheduleFatalArrivals(rate) })
}

// scheduleCrashes lets an engine that runs requests crash, and schedules the next crash before a time.
func (r *Replayer) scheduleCrashes(rate float64, until time.Time) {
	if rate <= 0 || r.now.After(until) {
		return
	}
	var busy []*engine
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		if e := r.engines[id]; !e.isSilent() && len(e.running) > 0 {
			busy = append(busy, e)
		}
	}
	if len(busy) > 0 {
		busy[r.rng.IntN(len(busy))].crash()
	}
	r.scheduleAfter(time.Duration(float64(time.Second)/rate), func() { r.scheduleCrashes(rate, until) })
}

func (r *Replayer) injectFault(fault Fault) {
	switch fault.Kind {
	case FaultUnresponsive:
		for n := range fault.Count {
			e := r.engines[fmt.Sprintf("engine-%02d", n+1)]
			e.unresponsive = true
			r.scheduleAfter(fault.For, func() { e.unresponsive = false })
		}
	case FaultSlowStore:
		for _, addr := range r.storeAddresses() {
			if store := r.stores[addr]; store.TransferLatency > time.Millisecond {
				store.slowFactor = fault.Factor
				r.scheduleAfter(fault.For, func() { store.slowFactor = 1 })
				return
			}
		}
	case FaultNewWeights:
		r.revision++
		r.version, r.versionNamedAt = fault.Count, r.now
		for _, h := range r.hosts {
			r.post(h, decider.DesiredWeightsChanged{Model: modelName, Version: fault.Count, Revision: r.revision})
		}
	case FaultFatalPart, FaultFatalRequest:
		r.fatal, r.fatalUntil, r.crashBound = fault, r.now.Add(fault.For), partCrashBound
		if fault.Kind == FaultFatalRequest {
			r.crashBound = requestCrashBound
		}
		r.scheduleFatalArrivals(fault.Factor)
	case FaultCrash:
		r.scheduleCrashes(fault.Factor, r.now.Add(fault.For))
	case FaultLimit:
		for n := range fault.Count {
			e := r.engines[fmt.Sprintf("engine-%02d", n+1)]
			e.limit = descriptor.RateLimit{Kind: descriptor.LimitNamed, PerSecond: fault.Factor}
			e.record.Name(r.now, fault.Factor)
			r.scheduleAfter(fault.For, func() {
				e.limit = descriptor.RateLimit{}
				e.record.EndLimit(r.now)
			})
		}
	case FaultIsolation:
		cfg := r.config()
		cfg.Version, cfg.IsolatedTeams = 2, []string{"idle-team"}
		for _, h := range r.hosts {
			r.post(h, decider.ConfigListed{Config: cfg})
		}
	case FaultBurst:
		r.arrivalFactor = fault.Factor
		r.scheduleAfter(fault.For, func() { r.arrivalFactor = 1 })
	}
}

// post reduces an event on a host and executes its effects.
func (r *Replayer) post(h *host, ev decider.Event) {
	for _, effect := range h.Reduce(ev, r.now) {
		r.execute(h, effect)
	}
}

func (r *Replayer) execute(h *host, effect decider.Effect) {
	switch e := effect.(type) {
	case decider.SendMessage:
		for _, addr := range e.To {
			peer := r.byAddress[addr]
			r.scheduleAfter(r.cfg.MessageDelay, func() { r.post(peer, decider.MessageReceived{Message: e.Message}) })
		}
	case decider.ReadLease:
		r.scheduleAfter(platformDelay, func() {
			r.post(h, decider.LeaseAnswered{Lease: r.lease, CalledAt: r.now.Add(-platformDelay), Missing: r.lease.Revision == 0})
		})
	case decider.RenewLease:
		r.scheduleAfter(platformDelay, func() { r.renewLease(h, e) })
	case decider.ReadReport:
		target := r.engines[e.Target]
		r.scheduleAfter(2*networkDelay, func() { r.postReport(h, target) })
	case decider.GiveOrder:
		target := r.engines[e.Target]
		r.scheduleAfter(2*networkDelay, func() { r.sendOrder(h, target, e.Order) })
	case decider.Probe:
		target := r.engines[e.Target]
		r.scheduleAfter(2*networkDelay, func() { r.post(h, decider.ProbeAnswered{Target: target.id, Alive: !target.isSilent()}) })
	case decider.KeepQuarantine:
		r.scheduleAfter(platformDelay, func() { r.post(h, decider.QuarantineKept{Suspect: e.Suspect}) })
	case decider.ClaimTrial:
		r.scheduleAfter(platformDelay, func() { r.claimTrial(h, e.KeptSuspect) })
	case decider.Send:
		r.forward(h, e)
	case decider.Refuse:
		r.recordRefusal(e)
	}
}

func (r *Replayer) renewLease(h *host, e decider.RenewLease) {
	if e.Revision != r.lease.Revision {
		r.post(h, decider.LeaseAnswered{CalledAt: r.now.Add(-platformDelay), Written: true, Err: true})
		return
	}
	r.revision++
	r.lease = decider.Lease{Revision: r.revision, Holder: h.name, Boot: 1, IdleFor: e.IdleFor}
	r.post(h, decider.LeaseAnswered{Lease: r.lease, CalledAt: r.now.Add(-platformDelay), Written: true})
}

// errClaimed is the error of a claim for a trial that another host has.
var errClaimed = errors.New("another host has the trial")

func (r *Replayer) claimTrial(h *host, claim descriptor.KeptSuspect) {
	ev := decider.TrialClaimed{KeptSuspect: claim}
	if claim.Trials != r.trials {
		ev.Err = errClaimed
	} else {
		r.trials++
	}
	ev.Trials = r.trials
	r.post(h, ev)
}

// errUnresponsive is the error of a call to an unresponsive engine.
var errUnresponsive = errors.New("engine doesn't respond")

func (r *Replayer) postReport(h *host, e *engine) {
	ev := decider.ReportAnswered{Target: e.id, Report: descriptor.Report{Weights: map[string]int{modelName: e.version}, Busy: e.orderedVersion != 0, Orders: e.acceptedOrders}}
	if e.isSilent() {
		ev.Err = errUnresponsive
	}
	r.post(h, ev)
}

func (r *Replayer) sendOrder(h *host, e *engine, o descriptor.Order) {
	outcome := decider.OrderRefused
	switch {
	case e.isSilent():
		outcome = decider.OrderUnknown
	case e.orderedVersion == 0 && e.acceptedOrders == o.AcceptedBefore:
		outcome = decider.OrderAccepted
		e.acceptedOrders++
		e.orderedVersion, e.orderedAt = o.Version, r.now
		if o.AbortRunning {
			e.abortRunning()
		}
		r.result.Orders++
		e.loadWeights()
	}
	r.post(h, decider.OrderAnswered{Target: e.id, Outcome: outcome})
}
