package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/daemon"
)

// settings returns the settings of a host's daemon.
func (a *Assembly) settings(h *Host) starter.Settings {
	s := starter.DefaultSettings()
	s.Host, s.DataCentre, s.Region = h.Name, h.DataCentre, a.cfg.Plan.Region
	s.Listen, s.PeerListen, s.OperatorListen = h.Callers, h.Peers, h.Operators
	s.Platform = starter.Platform{Objects: []netip.AddrPort{a.ObjectAddress}, Members: a.MemberAddress}
	s.Secrets.BlockSecret = "assembly-block-secret"
	setDuration(&s.HeartbeatInterval, a.cfg.Plan.Heartbeat)
	setDuration(&s.LoadReportInterval, a.cfg.Plan.LoadInterval)
	setDuration(&s.Session.Term, a.cfg.Plan.SessionTerm)
	return s
}

func setDuration(d *specifier.Duration, value time.Duration) {
	if value > 0 {
		d.Duration = value
	}
}

// StartDaemon starts the daemon of a host.
func (a *Assembly) StartDaemon(name identifier.Host) error {
	h := a.Hosts[name]
	d, err := daemon.New(daemon.Config{
		Settings: a.settings(h), Clock: a.cfg.Clock,
		Logger: a.cfg.Logger.Named(string(name)), Seed: a.cfg.Seed,
		Dial: a.Network.dialer(h.DataCentre), Listen: h.listen,
	})
	if err != nil {
		return newError("start daemon", KindStart, err)
	}
	ctx, cancel := context.WithCancel(a.ctx)
	done := make(chan struct{})
	h.mu.Lock()
	h.daemon, h.cancel, h.done = d, cancel, done
	h.mu.Unlock()
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			a.cfg.Logger.Error("a daemon ended early", "host", string(name), "error", err)
		}
	}()
	return nil
}

// StartDaemons starts all daemons and waits until they are ready.
func (a *Assembly) StartDaemons(ctx context.Context) error {
	for _, name := range a.HostNames() {
		if err := a.StartDaemon(name); err != nil {
			return err
		}
	}
	return a.WaitReady(ctx)
}

// WaitReady waits until all started daemons can serve.
func (a *Assembly) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range a.HostNames() {
		h := a.Hosts[name]
		for !h.Ready() {
			select {
			case <-ctx.Done():
				return newError("wait for daemon "+string(name), KindStart, errors.New("it is not ready in time"))
			case <-a.cfg.Clock.After(readyPoll):
			}
		}
	}
	return nil
}

// readyPoll is the time between two looks at a daemon's readiness.
const readyPoll = 20 * time.Millisecond

// Ready reports whether the host's daemon can serve; a host without one counts as ready.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon == nil || h.daemon.Ready()
}

// reserve chooses an address and keeps it for the first daemon.
func (h *Host) reserve(address *netip.AddrPort) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return newError("choose address", KindStart, err)
	}
	*address = addressOf(ln)
	h.reserved[*address] = ln
	return nil
}

// listen opens an address for a daemon.
func (h *Host) listen(address netip.AddrPort) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ln, ok := h.reserved[address]; ok {
		delete(h.reserved, address)
		return ln, nil
	}
	return net.Listen("tcp", address.String())
}

// free closes the addresses that no daemon has taken.
func (h *Host) free() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ln := range h.reserved {
		_ = ln.Close()
	}
}

// PeerBytes returns the bytes that the host's daemon has exchanged with peers
// since its start, or 0 without a daemon.
func (h *Host) PeerBytes() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon == nil {
		return 0
	}
	return h.daemon.PeerBytes()
}

// Stop shuts the host's daemon down gracefully and waits for its end.
func (h *Host) Stop() {
	h.mu.Lock()
	cancel, done := h.cancel, h.done
	h.daemon, h.cancel, h.done = nil, nil, nil
	h.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-done
}

// Kill ends the host's daemon at once, without a shutdown, and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	d := h.daemon
	h.mu.Unlock()
	if d != nil {
		d.Abort()
	}
	h.Stop()
}
