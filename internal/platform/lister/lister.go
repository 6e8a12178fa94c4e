// Package lister follows the platform's membership list, which lags behind
// the truth. A missing answer leaves the last good list in place.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/jitterer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures of the membership list.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a configuration that lacks something, or a malformed list.
	KindInvalid Kind = "invalid"
	// KindUnavailable reports that no answer came.
	KindUnavailable Kind = "unavailable"
	// KindStale reports a list that is older than the kept one.
	KindStale Kind = "stale"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Defaults of Config.
const (
	DefaultInterval = time.Second
	DefaultTimeout  = time.Second
)

const (
	// intervalJitter is the share by which intervals vary.
	intervalJitter = 0.2
	// maxBackoffIntervals bounds the wait after failures.
	maxBackoffIntervals = 8
	// maxListBytes bounds one list.
	maxListBytes = 16 << 20
)

// Config configures a Lister. Clock, Transport and URL are required.
type Config struct {
	Clock     clockwork.Clock
	Transport http.RoundTripper
	// URL is the membership service without messenger.PathMembers.
	URL string
	// Interval is the time between reads, Timeout bounds each.
	Interval time.Duration
	Timeout  time.Duration
	// Seed seeds the jitter.
	Seed uint64
	// OnChange, if set, takes each list whose members differ from the list before.
	OnChange func(members messenger.Members)
	// OnRead, if set, takes each good list.
	OnRead func(members messenger.Members)
	Logger hclog.Logger
}

// List is the last good list.
type List struct {
	messenger.Members
	// ReadAt is when the list was asked for, by the daemon's own clock.
	ReadAt time.Time
	// Failures counts the reads in a row that failed since.
	Failures int
}

// Lister polls the membership list.
type Lister struct {
	cfg    Config
	jitter *jitterer.Jitterer

	mu    sync.Mutex
	list  List
	known bool
}

// New returns a Lister, or an Error of KindInvalid.
func New(cfg Config) (*Lister, error) {
	if cfg.Clock == nil || cfg.Transport == nil || cfg.URL == "" {
		err := errors.New("clock, transport and URL are required")
		return nil, newError("new lister", KindInvalid, err)
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(messenger.Members) {}
	}
	if cfg.OnRead == nil {
		cfg.OnRead = func(messenger.Members) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Lister{cfg: cfg, jitter: jitterer.New(cfg.Seed)}, nil
}

// List returns the last good list, and false before the first one.
func (l *Lister) List() (List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.known
}

// Age returns how long ago the last good list was asked for, and false before the first one.
func (l *Lister) Age() (time.Duration, bool) {
	list, ok := l.List()
	if !ok {
		return 0, false
	}
	return l.cfg.Clock.Since(list.ReadAt), true
}

// Run polls until ctx ends.
func (l *Lister) Run(ctx context.Context) error {
	timer := l.cfg.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.Chan():
		}
		timer.Reset(l.poll(ctx))
	}
}

// poll reads the list once and returns the wait until the next read.
func (l *Lister) poll(ctx context.Context) time.Duration {
	readAt := l.cfg.Clock.Now()
	members, err := l.Read(ctx)
	if err == nil {
		err = l.keep(members, readAt)
	}
	if err == nil {
		return l.jitter.Spread(l.cfg.Interval, intervalJitter)
	}
	l.mu.Lock()
	l.list.Failures++
	failures := l.list.Failures
	l.mu.Unlock()
	l.cfg.Logger.Warn("membership list is missing", "failures", failures, "error", err)
	return l.jitter.Backoff(l.cfg.Interval, maxBackoffIntervals*l.cfg.Interval, failures)
}

// Read asks for the list once and leaves the kept one alone. Its errors are of
// type Error.
func (l *Lister) Read(ctx context.Context) (messenger.Members, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, l.cfg.Timeout)
	defer cancel()
	var members messenger.Members
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.cfg.URL+messenger.PathMembers, nil)
	if err != nil {
		return members, newError("read members", KindInvalid, err)
	}
	answer, err := l.cfg.Transport.RoundTrip(r)
	if err != nil {
		return members, newError("read members", KindUnavailable, err)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxListBytes))
	err = errors.CombineErrors(err, answer.Body.Close())
	if err != nil {
		return members, newError("read members", KindUnavailable, err)
	}
	if answer.StatusCode != http.StatusOK {
		err := errors.Newf("status %q", answer.Status)
		return members, newError("read members", KindUnavailable, err)
	}
	if err := json.Unmarshal(body, &members); err != nil {
		return members, newError("read members", KindInvalid, err)
	}
	return members, nil
}

// keep replaces the kept list and reports a change. A list that is older than
// the kept one is an Error of KindStale.
func (l *Lister) keep(members messenger.Members, readAt time.Time) error {
	l.mu.Lock()
	if l.known && members.AsOf.Before(l.list.AsOf) {
		l.mu.Unlock()
		err := errors.Newf("list of %v is older than that of %v", members.AsOf, l.list.AsOf)
		return newError("keep members", KindStale, err)
	}
	changed := !l.known || !slices.Equal(l.list.Members.Members, members.Members)
	l.list = List{Members: members, ReadAt: readAt}
	l.known = true
	l.mu.Unlock()
	l.cfg.OnRead(members)
	if changed {
		l.cfg.OnChange(members)
	}
	return nil
}
