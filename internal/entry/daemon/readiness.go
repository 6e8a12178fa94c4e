package daemon

import "sync/atomic"

// Readiness tells whether the daemon can serve.
type Readiness struct {
	configured atomic.Bool
	leaving    atomic.Bool
	// out is true while operators have taken the host out.
	out atomic.Bool
}

func newReadiness() *Readiness { return &Readiness{} }

// Ready reports whether the daemon has a configuration, is not leaving and its
// host has not been taken out.
func (r *Readiness) Ready() bool {
	return r.configured.Load() && !r.leaving.Load() && !r.out.Load()
}

func (r *Readiness) leave() { r.leaving.Store(true) }
