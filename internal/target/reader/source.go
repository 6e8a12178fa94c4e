package reader

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// maxAnswerBytes bounds one answer of a target.
	maxAnswerBytes = 8 << 20
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 10 * time.Second
)

// source reads one target.
type source struct {
	reader     *Reader
	assignment Assignment
	transport  *http.Transport

	// loads is used by the load loop only.
	loads loadState
	// events is used by the event loop only.
	events eventState
}

type loadState struct {
	sequence uint64
	failures int
}

// eventState is the place in a target's sequence of events.
type eventState struct {
	incarnation identifier.Incarnation
	after       uint64
	known       bool
	failures    int
}

func newSource(r *Reader, a Assignment) *source {
	return &source{
		reader:     r,
		assignment: a,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return r.cfg.Dial(ctx, a.Address)
			},
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
		},
	}
}

// run reads the target until ctx ends.
func (s *source) run(ctx context.Context) {
	defer s.transport.CloseIdleConnections()
	var loops sync.WaitGroup
	defer loops.Wait()
	cfg := &s.reader.cfg
	loops.Go(func() { s.loop(ctx, cfg.LoadInterval, s.readLoad) })
	if s.assignment.Events {
		loops.Go(func() { s.loop(ctx, cfg.EventInterval, s.readEvents) })
	}
}

// loop calls read each interval. Read returns the number of failures in a row.
func (s *source) loop(ctx context.Context, interval time.Duration, read func(context.Context) int) {
	r := s.reader
	timer := r.cfg.Clock.NewTimer(r.jitter.Spread(interval/2, 1))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
		}
		if failures := read(ctx); failures > 0 {
			timer.Reset(r.jitter.Backoff(interval, max(interval, maxBackoff), failures))
			continue
		}
		timer.Reset(r.jitter.Spread(interval, intervalJitter))
	}
}

// readLoad reads the load report once.
func (s *source) readLoad(ctx context.Context) int {
	at := s.reader.cfg.Clock.Now()
	var report messenger.LoadReport
	err := s.get(ctx, messenger.PathLoad, &report)
	if ctx.Err() != nil {
		return s.loads.failures
	}
	if err == nil && report.Target != s.assignment.Target {
		cause := errors.Newf("target %q answers at the address of target %q", report.Target, s.assignment.Target)
		err = newError("read load", KindMisplaced, cause)
	}
	s.loads.sequence++
	if err != nil {
		s.loads.failures++
		s.reader.cfg.OnObservation(Unreachable{
			Target:   s.assignment.Target,
			Sequence: s.loads.sequence,
			Failures: s.loads.failures,
			Err:      err,
			At:       at,
		})
		return s.loads.failures
	}
	s.loads.failures = 0
	s.reader.cfg.OnObservation(Observed{Report: report, Sequence: s.loads.sequence, At: at})
	return 0
}

// readEvents reads the cache events after the last known one.
func (s *source) readEvents(ctx context.Context) int {
	at := s.reader.cfg.Clock.Now()
	var batch messenger.CacheEvents
	path := messenger.PathEvents + "?after=" + strconv.FormatUint(s.events.after, 10)
	err := s.get(ctx, path, &batch)
	if ctx.Err() != nil {
		return s.events.failures
	}
	if err != nil {
		s.reader.cfg.Logger.Debug("cache events are missing", "target", s.assignment.Target, "error", err)
		s.events.failures++
		return s.events.failures
	}
	s.events.failures = 0
	gap, fresh := s.events.advance(&batch)
	if gap || len(fresh) > 0 {
		s.reader.cfg.OnObservation(CacheChanged{
			Target:      s.assignment.Target,
			Incarnation: batch.Incarnation,
			Events:      fresh,
			Gap:         gap,
			At:          at,
		})
	}
	return 0
}

// advance moves behind batch. It returns the events not seen before and
// whether others were missed; those of a new incarnation count as missed.
func (e *eventState) advance(batch *messenger.CacheEvents) (gap bool, fresh []messenger.CacheEvent) {
	if !e.known || e.incarnation != batch.Incarnation {
		restarted := e.known
		*e = eventState{incarnation: batch.Incarnation, known: true}
		if restarted {
			// The events were asked for by a place in the old incarnation's sequence.
			return true, nil
		}
	}
	for _, event := range batch.Events {
		if event.Sequence <= e.after {
			continue
		}
		gap = gap || event.Sequence != e.after+1
		e.after = event.Sequence
		fresh = append(fresh, event)
	}
	return gap, fresh
}

// get decodes the answer to a GET into v. Its errors are of type Error.
func (s *source) get(ctx context.Context, path string, v any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.reader.cfg.Clock, s.reader.cfg.Timeout)
	defer cancel()
	op := "get " + path
	url := "http://" + s.assignment.Address.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return newError(op, KindInvalid, err)
	}
	answer, err := s.transport.RoundTrip(r)
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	err = errors.CombineErrors(err, answer.Body.Close())
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	if answer.StatusCode != http.StatusOK {
		return newError(op, KindRefused, errors.Newf("status %q", answer.Status))
	}
	if err := json.Unmarshal(body, v); err != nil {
		return newError(op, KindMalformed, err)
	}
	return nil
}
