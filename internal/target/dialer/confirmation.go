package dialer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// maxConfirmationAge is how old the last confirmation of the incarnation may be
// when a request is sent on a reused connection.
const maxConfirmationAge = 10 * time.Millisecond

// confirmation records when the target last reported the pool's incarnation.
type confirmation struct {
	// slot is held by the request that is reading the target's report.
	slot chan struct{}

	mu sync.Mutex
	at time.Time
}

func newConfirmation() *confirmation { return &confirmation{slot: make(chan struct{}, 1)} }

// record records that the target reported the pool's incarnation.
func (c *confirmation) record(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = now
}

// stale reports whether a request needs a newer confirmation. A pool without any
// has no connections yet, and new ones begin with a handshake.
func (c *confirmation) stale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.at.IsZero() && now.Sub(c.at) > maxConfirmationAge
}

// confirm reads the target's report unless its incarnation was confirmed within
// maxConfirmationAge, since a target can become cold without closing its
// connections. It returns an Error of KindIncarnation if the target runs another
// incarnation. If the report can't be read, it closes the idle connections, so
// that the request uses a new one with a handshake.
func (p *pool) confirm(ctx context.Context) error {
	if !p.confirmation.stale(p.dialer.cfg.Clock.Now()) {
		return nil
	}
	select {
	case p.confirmation.slot <- struct{}{}:
		defer func() { <-p.confirmation.slot }()
	case <-ctx.Done():
		return newError("confirm target", KindCancelled, ctx.Err())
	}
	if !p.confirmation.stale(p.dialer.cfg.Clock.Now()) {
		return nil
	}
	report, err := p.readReport(ctx)
	if err != nil {
		p.retire()
		return incarnationErrorOf(err)
	}
	p.dialer.cfg.OnReport(*report)
	if err := checkReport(p.endpoint, report); err != nil {
		return err
	}
	p.confirmation.record(p.dialer.cfg.Clock.Now())
	return nil
}

// incarnationErrorOf returns err if it is an Error of KindIncarnation, and nil otherwise.
func incarnationErrorOf(err error) error {
	var own *Error
	if errors.As(err, &own) && own.Kind == KindIncarnation {
		return own
	}
	return nil
}

// readReport reads the target's report over a connection of the pool.
func (p *pool) readReport(ctx context.Context) (*messenger.LoadReport, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.dialer.cfg.Clock, p.dialer.cfg.HandshakeTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { attachTracker(info.Conn, new(SentTracker)) },
	})
	url := "http://" + p.endpoint.Address.String() + messenger.PathLoad
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return decodeReport(response)
}

// fromIncarnation reports whether a response comes from the pool's incarnation.
func (p *pool) fromIncarnation(response *http.Response) bool {
	return response.Header.Get(messenger.HeaderIncarnation) == strconv.FormatUint(uint64(p.endpoint.Incarnation), 10)
}
