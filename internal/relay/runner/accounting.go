package runner

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/accountant"
	"cardamomscale.example/cardamomscale/internal/core/drainer"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// defaultDescriptors is assumed if the settings don't say how many descriptors the process has.
	defaultDescriptors = 4096
	// reservedDescriptors are for files, the platform, other hosts and operators. Callers get half of the others, as each
	// request may need a connection to a target.
	reservedDescriptors = 200
	callerDescriptors   = 0.5
	// minCallerConnections is the least number of callers' connections, whatever the settings say.
	minCallerConnections = 16
	// maxOperatorConnections and operatorBytes bound what those hold that ask for readiness and metrics.
	maxOperatorConnections = 32
	operatorBytes          = 2 << 20
	operatorHeaderBytes    = 16 << 10
	operatorHeaderTime     = 5 * time.Second
	operatorIdleTime       = time.Minute
	// defaultHeaderBytes bounds heads before the first configuration and where a configuration has no limit.
	defaultHeaderBytes = 64 << 10
	// endedInterval is the interval between lines of the log on ended callers.
	endedInterval = 5 * time.Second
)

// newCallerAccount returns the account of callers, by the memory and descriptors of the settings.
func (r *Runner) newCallerAccount() *accountant.Account {
	descriptors := r.cfg.Settings.MaxDescriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	connections := int(callerDescriptors * float64(descriptors-reservedDescriptors))
	return accountant.New(accountant.Config{
		Bytes: int64(descriptor.CallersShare * float64(r.cfg.Settings.MemoryMB) * (1 << 20)), MaxConnections: max(connections, minCallerConnections),
		Limits: r.callerLimits, Clock: clockwork.NewRealClock(),
	})
}

// callerLimits returns the limits of the configuration in force, with defaults for those that it doesn't set.
func (r *Runner) callerLimits() accountant.Limits {
	limits := accountant.Limits{HeaderBytes: defaultHeaderBytes, HeaderTime: descriptor.ReadHeaderTimeout, IdleTime: descriptor.IdleTimeout}
	if r.executor == nil {
		return limits // The relay is being built.
	}
	in := r.executor.Limits()
	if in == nil {
		return limits
	}
	if in.MaxHeaderBytes > 0 {
		limits.HeaderBytes = in.MaxHeaderBytes
	}
	if in.HeaderTime > 0 {
		limits.HeaderTime = in.HeaderTime
	}
	if in.IdleTime > 0 {
		limits.IdleTime = in.IdleTime
	}
	return limits
}

// newOperatorAccount returns the account of those that ask for readiness and metrics.
func (r *Runner) newOperatorAccount() *accountant.Account {
	limits := accountant.Limits{HeaderBytes: operatorHeaderBytes, HeaderTime: operatorHeaderTime, IdleTime: operatorIdleTime}
	return accountant.New(accountant.Config{
		Bytes: operatorBytes, MaxConnections: maxOperatorConnections, Limits: func() accountant.Limits { return limits }, Clock: clockwork.NewRealClock(),
	})
}

func newOperatorServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadTimeout: descriptor.ReadHeaderTimeout, ReadHeaderTimeout: descriptor.ReadHeaderTimeout, MaxHeaderBytes: operatorHeaderBytes, ConnState: accountant.ObserveState}
}

// observeStates returns a ConnState hook for the account and for the drainer.
func observeStates(connections *drainer.Drainer) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		accountant.ObserveState(conn, state)
		connections.ObserveState(conn, state)
	}
}

// logEndedCallers logs how many connections and requests of callers were ended, by cause, until ctx ends.
func (r *Runner) logEndedCallers(ctx context.Context) {
	ticker := time.NewTicker(endedInterval)
	defer ticker.Stop()
	var before map[string]int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ended := r.account.Ended()
		if maps.Equal(ended, before) {
			continue
		}
		fields := []any{"held", r.account.Used(), "connections", r.account.Connections()}
		for _, cause := range slices.Sorted(maps.Keys(ended)) {
			if n := ended[cause] - before[cause]; n > 0 {
				fields = append(fields, cause, n)
			}
		}
		r.cfg.Logger.Warn("callers ended", fields...)
		before = ended
	}
}
