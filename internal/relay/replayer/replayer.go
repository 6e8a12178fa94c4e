// Package replayer drives the relay's reducer with arrivals against a model of the
// engines and stores, on virtual time. The model follows the deployments' sheets;
// the same Config gives the same Result.
package replayer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports a faulty Config.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config describes a replay.
type Config struct {
	Hosts   int `json:"hosts"`
	Engines int `json:"engines"`
	// LongRate and ShortRate are arrivals of long and short prompts a second.
	LongRate  float64 `json:"long-rate"`
	ShortRate float64 `json:"short-rate"`
	// Subjects is the number of long parts that prompts share.
	Subjects int           `json:"subjects"`
	Length   time.Duration `json:"length"`
	// MessageDelay is how long a message between hosts takes.
	MessageDelay time.Duration `json:"message-delay"`
	Seed         uint64        `json:"seed"`
	Troubles     []Fault       `json:"troubles"`
}

// FaultKind classifies troubles.
type FaultKind string

// The kinds of troubles.
const (
	// FaultUnresponsive lets Count engines answer nothing.
	FaultUnresponsive FaultKind = "dark"
	// FaultSlowStore makes the large store's link Factor times slower.
	FaultSlowStore FaultKind = "slow-store"
	// FaultNewWeights names new weights; Count is the version.
	FaultNewWeights FaultKind = "weights"
	// FaultBurst multiplies the arrivals by Factor.
	FaultBurst FaultKind = "burst"
)

// Fault happens at a time, for a while.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Count  int           `json:"count"`
	Factor float64       `json:"factor"`
}

// Result counts what became of the requests.
type Result struct {
	Requests int `json:"requests"`
	InTime   int `json:"in-time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// OldWeights counts requests that began on older weights 1.5 s after newer ones were named.
	OldWeights int `json:"old-weights"`
	// Read and Imported count prompt tokens.
	Read     int `json:"read"`
	Imported int `json:"imported"`
	// Discarded counts imports that didn't end in time.
	Discarded int `json:"discarded"`
	// Orders counts accepted orders.
	Orders int `json:"orders"`
	// OrderTime sums up the time from each accepted order to its end.
	OrderTime time.Duration `json:"under-order"`
}

// Share returns the share of requests that were answered in time.
func (r Result) Share() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

const (
	modelName = "model-1"
	// networkDelay is the way between a host and an engine, platformDelay a call of the platform.
	networkDelay  = time.Millisecond
	platformDelay = 4 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	// connectTimeout is how long a host waits for a dark engine.
	connectTimeout = 400 * time.Millisecond
	// oldWeightsGrace is when requests on older weights begin to lose credit.
	oldWeightsGrace = 1500 * time.Millisecond
	longGoal        = 300 * time.Millisecond
	shortGoal       = 200 * time.Millisecond
)

// event is something that happens at a time; order breaks ties.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Replayer is one replay.
type Replayer struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	queue   eventQueue
	lastSeq int
	hosts   []*host
	// byAddress finds a host by its address for messages.
	byAddress      map[netip.AddrPort]*host
	engines        map[string]*engine
	stores         map[netip.AddrPort]*store
	versionNamedAt time.Time
	version        int
	arrivalFactor  float64
	lease          decider.Lease
	result         Result
	lastNumber     int64
	// open holds the requests that have no final answer yet.
	open map[int64]*request
}

// host is one relay's reducer.
type host struct {
	*decider.State
	name string
}

// New returns a Replayer, or an Error of KindInvalid.
func New(cfg Config) (*Replayer, error) {
	if cfg.Hosts < 1 || cfg.Engines < 1 || cfg.Length <= 0 || cfg.Subjects < 1 {
		return nil, &Error{failer.Detail[Kind]{Op: "new replayer", Kind: KindInvalid, Err: errors.New("hosts, engines, subjects and length must be above 0")}}
	}
	r := &Replayer{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		engines: map[string]*engine{}, version: 1, arrivalFactor: 1, open: map[int64]*request{}, byAddress: map[netip.AddrPort]*host{},
	}
	config := r.config()
	var list []descriptor.Target
	for n := range cfg.Engines {
		d := descriptor.Target{
			ID: fmt.Sprintf("engine-%02d", n+1), Service: "engines", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1)),
			DataCentre: "a", Slots: 48, Born: time.UnixMilli(1), Weights: map[string]int{modelName: 1},
		}
		list = append(list, d)
		r.engines[d.ID] = &engine{replay: r, id: d.ID, version: 1, cachedUntil: map[string]time.Time{}}
	}
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
			RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, LeaseTerm: 3 * time.Second, RevokeAfter: 5 * time.Second, WeightsWithin: 8 * time.Second,
		})
		r.hosts = append(r.hosts, h)
		r.byAddress[hosts[h.name].Address] = h
		r.post(h, decider.ConfigListed{Config: config})
		r.post(h, decider.ConfigConfirmed{AsOf: r.now})
		r.post(h, decider.TargetsListed{Targets: list, Whole: true})
		r.post(h, decider.WeightsNamed{Model: modelName, Version: 1})
		r.post(h, decider.HostsListed{Hosts: hosts})
		for addr := range r.stores {
			r.post(h, decider.PartsChanged{Store: addr, Changes: descriptor.PartChanges{Boot: 1}, Whole: true})
		}
	}
	return r, nil
}

// config is that of the farm shop's engines and stores.
func (r *Replayer) config() *descriptor.Config {
	share := []descriptor.Share{{Service: "engines", Weight: 1}}
	cfg := &descriptor.Config{
		Version: 1, Keys: map[string]*descriptor.Team{},
		Routes: []descriptor.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: descriptor.KindStream, Timeout: 5 * time.Second, Goal: longGoal, Priority: 1, Attempts: 1, Shares: share},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: descriptor.KindStream, Timeout: 15 * time.Second, Goal: shortGoal, Attempts: 2, Resumable: true, Shares: share},
		},
		Services: map[string]*descriptor.Service{
			"engines": {Name: "engines", MaxConnections: 300, ColdRate: 13, Engine: &descriptor.Engine{Slots: 48, MemoryTokens: 63375, TokenBytes: 192512}},
		},
	}
	add := func(n, tokens int, link float64, first time.Duration) {
		name := fmt.Sprint("store-", n)
		cfg.Services[name] = &descriptor.Service{Name: name, Store: &descriptor.Store{
			Address: netip.MustParseAddrPort(fmt.Sprintf("172.20.0.%d:80", n)), DataCentre: "a", Tokens: tokens, LinkMbps: link, FirstByte: first,
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

// at schedules do.
func (r *Replayer) at(when time.Time, do func()) {
	r.lastSeq++
	heap.Push(&r.queue, event{when, r.lastSeq, do})
}

func (r *Replayer) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

// Run plays the replay to its end.
func (r *Replayer) Run() Result {
	end := r.start.Add(r.cfg.Length)
	for i, h := range r.hosts {
		r.after(time.Duration(i)*tickInterval/time.Duration(len(r.hosts)), func() { r.tick(h) })
	}
	const warmUp = 2 * time.Second // Until a holder of orders is in office.
	r.after(warmUp, func() { r.arrive("/long/", r.cfg.LongRate) })
	r.after(warmUp, func() { r.arrive("/short/", r.cfg.ShortRate) })
	for _, t := range r.cfg.Troubles {
		r.after(warmUp+t.At, func() { r.injectFault(t) })
	}
	for len(r.queue) > 0 {
		ev := heap.Pop(&r.queue).(event)
		if ev.at.After(end.Add(warmUp)) {
			break
		}
		r.now = ev.at
		ev.run()
	}
	return r.result
}

func (r *Replayer) tick(h *host) {
	r.post(h, decider.ConfigConfirmed{AsOf: r.now})
	for addr := range r.stores {
		r.post(h, decider.PartsChanged{Store: addr, AsOf: r.now, Changes: descriptor.PartChanges{Boot: 1, Clock: r.now}})
	}
	r.post(h, decider.Tick{})
	r.after(tickInterval, func() { r.tick(h) })
}

// arrive brings requests at a rate until the end.
func (r *Replayer) arrive(path string, rate float64) {
	if rate <= 0 {
		return
	}
	r.sendRequest(path)
	pause := time.Duration(r.rng.ExpFloat64() / (rate * r.arrivalFactor) * float64(time.Second))
	r.after(pause, func() { r.arrive(path, rate) })
}

func (r *Replayer) injectFault(t Fault) {
	switch t.Kind {
	case FaultUnresponsive:
		for n := range t.Count {
			e := r.engines[fmt.Sprintf("engine-%02d", n+1)]
			e.unresponsive = true
			r.after(t.For, func() { e.unresponsive = false })
		}
	case FaultSlowStore:
		for _, st := range r.stores {
			if st.FirstByte > time.Millisecond {
				st.slowFactor = t.Factor
				r.after(t.For, func() { st.slowFactor = 1 })
				return
			}
		}
	case FaultNewWeights:
		r.version, r.versionNamedAt = t.Count, r.now
		for _, h := range r.hosts {
			r.post(h, decider.WeightsNamed{Model: modelName, Version: t.Count})
		}
	case FaultBurst:
		r.arrivalFactor = t.Factor
		r.after(t.For, func() { r.arrivalFactor = 1 })
	}
}

// post reduces an event and carries out its effects.
func (r *Replayer) post(h *host, ev decider.Event) {
	for _, effect := range h.Reduce(ev, r.now) {
		r.execute(h, effect)
	}
}

func (r *Replayer) execute(h *host, effect decider.Effect) {
	switch e := effect.(type) {
	case decider.Tell:
		for _, addr := range e.To {
			peer := r.byAddress[addr]
			r.after(r.cfg.MessageDelay, func() { r.post(peer, decider.PeerSaid{Message: e.Message}) })
		}
	case decider.ReadLease:
		r.after(platformDelay, func() {
			r.post(h, decider.LeaseSeen{Lease: r.lease, Asked: r.now.Add(-platformDelay), Missing: r.lease.Revision == 0})
		})
	case decider.RenewLease:
		r.after(platformDelay, func() { r.renewLease(h, e.Revision) })
	case decider.ReadReport:
		target := r.engines[e.Target]
		r.after(2*networkDelay, func() { r.report(h, target) })
	case decider.GiveOrder:
		target := r.engines[e.Target]
		r.after(2*networkDelay, func() { r.sendOrder(h, target, e.Order) })
	case decider.Probe:
		target := r.engines[e.Target]
		r.after(2*networkDelay, func() { r.post(h, decider.ProbeAnswered{Target: target.id, Alive: !target.unresponsive}) })
	case decider.Send:
		r.forward(h, e)
	case decider.Refuse:
		r.recordRefusal(e)
	}
}

func (r *Replayer) renewLease(h *host, revision int64) {
	if revision != r.lease.Revision {
		r.post(h, decider.LeaseSeen{Asked: r.now.Add(-platformDelay), Written: true, Err: true})
		return
	}
	r.lease = decider.Lease{Revision: revision + 1, Holder: h.name, Boot: 1}
	r.post(h, decider.LeaseSeen{Lease: r.lease, Asked: r.now.Add(-platformDelay), Written: true})
}

// errUnresponsive is the error of a call to a dark engine.
var errUnresponsive = errors.New("no answer")

func (r *Replayer) report(h *host, e *engine) {
	ev := decider.ReportSeen{Target: e.id, Report: descriptor.Report{Weights: map[string]int{modelName: e.version}, Busy: e.orderedVersion != 0, Orders: e.orders}}
	if e.unresponsive {
		ev.Err = errUnresponsive
	}
	r.post(h, ev)
}

func (r *Replayer) sendOrder(h *host, e *engine, o descriptor.Order) {
	outcome := decider.OrderRefused
	switch {
	case e.unresponsive:
		outcome = decider.OrderUnknown
	case e.orderedVersion == 0 && e.orders == o.After:
		outcome = decider.OrderAccepted
		e.orders++
		e.orderedVersion, e.orderedAt = o.Version, r.now
		if o.BreakOff {
			e.abortRunning()
		}
		r.result.Orders++
		e.loadWeights()
	}
	r.post(h, decider.OrderAnswered{Target: e.id, Outcome: outcome})
}
