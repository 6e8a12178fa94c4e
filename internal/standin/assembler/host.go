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
	s.Listen, s.PeerListen, s.OperatorListen = h.CallerAddress, h.PeerAddress, h.OperatorAddress
	s.Platform = starter.Platform{Objects: []netip.AddrPort{a.ObjectAddress}, Members: a.MemberAddress}
	s.Secrets.BlockSecret = "assembly-block-secret"
	setDuration(&s.HeartbeatInterval, a.cfg.Plan.Heartbeat)
	setDuration(&s.LoadReportInterval, a.cfg.Plan.LoadInterval)
	setDuration(&s.Session.Term, a.cfg.Plan.SessionTerm)
	if a.cfg.Adjust != nil {
		a.cfg.Adjust(&s)
	}
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
		SpanExporter: a.cfg.SpanExporter, CertificateInterval: a.cfg.CertificateInterval,
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
			a.cfg.Logger.Error("daemon stopped unexpectedly", "host", string(name), "error", err)
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

// WaitReady waits until all started daemons are ready.
func (a *Assembly) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range a.HostNames() {
		h := a.Hosts[name]
		for !h.Ready() {
			select {
			case <-ctx.Done():
				return newError("wait for daemon "+string(name), KindStart, errors.New("daemon is not ready in time"))
			case <-a.cfg.Clock.After(readyPollInterval):
			}
		}
	}
	return nil
}

// readyPollInterval is the time between two checks of a daemon's readiness.
const readyPollInterval = 20 * time.Millisecond

// Ready reports whether the host's daemon is ready. A host without a daemon counts
// as ready.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon == nil || h.daemon.Ready()
}

// reserve picks a free address and holds it for the host's first daemon.
func (h *Host) reserve(address *netip.AddrPort) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return newError("choose address", KindStart, err)
	}
	*address = addressOf(ln)
	h.reserved[*address] = ln
	return nil
}

// listen returns the reserved listener of address or opens a new one.
func (h *Host) listen(address netip.AddrPort) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ln, ok := h.reserved[address]; ok {
		delete(h.reserved, address)
		return ln, nil
	}
	return net.Listen("tcp", address.String())
}

// closeReserved closes the reserved listeners that no daemon has taken over.
func (h *Host) closeReserved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ln := range h.reserved {
		_ = ln.Close()
	}
}

// PeerBytes returns the number of bytes that the host's daemon has exchanged with
// peers since it started, or 0 without a daemon.
func (h *Host) PeerBytes() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon == nil {
		return 0
	}
	return h.daemon.PeerBytes()
}

// Stop shuts the host's daemon down gracefully and waits until it has ended.
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

// Kill aborts the host's daemon without a graceful shutdown and waits until it has
// ended.
func (h *Host) Kill() {
	h.mu.Lock()
	d := h.daemon
	h.mu.Unlock()
	if d != nil {
		d.Abort()
	}
	h.Stop()
}
