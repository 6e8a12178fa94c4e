// Package runner wires the relay's components together and runs them until shutdown.
package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/accountant"
	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/drainer"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/dialer"
	"cardamomscale.example/cardamomscale/internal/relay/executor"
	"cardamomscale.example/cardamomscale/internal/relay/follower"
	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
	"cardamomscale.example/cardamomscale/internal/relay/gossiper"
	"cardamomscale.example/cardamomscale/internal/relay/meter"
	"cardamomscale.example/cardamomscale/internal/relay/server"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindInvalid reports an invalid Config.
	KindInvalid Kind = "invalid"
	// KindListen reports an address that the relay can't listen or serve on.
	KindListen Kind = "listen"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

const (
	// tickInterval is the time between ticks of the reducer.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds a call to the platform, an engine or a store.
	callTimeout = time.Second
	// drainDelay is how long a stopping host still accepts connections, so that the
	// load balancer sees two failed readiness checks first.
	drainDelay = 2500 * time.Millisecond
	// latestRequest is the time from the stop of a host until which it takes requests on open connections. The
	// platform expects later ones to be answered, however long they take, so that they are refused.
	latestRequest = 2900 * time.Millisecond
	// answerReserve is the part of the grace period before which answers that haven't begun are given up. The server
	// closes a connection half a second after it has answered an upload that isn't over.
	answerReserve = 1200 * time.Millisecond
	// minAnswerShare is the share of the grace period in which a target's silence is no reason to give up.
	minAnswerShare = 5.0 / 6
	// shutdownReserve is the part of the grace period kept for closing what is left.
	shutdownReserve = 500 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls on behalf of the reducer.
	maxConcurrentCalls = 16
	// bufferedShare is the share of the host's memory for the parts of responses to callers that
	// are held back, beyond the first 16 KiB of each, and that for responses to the host's own
	// calls while they are read.
	bufferedShare = 1.0 / 16
)

// Config configures a Runner.
type Config struct {
	Settings descriptor.Settings
	Clock    timer.Clock
	Logger   hclog.Logger
	// Boot identifies this process. It increases with each start on the same host.
	Boot int64
	Seed uint64
	// Metrics is the address of the metrics endpoint, which is off if it is invalid.
	Metrics netip.AddrPort
	// LearnCosts makes the relay learn what requests cost where targets state the pace of their machines.
	LearnCosts bool
	// DroppedLines returns the number of dropped log lines.
	DroppedLines func() int64
}

// Runner runs one relay process.
type Runner struct {
	cfg       Config
	executor  *executor.Executor
	meter     *meter.Meter
	caller    *caller.Caller
	forwarder *forwarder.Forwarder
	follower  *follower.Follower
	gossiper  *gossiper.Gossiper
	server    *server.Server
	// account bounds what callers make the process hold.
	account *accountant.Account
	// callSlots is the semaphore for calls on behalf of the reducer.
	callSlots chan struct{}
}

// New returns a Runner, which already listens for messages of other hosts.
func New(cfg Config) (*Runner, error) {
	if cfg.Clock == nil || cfg.Logger == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new runner", Kind: KindInvalid, Err: errors.New("clock and logger are needed")}}
	}
	bufferBytes := int64(bufferedShare * float64(cfg.Settings.MemoryMB) * (1 << 20))
	buffers := bounder.NewBudget(bufferBytes)
	r := &Runner{cfg: cfg, callSlots: make(chan struct{}, maxConcurrentCalls)}
	r.account = r.newCallerAccount()
	r.meter = meter.New(meter.Config{
		DroppedLines: cfg.DroppedLines, BufferedBytes: buffers.Used, BodyBytes: r.account.Bodies,
		CallerBytes: r.account.Used, CallerConnections: r.account.Connections, EndedCallers: r.account.Ended,
		WatchAges:      func() map[string]time.Duration { return r.follower.WatchAges() },
		GivenUpCalls:   func() map[string]int64 { return r.follower.GivenUpCalls() },
		SkippedEntries: func() map[string]int64 { return r.follower.SkippedEntries() },
		Quarantined:    func() (parts, requests int) { return r.executor.Quarantined() },
		LimitedTargets: func() int { return r.executor.LimitedTargets() },
		Costs:          func() decider.CostStats { return r.executor.Costs() },
		RolloutShares:  func() map[string]float64 { return r.executor.RolloutShares() },
	})
	state := decider.New(decider.Config{
		Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre, Regions: cfg.Settings.Regions, Boot: cfg.Boot, Seed: cfg.Seed, FirstStart: cfg.Settings.FirstStart,
		RetryRatio: cfg.Settings.RetryRatio, RetrySlack: cfg.Settings.RetrySlack, RetryWindow: cfg.Settings.RetryWindow,
		LeaseTerm: cfg.Settings.LeaseTerm, RevokeAfter: cfg.Settings.RevokeAfter,
		WeightsWithin: cfg.Settings.WeightsWithin, Rollouts: cfg.Settings.Rollouts, ConstantCosts: !cfg.LearnCosts,
	})
	r.executor = executor.New(executor.Config{State: state, Clock: cfg.Clock, Logger: cfg.Logger, Meter: r.meter})
	dial := dialer.New(dialer.Config{})
	var err error
	if r.caller, err = caller.New(caller.Config{Platform: cfg.Settings.Platform, Dial: dial.Dial, Timeout: callTimeout, Buffers: bounder.NewBudget(bufferBytes)}); err != nil {
		return nil, err
	}
	if r.forwarder, err = forwarder.New(forwarder.Config{Dial: dial.Dial, Now: cfg.Clock.Now, Post: r.post}); err != nil {
		return nil, err
	}
	r.follower = follower.New(follower.Config{
		Host: cfg.Settings.Host, Caller: r.caller, Clock: cfg.Clock, Logger: cfg.Logger, Post: r.post, Stores: r.executor.Stores, FollowsStore: r.executor.FollowsStore,
		WatchesPlatform: r.executor.WatchesPlatform, SendUpdates: r.sendUpdates, FirstStart: cfg.Settings.FirstStart, History: cfg.Settings.History,
		ContactTime: cfg.Settings.ContactTime, DrainTime: cfg.Settings.DrainTime, Rollouts: cfg.Settings.Rollouts != nil,
	})
	r.gossiper, err = gossiper.New(gossiper.Config{
		Address: r.gossipAddress(), Logger: cfg.Logger, Post: r.postFromPeer, ReceiveUpdates: r.follower.Receive,
	})
	if err != nil {
		return nil, err
	}
	r.server = server.New(server.Config{Decider: r.executor, Forwarder: r.forwarder, Clock: cfg.Clock, Meter: r.meter, Buffers: buffers})
	return r, nil
}

func (r *Runner) gossipAddress() netip.AddrPort {
	return netip.AddrPortFrom(r.cfg.Settings.Address, r.cfg.Settings.FirstPort)
}

// registerHost keeps this host in the platform's list of hosts until ctx ends.
func (r *Runner) registerHost(ctx context.Context) {
	host := descriptor.Host{Address: r.gossipAddress(), DataCentre: r.cfg.Settings.DataCentre, Cores: r.cfg.Settings.Cores}
	r.follower.Register(ctx, host, !r.cfg.Settings.FirstStart)
}

func (r *Runner) post(ev decider.Event) { r.executor.Post(ev) }

// postFromPeer posts an event from another host, which may know a newer era of the platform's store.
func (r *Runner) postFromPeer(ev decider.Event) {
	if m, ok := ev.(decider.MessageReceived); ok {
		r.follower.ObserveEra(m.Message.LeaseEra)
	}
	r.post(ev)
}

// sendUpdates forwards changes of the platform's objects to the hosts that receive
// them from this one.
func (r *Runner) sendUpdates(updates []follower.WatchUpdate) {
	if to := r.executor.PlatformUpdateReceivers(); len(to) > 0 {
		r.gossiper.SendUpdates(to, updates)
	}
}

// Run serves until ctx ends, and then drains and stops.
func (r *Runner) Run(ctx context.Context) error {
	// All components keep running while the host drains.
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return r.follower.Run(running) })
	g.Go(func() error { return r.gossiper.Run(running) })
	g.Go(func() error { return r.runEffects(running) })
	g.Go(func() error { r.registerHost(running); return nil })
	g.Go(func() error { r.logEndedCallers(running); return nil })
	connections := drainer.New()
	callers := &http.Server{
		Handler: r.server, ReadHeaderTimeout: descriptor.ReadHeaderTimeout, IdleTimeout: descriptor.IdleTimeout, MaxHeaderBytes: descriptor.MaxHeaderBytes,
		ConnContext: server.ConnContext, ConnState: observeStates(connections), DisableGeneralOptionsHandler: true, ErrorLog: r.cfg.Logger.StandardLogger(nil),
	}
	operators := r.newOperatorAccount()
	servers := []*http.Server{callers, newOperatorServer(http.HandlerFunc(r.serveReady))}
	addrs := []netip.AddrPort{r.cfg.Settings.Callers, r.cfg.Settings.Ready}
	if r.cfg.Metrics.IsValid() {
		servers = append(servers, newOperatorServer(r.meter.Handler()))
		addrs = append(addrs, r.cfg.Metrics)
	}
	var callersListener *gracefulListener
	callersServed := make(chan struct{})
	for i, srv := range servers {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addrs[i]))
		if err != nil {
			return &Error{failer.Detail[Kind]{Op: "listen", Kind: KindListen, Err: err}}
		}
		if srv == callers {
			callersListener = &gracefulListener{TCPListener: l}
			g.Go(func() error {
				defer close(callersServed)
				return serve(srv, &accountant.Listener{Listener: callersListener, Account: r.account})
			})
			continue
		}
		g.Go(func() error { return serve(srv, &accountant.Listener{Listener: l, Account: operators}) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		r.drain(connections, func() {
			if err := callersListener.closeGracefully(); err == nil {
				<-callersServed
			}
		})
		r.server.Cut(func() {
			for _, srv := range servers {
				_ = srv.Close() // The grace period of requests still open is over.
			}
		})
		end()
		return nil
	})
	err := g.Wait()
	r.forwarder.CloseIdle()
	r.caller.CloseIdle()
	return err
}

func serve(srv *http.Server, l net.Listener) error {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return &Error{failer.Detail[Kind]{Op: "serve", Kind: KindListen, Err: err}}
	}
	return nil
}

// unansweredTime returns how long after its stop a host waits for the beginning of answers.
func unansweredTime(gracePeriod time.Duration) time.Duration {
	return max(time.Duration(minAnswerShare*float64(gracePeriod)), gracePeriod-answerReserve)
}

// drain announces the stop to the load balancer and the peers, closes the listener after the
// connections that were established, and waits for requests to finish until the grace period is
// almost over. Shortly before that it answers those whose answers haven't begun.
func (r *Runner) drain(callers *drainer.Drainer, closeListener func()) {
	r.cfg.Logger.Info("leaving")
	startedAt := time.Now()
	r.post(decider.StopRequested{})
	r.server.StartDraining()
	closing := time.AfterFunc(latestRequest, func() { r.post(decider.RequestsClosed{}) })
	defer closing.Stop()
	ending := time.AfterFunc(unansweredTime(r.cfg.Settings.GracePeriod), func() {
		r.post(decider.RequestsEnded{})
		r.server.EndUnanswered()
	})
	defer ending.Stop()
	time.Sleep(drainDelay)
	closeListener()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(r.cfg.Settings.GracePeriod-shutdownReserve))
	defer cancel()
	if err := callers.Drain(ctx, startedAt.Add(latestRequest)); err != nil {
		r.cfg.Logger.Warn("requests cut at the end of the grace period", "error", err.Error())
	}
}

func (r *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.executor.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
