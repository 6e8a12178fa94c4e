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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/reserver"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// Streams consist of streamEvents events, one each streamPause.
	streamEvents     = 20
	streamPause      = 15 * time.Millisecond
	plainServiceTime = 10 * time.Millisecond
	weightLoadTime   = 800 * time.Millisecond
	// coldRequestRate is the number of requests a second that a cold target can handle.
	// Targets are cold for coldDuration after a restart.
	coldRequestRate = 10
	coldDuration    = 3 * time.Second
	// storeTokens is the capacity of a store, which is too small for all parts of two
	// weight versions.
	storeTokens = 200000
	storeCount  = 2
	// heartbeatInterval is the interval at which engines update their entries.
	heartbeatInterval = 1200 * time.Millisecond
	gracePeriod       = 8 * time.Second
	memoryMB          = 128
)

// dataCentres are the data centres of hosts and targets, which are assigned in turn.
var dataCentres = []string{"a", "b"}

// link is a proxy in front of one listener that can inject network faults.
type link struct {
	name    string
	address netip.AddrPort
	checker *checker
	*proxier.Proxier
}

// disrupt applies faults until heal. A mere reset of the connections is momentary.
func (l *link) disrupt(f proxier.Faults) {
	if f.Reset && f.Refuse == nil {
		l.checker.markFault(l.checker.linkFaults, "reset "+l.name, false)
	} else {
		l.checker.markFault(l.checker.linkFaults, l.name, true)
	}
	_ = l.Apply(f) // All values are within range.
}

func (l *link) heal() {
	l.Heal()
	l.checker.markFault(l.checker.linkFaults, l.name, false)
}

// target is a simulated target with the link to it.
type target struct {
	name, dataCentre string
	worker           *imitator.Worker
	link             *link
	cluster          *cluster
	// down is true from a crash to the next start.
	down atomic.Bool

	mu sync.Mutex
	// id is the name and, after a restart, the number of restarts.
	id        string
	restarts  int
	startedAt time.Time
	coldFor   time.Duration
	draining  bool
	// listed is true while the target has an entry, which states listedWeights.
	listed        bool
	listedWeights int
}

// cluster holds everything that a soak runs: the simulated platform, part stores and
// targets, the links to them, and the hosts.
type cluster struct {
	cfg        Config
	checker    *checker
	ports      *reserver.Reserver
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	platform   *imitator.Store
	partStores []*imitator.PartStore
	hosts      []*host
	engines    []*target
	plains     []*target
	links      []*link
	storeAddrs []netip.AddrPort

	mu sync.Mutex
	// activeKeys maps the valid keys to their teams, and revokedKeys the revoked ones.
	activeKeys, revokedKeys map[string]string
	// keyOrder lists the valid keys in the order in which they were issued.
	keyOrder         []string
	issuedAt         map[string]time.Time
	lastKey          int
	revision         int64
	publishedVersion int
	// fatalPart is a part that crashes engines, or empty.
	fatalPart string
}

// newCluster starts the stand-ins, the links to them, and the hosts.
func newCluster(ctx context.Context, cfg Config, chk *checker) (*cluster, error) {
	ports, err := reserver.New(cfg.ports)
	if err != nil {
		return nil, newError("reserve ports", KindInvalid, err)
	}
	c := &cluster{cfg: cfg, checker: chk, ports: ports, platform: imitator.NewStore(), activeKeys: map[string]string{}, revokedKeys: map[string]string{}, issuedAt: map[string]time.Time{}, publishedVersion: 1}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start() error {
	c.activeKeys["key-isolated"], c.keyOrder = imitator.IsolatedTeam, []string{"key-isolated"}
	for c.lastKey = range 6 {
		key := fmt.Sprint("key-", c.lastKey)
		c.activeKeys[key], c.keyOrder = fmt.Sprint("team-", c.lastKey%3), append(c.keyOrder, key)
	}
	stores := map[netip.AddrPort]*imitator.PartStore{}
	for n := range storeCount {
		st := imitator.NewPartStore(storeTokens)
		l, err := c.serveBehindLink(fmt.Sprint("store-", n), st)
		if err != nil {
			return err
		}
		c.partStores, c.storeAddrs = append(c.partStores, st), append(c.storeAddrs, l.address)
		stores[l.address] = st
	}
	for n := range c.cfg.Engines + c.cfg.PlainTargets {
		if err := c.addTarget(n, stores); err != nil {
			return err
		}
	}
	c.writeConfig()
	c.platform.Put(imitator.KindWeights, imitator.Model, imitator.WeightsSpec(1))
	platform, err := newHTTPServer(c.platform)
	if err != nil {
		return err
	}
	c.group.Go(func() { platform.run(c.ctx) })
	for n := range c.cfg.Hosts {
		h, err := c.newHost(n, platform.addr)
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		if !h.start(c.checker) {
			return newError("start "+h.name, KindStart, errors.Newf("%s can't be run", c.cfg.Binary))
		}
	}
	return nil
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	http.Server
	l    net.Listener
	addr netip.AddrPort
}

func newHTTPServer(handler http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, newError("listen", KindStart, err)
	}
	return &httpServer{Server: http.Server{Handler: handler}, l: l, addr: l.Addr().(*net.TCPAddr).AddrPort()}, nil
}

func (s *httpServer) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // No requests are sent any more.
	defer stop()
	_ = s.Serve(s.l) // Serve returns after Close.
}

// serveBehindLink serves a handler and returns a link to it.
func (c *cluster) serveBehindLink(name string, handler http.Handler) (*link, error) {
	s, err := newHTTPServer(handler)
	if err != nil {
		return nil, err
	}
	c.group.Go(func() { s.run(c.ctx) })
	return c.newLink(name, s.addr)
}

func (c *cluster) newLink(name string, destination netip.AddrPort) (*link, error) {
	p, err := proxier.New(proxier.Config{Target: destination, Clock: clockwork.NewRealClock()})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, newError("listen", KindStart, err)
	}
	l := &link{name: name, address: listener.Addr().(*net.TCPAddr).AddrPort(), checker: c.checker, Proxier: p}
	c.links = append(c.links, l)
	c.group.Go(func() {
		if err := p.Serve(c.ctx, listener); err != nil {
			c.checker.addViolation("soak", "proxy of "+name+": "+err.Error())
		}
	})
	return l, nil
}

func (c *cluster) addTarget(n int, stores map[netip.AddrPort]*imitator.PartStore) error {
	t := &target{name: fmt.Sprint("plain-", n-c.cfg.Engines), dataCentre: dataCentres[n%len(dataCentres)], cluster: c, startedAt: time.Now()}
	cfg := imitator.WorkerConfig{Pause: plainServiceTime, Observer: c.checker}
	if n < c.cfg.Engines {
		t.name = fmt.Sprint("engine-", n)
		cfg.Model, cfg.Weights, cfg.Events, cfg.Pause, cfg.LoadTime, cfg.Stores = imitator.Model, 1, streamEvents, streamPause, weightLoadTime, stores
		c.engines = append(c.engines, t)
	} else {
		c.plains = append(c.plains, t)
	}
	t.id = t.name
	cfg.ID, cfg.Crash = t.id, t.crash
	t.worker = imitator.NewWorker(cfg)
	var err error
	if t.link, err = c.serveBehindLink(t.name, t.worker); err != nil {
		return err
	}
	t.announce(false)
	if n < c.cfg.Engines {
		c.group.Go(func() { t.announceWeights(c.ctx) })
	}
	return nil
}

// targetName returns the name of the target with an ID. The name is the same after a
// restart, the ID isn't.
func targetName(id string) string {
	name, _, _ := strings.Cut(id, "+")
	return name
}

// announce writes the target's entry, and returns the time at which the write was
// acknowledged.
func (t *target) announce(draining bool) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
	return t.writeEntry()
}

// announceWeights updates the entry of an engine when its weights have changed.
func (t *target) announceWeights(ctx context.Context) {
	for sleep(ctx, heartbeatInterval) {
		t.mu.Lock()
		if t.listed && t.listedWeights != t.worker.Weights() {
			t.writeEntry()
		}
		t.mu.Unlock()
	}
}

// writeEntry writes the entry with the target's current state; mu must be held.
func (t *target) writeEntry() time.Time {
	d := descriptor.Target{
		ID: t.id, Service: imitator.ServicePlain, Address: t.link.address, DataCentre: t.dataCentre, Slots: 8,
		Draining: t.draining, StartedAt: t.startedAt, ColdFor: max(0, t.coldFor-time.Since(t.startedAt)),
	}
	t.listed, t.listedWeights = true, t.worker.Weights()
	if strings.HasPrefix(t.name, "engine") {
		d.Service, d.Weights = imitator.ServiceLLM, map[string]int{imitator.Model: t.listedWeights}
	}
	t.cluster.platform.Put(imitator.KindTargets, t.id, imitator.TargetSpec(d))
	return time.Now()
}

// restart replaces the target with a cold one under a new ID, as if its process had
// been restarted.
func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cluster.platform.Remove(imitator.KindTargets, t.id)
	_ = t.link.Apply(proxier.Faults{Reset: true}) // All values are within range.
	t.restarts++
	t.id = fmt.Sprintf("%s+%d", t.name, t.restarts)
	t.worker.Restart(t.id)
	t.startedAt, t.coldFor, t.draining = time.Now(), coldDuration, false
	t.cluster.checker.setTime(t.cluster.checker.coldUntil, t.name, t.startedAt.Add(coldDuration))
	t.writeEntry()
}

// removeEntry removes the target's entry from the platform; announce writes it again.
func (t *target) removeEntry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = false
	t.cluster.platform.Remove(imitator.KindTargets, t.id)
}

// targets returns all targets: the engines and the plain ones.
func (c *cluster) targets() []*target { return slices.Concat(c.engines, c.plains) }

func (c *cluster) dataCentreOf(name string) string {
	for _, t := range c.targets() {
		if t.name == name {
			return t.dataCentre
		}
	}
	return ""
}

// writeConfig writes the configuration under the next revision.
func (c *cluster) writeConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision += 3
	c.platform.Put(imitator.KindConfig, imitator.ConfigName, imitator.ConfigSpec(c.revision, c.activeKeys, c.storeAddrs, storeTokens))
}

func (c *cluster) weightVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishedVersion
}

// publishWeights publishes the next weight version and returns it.
func (c *cluster) publishWeights() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedVersion++
	for _, e := range c.engines {
		e.worker.SetMaxVersion(c.publishedVersion)
	}
	c.platform.Put(imitator.KindWeights, imitator.Model, imitator.WeightsSpec(c.publishedVersion))
	c.checker.weightsNamed(c.publishedVersion)
	return c.publishedVersion
}

// evacuate takes a data centre out of service, and returns the time at which the
// platform acknowledged that.
func (c *cluster) evacuate(dc string) time.Time {
	c.platform.Put(imitator.KindEvacuations, dc, "{}")
	return time.Now()
}

func (c *cluster) endEvacuation(dc string) { c.platform.Remove(imitator.KindEvacuations, dc) }

// pickHost draws a host. It prefers those in rotation.
func (c *cluster) pickHost(rng *rand.Rand) *host {
	first := rng.IntN(len(c.hosts))
	for i := range c.hosts {
		if h := c.hosts[(first+i)%len(c.hosts)]; h.inRotation() {
			return h
		}
	}
	return c.hosts[first]
}

func (c *cluster) awaitReady(ctx context.Context, within time.Duration) error {
	for _, h := range c.hosts {
		if !h.awaitReady(ctx, within) {
			return newError("await "+h.name, KindStart, os.ErrDeadlineExceeded)
		}
	}
	return nil
}

// clearFaults ends all faults and starts the hosts that are down.
func (c *cluster) clearFaults() {
	for _, l := range c.links {
		l.disrupt(proxier.Faults{Reset: true}) // Silenced connections must end.
		l.heal()
	}
	c.platform.SetDown(false)
	c.platform.SetLoseResponses(false)
	for _, dc := range dataCentres {
		c.endEvacuation(dc)
	}
	c.endLimits()
	for _, t := range c.targets() {
		t.endSpoiling()
		t.announce(false)
	}
	for _, h := range c.hosts {
		h.resume(c.checker)
		h.start(c.checker)
	}
}

// close kills the hosts' processes and stops the stand-ins.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	c.cancel()
	c.group.Wait()
	c.ports.Close()
}

// logFile returns the path of a host's log.
func (c *cluster) logFile(host string) string { return filepath.Join(c.cfg.Dir, host+".log") }
