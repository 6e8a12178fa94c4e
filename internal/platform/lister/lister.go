// Package lister polls the platform's membership list, which may be out of date. If a
// read fails, it keeps the last valid list.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/jitterer"
	"cardamomscale.example/cardamomscale/internal/core/splitter"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid reports an incomplete configuration or a malformed list.
	KindInvalid Kind = "invalid"
	// KindUnavailable reports that the membership service sent no list.
	KindUnavailable Kind = "unavailable"
	// KindStale reports a list that is older than the current one.
	KindStale Kind = "stale"
)

// Error is the type of all errors of this package.
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
	// intervalJitter is the fraction by which intervals vary.
	intervalJitter = 0.2
	// maxBackoffIntervals bounds the back-off after failures, in intervals.
	maxBackoffIntervals = 8
	maxListBytes        = 16 << 20
)

// Config configures a Lister. Clock, Transport and URL are required.
type Config struct {
	Clock     clockwork.Clock
	Transport http.RoundTripper
	// URL is the base URL of the membership service, without messenger.PathMembers.
	URL string
	// Interval is the mean time between reads, Timeout the limit for each read; 0 means
	// DefaultInterval and DefaultTimeout.
	Interval time.Duration
	Timeout  time.Duration
	// Seed seeds the jitter.
	Seed uint64
	// OnChange, if set, is called with each list whose members differ from the previous one.
	OnChange func(members messenger.Members)
	// OnRead, if set, is called with each valid list.
	OnRead func(members messenger.Members)
	Logger hclog.Logger
}

// List is the last valid list.
type List struct {
	messenger.Members
	// ReadAt is when the read of the list started, by the daemon's clock.
	ReadAt time.Time
	// Failures is the number of failed reads since then.
	Failures int
}

// Lister polls the membership list.
type Lister struct {
	cfg    Config
	jitter *jitterer.Jitterer

	mu      sync.Mutex
	list    List
	hasList bool
}

// New returns a Lister, or an Error of KindInvalid if cfg lacks a required field.
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

// List returns the last valid list, and false if there is none yet.
func (l *Lister) List() (List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.hasList
}

// Age returns the time since the read of the last valid list started, and false if
// there is none yet.
func (l *Lister) Age() (time.Duration, bool) {
	list, ok := l.List()
	if !ok {
		return 0, false
	}
	return l.cfg.Clock.Since(list.ReadAt), true
}

// Run polls the membership list until ctx ends.
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
		err = l.update(members, readAt)
	}
	if err == nil {
		return l.jitter.Spread(l.cfg.Interval, intervalJitter)
	}
	l.mu.Lock()
	l.list.Failures++
	failures := l.list.Failures
	l.mu.Unlock()
	l.cfg.Logger.Warn("reading the membership list failed", "failures", failures, "error", err)
	return l.jitter.Backoff(l.cfg.Interval, maxBackoffIntervals*l.cfg.Interval, failures)
}

// Read reads the list once without replacing the current one. Its errors are of type
// Error.
func (l *Lister) Read(ctx context.Context) (messenger.Members, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, l.cfg.Timeout)
	defer cancel()
	var members messenger.Members
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.cfg.URL+messenger.PathMembers, nil)
	if err != nil {
		return members, newError("read members", KindInvalid, err)
	}
	resp, err := l.cfg.Transport.RoundTrip(r)
	if err != nil {
		return members, newError("read members", KindUnavailable, err)
	}
	body, err := bounder.ReadAll(resp.Body, maxListBytes)
	err = errors.CombineErrors(err, resp.Body.Close())
	if err != nil {
		return members, newError("read members", KindUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Newf("status %q", resp.Status)
		return members, newError("read members", KindUnavailable, err)
	}
	members, skipped, err := decodeMembers(body)
	if err != nil {
		return members, newError("read members", KindInvalid, err)
	}
	if len(skipped) > 0 {
		l.cfg.Logger.Warn("entries of the membership list skipped, they can't be decoded", "entries", len(skipped), "first", skipped[0])
	}
	return members, nil
}

// decodeMembers decodes each entry alone, and returns why some are left out.
func decodeMembers(body []byte) (members messenger.Members, skipped []error, err error) {
	fields, err := splitter.Fields(body)
	if err != nil {
		return members, nil, err
	}
	if err := json.Unmarshal(fields["as-of"], &members.AsOf); err != nil {
		return members, nil, err
	}
	entries, err := splitter.Elements(fields["members"])
	if err != nil {
		return members, nil, err
	}
	for _, raw := range entries {
		var m messenger.Member
		if err := json.Unmarshal(raw, &m); err != nil {
			skipped = append(skipped, err)
			continue
		}
		members.Members = append(members.Members, m)
	}
	return members, skipped, nil
}

// update replaces the current list and calls OnRead and OnChange. It returns an Error
// of KindStale if the list is older than the current one.
func (l *Lister) update(members messenger.Members, readAt time.Time) error {
	l.mu.Lock()
	if l.hasList && members.AsOf.Before(l.list.AsOf) {
		l.mu.Unlock()
		err := errors.Newf("list as of %v is older than the current one as of %v", members.AsOf, l.list.AsOf)
		return newError("update members", KindStale, err)
	}
	changed := !l.hasList || !slices.Equal(l.list.Members.Members, members.Members)
	l.list = List{Members: members, ReadAt: readAt}
	l.hasList = true
	l.mu.Unlock()
	l.cfg.OnRead(members)
	if changed {
		l.cfg.OnChange(members)
	}
	return nil
}
