package daemon

import "sync/atomic"

// Readiness is the state that decides whether the daemon is ready to serve.
type Readiness struct {
	configured atomic.Bool
	leaving    atomic.Bool
	// outOfService is set while the configuration has the host out of service.
	outOfService atomic.Bool
}

func newReadiness() *Readiness { return &Readiness{} }

// Ready reports whether the daemon has a configuration, is not leaving, and its
// host is in service.
func (r *Readiness) Ready() bool {
	return r.configured.Load() && !r.leaving.Load() && !r.outOfService.Load()
}

func (r *Readiness) markLeaving() { r.leaving.Store(true) }
