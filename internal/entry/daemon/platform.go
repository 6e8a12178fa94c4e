package daemon

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/peer/exchanger"
	"cardamomscale.example/cardamomscale/internal/platform/claimer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/leaser"
	"cardamomscale.example/cardamomscale/internal/platform/lister"
	"cardamomscale.example/cardamomscale/internal/platform/watcher"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
	"cardamomscale.example/cardamomscale/internal/target/reader"
)

// platformOptions provides the components that call the platform.
var platformOptions = fx.Options(fx.Provide(newMonitoredStore, newWatcher, newOwnershipNotifier, newLeaser, newClaimer, newClaimRegistry, newMembership, newLister, newRunners))

// Rate limits of one daemon's calls to the platform.
const (
	platformReadsPerSecond  = 20
	platformWritesPerSecond = 50
)

// Times of a watch. A hedged second watch is sent when no answer has arrived after
// their sum, which limits how long a broken connection can delay a change of the
// configuration.
const (
	watchWait       = time.Second
	watchHedgeDelay = 500 * time.Millisecond
)

func newMonitoredStore(cfg Config, t *transports) (*monitoredStore, error) {
	if cfg.Objects != nil {
		return &monitoredStore{ObjectStore: cfg.Objects, clock: cfg.Clock}, nil
	}
	addresses := cfg.Settings.Platform.Objects
	if len(addresses) == 0 {
		return nil, newError("connect to platform", KindConfig, errors.New("no address of the object API is set"))
	}
	watches := t.open()
	watches.DisableKeepAlives = true
	objects, err := client.NewHTTPClient(client.HTTPConfig{
		Address: addresses[0], Clock: cfg.Clock, Transport: t.open(),
		WatchTransport: watches, WatchWait: watchWait, WatchHedgeDelay: watchHedgeDelay,
		ReadsPerSecond: platformReadsPerSecond, WritesPerSecond: platformWritesPerSecond,
	})
	if err != nil {
		return nil, err
	}
	return &monitoredStore{ObjectStore: objects, clock: cfg.Clock}, nil
}

// newRand returns the random source of one component, distinct by stream and host.
func newRand(cfg Config, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cfg.Seed, stream^hostSeed(cfg.Settings.Host)))
}

func hostSeed(host identifier.Host) uint64 {
	return uint64(placer.KeyOf(host))
}

// Streams of newRand, one for each component that draws random numbers.
const (
	randWatcher = 1 + iota
	randLeaser
	randClaimer
)

func newWatcher(cfg Config, store *monitoredStore, p *peerHandler, effects *effectHandler, exec *executor.Executor, ready *Readiness) (*watcher.Watcher, error) {
	adopt := func(version uint64, raw []byte) {
		doc, err := specifier.DecodeDocument(specifier.FleetKey, bytes.NewReader(raw))
		if err != nil {
			cfg.Logger.Error("invalid configuration", "version", version, "error", err)
			return
		}
		p.adoptConfig(version, raw, doc.Fleet)
		exec.Post(reducer.ConfigAdopted{Version: version, Fleet: doc.Fleet})
		effects.setConfigVersion(version)
		ready.outOfService.Store(doc.Fleet.Hosts[cfg.Settings.Host].State == specifier.StateOut)
		ready.configured.Store(true)
		if p.watchRank() < configPushers {
			p.pushConfig(version, raw)
		}
	}
	w, err := watcher.New(watcher.Config{
		Store: store, Clock: cfg.Clock, Jitter: client.NewJitter(newRand(cfg, randWatcher)),
		Logger: cfg.Logger.Named("watcher"), Rank: p.watchRank, Adopt: adopt,
	})
	if err != nil {
		return nil, err
	}
	p.offerConfig = func(version uint64, raw []byte) { w.Offer(version, raw) }
	return w, nil
}

// claimFinishTimeout limits the write of a claim's final state.
const claimFinishTimeout = 30 * time.Second

// configPushers is the number of daemons in a data centre that watch the platform
// and push configurations to the others.
const configPushers = 2

func newLeaser(cfg Config, store *monitoredStore, effects *effectHandler, notifier *ownershipNotifier) (*leaser.Leaser, error) {
	l, err := leaser.New(leaser.Config{
		Store: store, Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre,
		Clock: cfg.Clock, Term: cfg.Settings.Session.Term.Duration, Margin: cfg.Settings.Session.Margin.Duration,
		MaxUse: reducer.TakeoverWait, Rand: newRand(cfg, randLeaser), Logger: cfg.Logger.Named("leaser"),
		Notify: notifier.notify,
	})
	effects.leaser, notifier.leaser = l, l
	return l, err
}

func newLister(cfg Config, t *transports, members *membership) (*lister.Lister, error) {
	address := cfg.Settings.Platform.Members
	if !address.IsValid() {
		return nil, nil
	}
	return lister.New(lister.Config{
		Clock: cfg.Clock, Transport: t.open(), URL: "http://" + address.String(),
		Seed: cfg.Seed, Logger: cfg.Logger.Named("lister"),
		OnRead: func(m messenger.Members) { members.adopt(leavingTargets(m)) },
	})
}

// newRunners lists the components that run until the daemon stops.
func newRunners(exec *executor.Executor, x *exchanger.Exchanger, r *reader.Reader, w *watcher.Watcher, l *leaser.Leaser, notifier *ownershipNotifier, cl *claimer.Claimer, m *lister.Lister, c *callerServer, o *operatorServer, certs *certificates) []runner {
	list := []runner{exec, x, r, w, l, notifier, cl, c, o, certs}
	if m != nil {
		list = append(list, m)
	}
	return list
}
