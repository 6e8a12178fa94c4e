package daemon

import "sync/atomic"

// Readiness tells whether the daemon can serve.
type Readiness struct {
	configured atomic.Bool
	leaving    atomic.Bool
}

func newReadiness() *Readiness { return &Readiness{} }

// Ready reports whether the daemon has a configuration and is not leaving.
func (r *Readiness) Ready() bool { return r.configured.Load() && !r.leaving.Load() }

func (r *Readiness) leave() { r.leaving.Store(true) }
