package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Request counts one request. Its methods but End are called by the request's
// own goroutine.
type Request struct {
	meter   *Meter
	id      identifier.Request
	arrived time.Time

	mu      sync.Mutex
	service string
	class   string

	// latest is when the latest token came.
	latest time.Time
	gap    prometheus.Observer
}

func (r *Request) admit(service, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service, r.class = service, class
}

func (r *Request) labels() (service, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service, r.class
}

// Prompt counts the prompt's tokens.
func (r *Request) Prompt(p Prompt) {
	service, _ := r.labels()
	r.meter.countPrompt(service, p)
}

// Token counts one token of the answer.
func (r *Request) Token() {
	now := r.meter.clock.Now()
	if r.latest.IsZero() {
		service, class := r.labels()
		r.meter.firstToken.WithLabelValues(service, class).Observe(now.Sub(r.arrived).Seconds())
		r.gap = r.meter.tokenGap.WithLabelValues(service)
	} else {
		r.gap.Observe(now.Sub(r.latest).Seconds())
	}
	r.latest = now
}

// End counts the end of the request and forgets it.
func (r *Request) End(outcome Outcome) {
	r.meter.remove(r.id)
	service, class := r.labels()
	r.meter.requests.WithLabelValues(service, class, string(outcome)).Inc()
	r.meter.duration.WithLabelValues(service, class, string(outcome)).Observe(r.meter.clock.Since(r.arrived).Seconds())
}
