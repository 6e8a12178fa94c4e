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

// maxEvidenceAge is how old the last sign of the expected incarnation may be
// when a request is sent on a connection that was used before.
const maxEvidenceAge = 10 * time.Millisecond

// evidence notes when a pool's endpoint last showed the expected incarnation.
type evidence struct {
	// turn lets one request at a time ask the target.
	turn chan struct{}

	mu sync.Mutex
	at time.Time
}

func newEvidence() *evidence { return &evidence{turn: make(chan struct{}, 1)} }

// note records a sign of the expected incarnation.
func (e *evidence) note(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = now
}

// needed reports whether a request needs a newer sign. A pool without any has
// no connections yet, and those that it makes begin with a handshake.
func (e *evidence) needed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.at.IsZero() && now.Sub(e.at) > maxEvidenceAge
}

// confirm asks the target for its incarnation unless it has shown it just now,
// since a target can turn cold without closing its connections. It returns an
// Error of KindIncarnation for another incarnation. A target that does not
// answer loses its idle connections, so that the request takes a new one with a
// handshake.
func (p *pool) confirm(ctx context.Context) error {
	if !p.evidence.needed(p.dialer.cfg.Clock.Now()) {
		return nil
	}
	select {
	case p.evidence.turn <- struct{}{}:
		defer func() { <-p.evidence.turn }()
	case <-ctx.Done():
		return newError("confirm target", KindCancelled, ctx.Err())
	}
	if !p.evidence.needed(p.dialer.cfg.Clock.Now()) {
		return nil
	}
	report, err := p.ask(ctx)
	if err != nil {
		p.retire()
		return ofIncarnation(err)
	}
	p.dialer.cfg.OnReport(*report)
	if err := verify(p.endpoint, report); err != nil {
		return err
	}
	p.evidence.note(p.dialer.cfg.Clock.Now())
	return nil
}

// ofIncarnation returns err if it tells of another incarnation, and nil otherwise.
func ofIncarnation(err error) error {
	var own *Error
	if errors.As(err, &own) && own.Kind == KindIncarnation {
		return own
	}
	return nil
}

// ask reads the target's report over a connection of the pool.
func (p *pool) ask(ctx context.Context) (*messenger.LoadReport, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.dialer.cfg.Clock, p.dialer.cfg.HandshakeTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { track(info.Conn, new(SentTracker)) },
	})
	url := "http://" + p.endpoint.Address.String() + messenger.PathLoad
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := p.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return decodeReport(answer)
}

// shows reports whether an answer comes from the pool's incarnation.
func (p *pool) shows(answer *http.Response) bool {
	return answer.Header.Get(messenger.HeaderIncarnation) == strconv.FormatUint(uint64(p.endpoint.Incarnation), 10)
}
