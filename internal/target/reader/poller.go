package reader

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// maxResponseBytes limits the size of a target's response.
	maxResponseBytes = 8 << 20
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 10 * time.Second
)

// targetPoller periodically reads one target.
type targetPoller struct {
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

// eventState is the reader's position in a target's sequence of events.
type eventState struct {
	incarnation identifier.Incarnation
	// lastSequence is that of the last event read.
	lastSequence uint64
	// initialised is true once a batch has been read.
	initialised bool
	failures    int
}

func newTargetPoller(r *Reader, a Assignment) *targetPoller {
	return &targetPoller{
		reader:     r,
		assignment: a,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return r.cfg.Dial(ctx, a.Address)
			},
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,

			MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
		},
	}
}

// run reads the target until ctx ends.
func (p *targetPoller) run(ctx context.Context) {
	defer p.transport.CloseIdleConnections()
	var loops sync.WaitGroup
	defer loops.Wait()
	cfg := &p.reader.cfg
	loops.Go(func() { p.poll(ctx, cfg.LoadInterval, p.readLoad) })
	if p.assignment.Events {
		loops.Go(func() { p.poll(ctx, cfg.EventInterval, p.readEvents) })
	}
}

// poll calls read each interval, with back-off after failures. The function read
// returns the number of consecutive failures.
func (p *targetPoller) poll(ctx context.Context, interval time.Duration, read func(context.Context) int) {
	r := p.reader
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

// readLoad reads the load report and returns the number of consecutive failures.
func (p *targetPoller) readLoad(ctx context.Context) int {
	at := p.reader.cfg.Clock.Now()
	var report messenger.LoadReport
	err := p.get(ctx, messenger.PathLoad, &report)
	if ctx.Err() != nil {
		return p.loads.failures
	}
	if err == nil && report.Target != p.assignment.Target {
		cause := errors.Newf("target %q responds at the address of target %q", report.Target, p.assignment.Target)
		err = newError("read load", KindWrongTarget, cause)
	}
	p.loads.sequence++
	if err != nil {
		p.loads.failures++
		p.reader.cfg.OnObservation(TargetUnreachable{
			Target:   p.assignment.Target,
			Sequence: p.loads.sequence,
			Failures: p.loads.failures,
			Err:      err,
			At:       at,
		})
		return p.loads.failures
	}
	p.loads.failures = 0
	p.reader.cfg.OnObservation(LoadObserved{Report: report, Sequence: p.loads.sequence, At: at})
	return 0
}

// readEvents reads the cache events after the last one read, and returns the
// number of consecutive failures.
func (p *targetPoller) readEvents(ctx context.Context) int {
	at := p.reader.cfg.Clock.Now()
	var batch messenger.CacheEvents
	path := messenger.PathEvents + "?after=" + strconv.FormatUint(p.events.lastSequence, 10)
	err := p.get(ctx, path, &batch)
	if ctx.Err() != nil {
		return p.events.failures
	}
	if err != nil {
		p.reader.cfg.Logger.Debug("failed to read cache events", "target", p.assignment.Target, "error", err)
		p.events.failures++
		return p.events.failures
	}
	p.events.failures = 0
	gap, fresh := p.events.advance(&batch)
	if gap || len(fresh) > 0 {
		p.reader.cfg.OnObservation(CacheChanged{
			Target:      p.assignment.Target,
			Incarnation: batch.Incarnation,
			Events:      fresh,
			Gap:         gap,
			At:          at,
		})
	}
	return 0
}

// advance moves the position past batch. It returns the new events and whether
// others were missed. After a change of incarnation all events count as missed.
func (e *eventState) advance(batch *messenger.CacheEvents) (gap bool, fresh []messenger.CacheEvent) {
	if !e.initialised || e.incarnation != batch.Incarnation {
		restarted := e.initialised
		*e = eventState{incarnation: batch.Incarnation, initialised: true}
		if restarted {
			// The batch was requested with a sequence number of the old incarnation.
			return true, nil
		}
	}
	for _, event := range batch.Events {
		if event.Sequence <= e.lastSequence {
			continue
		}
		gap = gap || event.Sequence != e.lastSequence+1
		e.lastSequence = event.Sequence
		fresh = append(fresh, event)
	}
	return gap, fresh
}

// get decodes the response to a GET into v. Its errors are of type Error.
func (p *targetPoller) get(ctx context.Context, path string, v any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, p.reader.cfg.Clock, p.reader.cfg.Timeout)
	defer cancel()
	op := "get " + path
	url := "http://" + p.assignment.Address.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return newError(op, KindInvalid, err)
	}
	response, err := p.transport.RoundTrip(r)
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	body, err := p.reader.buffers.ReadAll(response.Body, maxResponseBytes)
	err = errors.CombineErrors(err, response.Body.Close())
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return newError(op, KindRefused, errors.Newf("status %q", response.Status))
	}
	if err := json.Unmarshal(body, v); err != nil {
		return newError(op, KindMalformed, err)
	}
	return nil
}
