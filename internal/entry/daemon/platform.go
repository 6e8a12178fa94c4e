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

// platformConstruction provides the parts that talk to the platform.
var platformConstruction = fx.Options(fx.Provide(newContact, newWatcher, newOwnerships, newLeaser, newClaimer, newClaims, newMembership, newLister, newRunners))

// Budgets of one daemon's calls to the platform, in calls per second.
const (
	platformReads  = 20
	platformWrites = 50
)

// Times of a watch. Their sum bounds how long a silent connection can hide a
// change of the configuration.
const (
	watchWait    = time.Second
	watchSilence = 500 * time.Millisecond
)

func newContact(cfg Config, t *transports) (*contact, error) {
	if cfg.Objects != nil {
		return &contact{ObjectStore: cfg.Objects, clock: cfg.Clock}, nil
	}
	addresses := cfg.Settings.Platform.Objects
	if len(addresses) == 0 {
		return nil, newError("connect to platform", KindConfig, errors.New("settings name no address of the object API"))
	}
	watches := t.open()
	watches.DisableKeepAlives = true
	objects, err := client.NewHTTPClient(client.HTTPConfig{
		Address: addresses[0], Clock: cfg.Clock, Transport: t.open(),
		WatchTransport: watches, WatchWait: watchWait, WatchSilence: watchSilence,
		ReadsPerSecond: platformReads, WritesPerSecond: platformWrites,
	})
	if err != nil {
		return nil, err
	}
	return &contact{ObjectStore: objects, clock: cfg.Clock}, nil
}

// newRandom returns a source of random numbers for one part.
func newRandom(cfg Config, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cfg.Seed, part^hostSeed(cfg.Settings.Host)))
}

func hostSeed(host identifier.Host) uint64 {
	return uint64(placer.KeyOf(host))
}

// The parts that have random numbers of their own.
const (
	randomWatcher = 1 + iota
	randomLeaser
	randomClaims
)

func newWatcher(cfg Config, objects *contact, p *peers, around *surroundings, exec *executor.Executor, ready *Readiness) (*watcher.Watcher, error) {
	adopt := func(version uint64, raw []byte) {
		doc, err := specifier.DecodeDocument(specifier.FleetKey, bytes.NewReader(raw))
		if err != nil {
			cfg.Logger.Error("a configuration of the platform is not valid", "version", version, "error", err)
			return
		}
		p.adopt(version, raw, doc.Fleet)
		exec.Post(reducer.ConfigAdopted{Version: version, Fleet: doc.Fleet})
		around.setVersion(version)
		ready.out.Store(doc.Fleet.Hosts[cfg.Settings.Host].State == specifier.StateOut)
		ready.configured.Store(true)
		if p.rank() < pushers {
			p.push(version, raw)
		}
	}
	w, err := watcher.New(watcher.Config{
		Store: objects, Clock: cfg.Clock, Jitter: client.NewJitter(newRandom(cfg, randomWatcher)),
		Logger: cfg.Logger.Named("watcher"), Rank: p.rank, Adopt: adopt,
	})
	if err != nil {
		return nil, err
	}
	p.offer = func(version uint64, raw []byte) { w.Offer(version, raw) }
	return w, nil
}

// finishTimeout bounds the writing of a claim's last state.
const finishTimeout = 30 * time.Second

// pushers is the number of daemons in a data centre that watch the platform and
// push to the others.
const pushers = 2

func newLeaser(cfg Config, objects *contact, around *surroundings, held *ownerships) (*leaser.Leaser, error) {
	l, err := leaser.New(leaser.Config{
		Store: objects, Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre,
		Clock: cfg.Clock, Term: cfg.Settings.Session.Term.Duration, Margin: cfg.Settings.Session.Margin.Duration,
		Rand: newRandom(cfg, randomLeaser), Logger: cfg.Logger.Named("leaser"),
		Notify: held.notify,
	})
	around.owners, held.leaser = l, l
	return l, err
}

func newLister(cfg Config, t *transports, known *membership) (*lister.Lister, error) {
	address := cfg.Settings.Platform.Members
	if !address.IsValid() {
		return nil, nil
	}
	return lister.New(lister.Config{
		Clock: cfg.Clock, Transport: t.open(), URL: "http://" + address.String(),
		Seed: cfg.Seed, Logger: cfg.Logger.Named("lister"),
		OnRead: func(m messenger.Members) { known.adopt(membershipOf(m)) },
	})
}

// newRunners lists the parts that run until the daemon stops.
func newRunners(exec *executor.Executor, x *exchanger.Exchanger, r *reader.Reader, w *watcher.Watcher, l *leaser.Leaser, owned *ownerships, held *claimer.Claimer, m *lister.Lister, c *callers, o *operators, secured *certificates) []runner {
	list := []runner{exec, x, r, w, l, owned, held, c, o, secured}
	if m != nil {
		list = append(list, m)
	}
	return list
}
