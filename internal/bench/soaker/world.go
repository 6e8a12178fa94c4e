package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// streamEvents and streamPause shape streams, plainTime is that of plain answers.
	streamEvents = 20
	streamPause  = 15 * time.Millisecond
	plainTime    = 10 * time.Millisecond
	loadTime     = 200 * time.Millisecond
	// coldRate is what a cold target bears a second, for coldTime after its start.
	coldRate = 10
	coldTime = 3 * time.Second
	// storeTokens is the room of a store: less than all parts of two versions take.
	storeTokens = 200000
	storeCount  = 2
	graceTime   = 8 * time.Second
	memoryMB    = 128
)

// dataCentres are the places of hosts and targets.
var dataCentres = []string{"a", "b"}

// link is a faulty way to one listener.
type link struct {
	name    string
	address netip.AddrPort
	*proxier.Proxier
}

// target is one target with the way to it.
type target struct {
	name, dataCentre string
	worker           *imitator.Worker
	link             *link
	world            *world

	mu       sync.Mutex
	id       string
	restarts int
	born     time.Time
	cold     time.Duration
	draining bool
}

// world is all that a soak runs.
type world struct {
	cfg     Config
	judge   *judge
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	store   *imitator.Store
	parts   []*imitator.PartStore
	hosts   []*host
	engines []*target
	plains  []*target
	links   []*link
	addrs   []netip.AddrPort

	mu sync.Mutex
	// keys maps the keys in force to their teams, gone those that were revoked.
	keys, gone map[string]string
	// inForce lists the keys in the order in which they were issued.
	inForce  []string
	issuedAt map[string]time.Time
	issued   int
	revision int64
	weights  int
}

// newWorld starts the stand-ins, the ways to them, and the hosts.
func newWorld(ctx context.Context, cfg Config, j *judge) (*world, error) {
	w := &world{cfg: cfg, judge: j, store: imitator.NewStore(), keys: map[string]string{}, gone: map[string]string{}, issuedAt: map[string]time.Time{}, weights: 1}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if err := w.startAll(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) startAll() error {
	w.keys["key-isolated"], w.inForce = imitator.IsolatedTeam, []string{"key-isolated"}
	for w.issued = range 6 {
		key := fmt.Sprint("key-", w.issued)
		w.keys[key], w.inForce = fmt.Sprint("team-", w.issued%3), append(w.inForce, key)
	}
	stores := map[netip.AddrPort]*imitator.PartStore{}
	for n := range storeCount {
		st := imitator.NewPartStore(storeTokens)
		l, err := w.serve(fmt.Sprint("store-", n), st)
		if err != nil {
			return err
		}
		w.parts, w.addrs = append(w.parts, st), append(w.addrs, l.address)
		stores[l.address] = st
	}
	for n := range w.cfg.Engines + w.cfg.Plains {
		if err := w.addTarget(n, stores); err != nil {
			return err
		}
	}
	w.configure()
	w.store.Put(imitator.KindWeights, imitator.Model, imitator.WeightsSpec(1))
	platform, err := listen(w.store)
	if err != nil {
		return err
	}
	w.group.Go(func() { platform.run(w.ctx) })
	for n := range w.cfg.Hosts {
		h, err := w.newHost(n, platform.addr)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if !h.start(w.judge) {
			return newError("start "+h.name, KindStart, errors.Newf("%s can't be run", w.cfg.Binary))
		}
	}
	return nil
}

// served is a handler with its listener.
type served struct {
	http.Server
	l    net.Listener
	addr netip.AddrPort
}

func listen(handler http.Handler) (*served, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, newError("listen", KindStart, err)
	}
	return &served{Server: http.Server{Handler: handler}, l: l, addr: l.Addr().(*net.TCPAddr).AddrPort()}, nil
}

func (s *served) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // Nothing is asked any more.
	defer stop()
	_ = s.Serve(s.l) // It ends by Close.
}

// serve starts a handler behind a faulty way.
func (w *world) serve(name string, handler http.Handler) (*link, error) {
	s, err := listen(handler)
	if err != nil {
		return nil, err
	}
	w.group.Go(func() { s.run(w.ctx) })
	return w.newLink(name, s.addr)
}

func (w *world) newLink(name string, to netip.AddrPort) (*link, error) {
	p, err := proxier.New(proxier.Config{Target: to, Clock: clockwork.NewRealClock()})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, newError("listen", KindStart, err)
	}
	way := &link{name: name, address: l.Addr().(*net.TCPAddr).AddrPort(), Proxier: p}
	w.links = append(w.links, way)
	w.group.Go(func() {
		if err := p.Serve(w.ctx, l); err != nil {
			w.judge.breach("soak", "proxy of "+name+": "+err.Error())
		}
	})
	return way, nil
}

func (w *world) addTarget(n int, stores map[netip.AddrPort]*imitator.PartStore) error {
	t := &target{name: fmt.Sprint("plain-", n-w.cfg.Engines), dataCentre: dataCentres[n%len(dataCentres)], world: w, born: time.Now()}
	cfg := imitator.WorkerConfig{Pause: plainTime, Observer: w.judge}
	if n < w.cfg.Engines {
		t.name = fmt.Sprint("engine-", n)
		cfg.Model, cfg.Weights, cfg.Events, cfg.Pause, cfg.LoadTime, cfg.Stores = imitator.Model, 1, streamEvents, streamPause, loadTime, stores
		w.engines = append(w.engines, t)
	} else {
		w.plains = append(w.plains, t)
	}
	t.id = t.name
	cfg.ID = t.id
	t.worker = imitator.NewWorker(cfg)
	var err error
	if t.link, err = w.serve(t.name, t.worker); err != nil {
		return err
	}
	t.announce(false)
	return nil
}

// baseName returns the target's name from the ID of one of its incarnations.
func baseName(id string) string {
	name, _, _ := strings.Cut(id, "+")
	return name
}

// announce writes the target's entry, and returns when that was acknowledged.
func (t *target) announce(draining bool) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
	return t.write()
}

func (t *target) write() time.Time {
	d := descriptor.Target{
		ID: t.id, Service: imitator.ServicePlain, Address: t.link.address, DataCentre: t.dataCentre, Slots: 8,
		Draining: t.draining, Born: t.born, ColdFor: max(0, t.cold-time.Since(t.born)),
	}
	if strings.HasPrefix(t.name, "engine") {
		d.Service, d.Weights = imitator.ServiceLLM, map[string]int{imitator.Model: t.worker.Weights()}
	}
	t.world.store.Put(imitator.KindTargets, t.id, imitator.TargetSpec(d))
	return time.Now()
}

// restart makes the target another, cold process under another ID.
func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.world.store.Remove(imitator.KindTargets, t.id)
	_ = t.link.Apply(proxier.Faults{Reset: true}) // No value is out of range.
	t.restarts++
	t.id = fmt.Sprintf("%s+%d", t.name, t.restarts)
	t.worker.Restart(t.id)
	t.born, t.cold, t.draining = time.Now(), coldTime, false
	t.world.judge.set(t.world.judge.cold, t.name, t.born.Add(coldTime))
	t.write()
}

// lapse takes the entry away and, later, brings it back.
func (t *target) lapse() { t.world.store.Remove(imitator.KindTargets, t.currentID()) }

func (t *target) currentID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// targets returns the engines and the plain targets.
func (w *world) targets() []*target { return slices.Concat(w.engines, w.plains) }

func (w *world) placeOf(name string) string {
	for _, t := range w.targets() {
		if t.name == name {
			return t.dataCentre
		}
	}
	return ""
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision += 3
	w.store.Put(imitator.KindConfig, imitator.ConfigName, imitator.ConfigSpec(w.revision, w.keys, w.addrs, storeTokens))
}

// revoke replaces the oldest key but one, of the isolated team, by a new one. It
// returns the key that was taken away.
func (w *world) revoke() string {
	w.mu.Lock()
	key := w.inForce[1]
	team := w.keys[key]
	delete(w.keys, key)
	w.gone[key] = team
	w.issued++
	added := fmt.Sprint("key-", w.issued)
	w.keys[added] = team
	w.inForce = append(slices.Delete(w.inForce, 1, 2), added)
	w.issuedAt[added] = time.Now()
	w.mu.Unlock()
	w.configure()
	w.judge.set(w.judge.revoked, key, time.Now())
	return key
}

// pickKey draws a key that is in force, or now and then one that was revoked.
func (w *world) pickKey(rng *rand.Rand) (key, team string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	const goneEvery = 8
	if rng.IntN(goneEvery) == 0 {
		for key, team = range w.gone {
			return key, team
		}
	}
	for {
		key = w.inForce[rng.IntN(len(w.inForce))]
		if time.Since(w.issuedAt[key]) > applyTime { // Some hosts may not know newer ones yet.
			return key, w.keys[key]
		}
	}
}

func (w *world) version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.weights
}

// nameWeights names the next version of the weights.
func (w *world) nameWeights() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights++
	for _, e := range w.engines {
		e.worker.Name(w.weights)
	}
	w.store.Put(imitator.KindWeights, imitator.Model, imitator.WeightsSpec(w.weights))
	return w.weights
}

func (w *world) takeOut(dc string) time.Time {
	w.store.Put(imitator.KindEvacuations, dc, "{}")
	return time.Now()
}

func (w *world) takeIn(dc string) { w.store.Remove(imitator.KindEvacuations, dc) }

// pickHost draws a host, one in rotation if there is any.
func (w *world) pickHost(rng *rand.Rand) *host {
	first := rng.IntN(len(w.hosts))
	for i := range w.hosts {
		if h := w.hosts[(first+i)%len(w.hosts)]; h.inRotation() {
			return h
		}
	}
	return w.hosts[first]
}

func (w *world) awaitReady(ctx context.Context, within time.Duration) error {
	for _, h := range w.hosts {
		if !h.ready(ctx, within) {
			return newError("await "+h.name, KindStart, os.ErrDeadlineExceeded)
		}
	}
	return nil
}

// heal ends all faults.
func (w *world) heal() {
	for _, l := range w.links {
		_ = l.Apply(proxier.Faults{Reset: true}) // Silenced connections end; no value is out of range.
		l.Heal()
	}
	w.store.SetDown(false)
	w.store.SetLost(false)
	for _, dc := range dataCentres {
		w.takeIn(dc)
	}
	for _, t := range w.targets() {
		t.worker.SetFailing(0)
		t.announce(false)
	}
	for _, h := range w.hosts {
		h.goOn(w.judge)
		h.start(w.judge)
	}
}

// close ends the hosts' processes and the stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.cancel()
	w.group.Wait()
}

// logFile returns the path of a host's log.
func (w *world) logFile(host string) string { return filepath.Join(w.cfg.Dir, host+".log") }
