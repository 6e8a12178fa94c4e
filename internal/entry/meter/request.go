package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Request records the metrics of one request. CountPrompt and CountToken must be
// called from one goroutine only.
type Request struct {
	meter   *Meter
	id      identifier.Request
	arrived time.Time

	mu      sync.Mutex
	service string
	class   string

	// lastToken is when the latest token arrived; zero before the first one.
	lastToken time.Time
	tokenGap  prometheus.Observer
}

func (r *Request) setLabels(service, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service, r.class = service, class
}

func (r *Request) labels() (service, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service, r.class
}

// CountPrompt counts the prompt's tokens by source.
func (r *Request) CountPrompt(p Prompt) {
	service, _ := r.labels()
	r.meter.countPrompt(service, p)
}

// CountToken records the time to first token, or the gap to the previous token.
func (r *Request) CountToken() {
	now := r.meter.clock.Now()
	if r.lastToken.IsZero() {
		service, class := r.labels()
		r.meter.firstToken.WithLabelValues(service, class).Observe(now.Sub(r.arrived).Seconds())
		r.tokenGap = r.meter.tokenGap.WithLabelValues(service)
	} else {
		r.tokenGap.Observe(now.Sub(r.lastToken).Seconds())
	}
	r.lastToken = now
}

// End counts the request, records its duration, and stops tracking it.
func (r *Request) End(outcome Outcome) {
	r.meter.remove(r.id)
	service, class := r.labels()
	r.meter.requests.WithLabelValues(service, class, string(outcome)).Inc()
	r.meter.duration.WithLabelValues(service, class, string(outcome)).Observe(r.meter.clock.Since(r.arrived).Seconds())
}
