// Package editor writes changes of the configuration by conditional update, so
// that of two operators who race each other one learns that the other won.
package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a malformed change or configuration.
	KindInvalid Kind = "invalid"
	// KindConflict reports that another change came first; Error.Current holds
	// the configuration in force.
	KindConflict Kind = "conflict"
	// KindNotAccepted reports that nothing was written.
	KindNotAccepted Kind = "not-accepted"
	// KindUnknown reports that the change may yet take effect.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Current is the configuration in force for KindConflict.
	Current client.Object
}

// Config configures an Editor.
type Config struct {
	Store  client.ObjectStore
	Clock  clockwork.Clock
	Jitter *client.Jitter
}

// Editor writes changes.
type Editor struct{ cfg Config }

// ApplyRequest is one change.
type ApplyRequest struct {
	// Base is the version that the change was made from; 0 creates the first one.
	Base            uint64
	Author, Message string
	// Fleet is the whole new configuration as JSON of specifier.Fleet.
	Fleet json.RawMessage
}

// envelope is specifier.Document with the fleet as it was handed in.
type envelope struct {
	Change specifier.Change `json:"change"`
	Fleet  json.RawMessage  `json:"fleet"`
}

// maxRecords is the number of Records that are kept.
const maxRecords = 50

// maxTrimmed bounds the deletions of one change.
const maxTrimmed = 4

const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second
)

// New returns an Editor, or an Error of KindInvalid.
func New(cfg Config) (*Editor, error) {
	if cfg.Store == nil || cfg.Clock == nil || cfg.Jitter == nil {
		return nil, newError("new editor", KindInvalid, errors.New("store, clock or jitter is not set"))
	}
	return &Editor{cfg: cfg}, nil
}

// Apply writes the change and returns the written object once the platform has
// accepted it. It repeats the write until ctx ends; the token of the change
// settles lost answers.
func (e *Editor) Apply(ctx context.Context, req ApplyRequest) (client.Object, error) {
	token := e.cfg.Jitter.Token()
	change := specifier.Change{Author: req.Author, At: e.cfg.Clock.Now().UTC(), Message: req.Message, Token: token}
	value, err := json.Marshal(envelope{Change: change, Fleet: req.Fleet})
	if err != nil {
		return client.Object{}, newError("encode change", KindInvalid, err)
	}
	if err := e.record(ctx, req.Base); err != nil {
		return client.Object{}, err
	}
	w := &writing{Editor: e, base: req.Base, token: token, value: value}
	o, err := w.run(ctx)
	if err == nil {
		e.trim(ctx)
	}
	return o, err
}

// trim deletes the oldest Records beyond maxRecords. A failure leaves them to
// the next change.
func (e *Editor) trim(ctx context.Context) {
	records, err := e.cfg.Store.List(ctx, specifier.HistoryPrefix)
	if err != nil {
		return
	}
	surplus := min(len(records)-maxRecords, maxTrimmed)
	for i := range max(surplus, 0) {
		if e.cfg.Store.Delete(ctx, records[i].Key, records[i].Version) != nil {
			return
		}
	}
}

// record writes the Record of the document at base, which is about to be
// replaced, so that every version but the last one has a Record.
func (e *Editor) record(ctx context.Context, base uint64) error {
	const op = "record change"
	if base == client.MustNotExist {
		return nil
	}
	o, err := e.cfg.Store.Get(ctx, specifier.FleetKey)
	if err != nil {
		return newError(op, KindNotAccepted, err)
	}
	if o.Version > base {
		return conflict(o)
	}
	if o.Version < base {
		return newError(op, KindNotAccepted, fmt.Errorf("read of version %d is older than %d", o.Version, base))
	}
	var doc envelope
	if err := json.Unmarshal(o.Value, &doc); err != nil {
		return newError(op, KindInvalid, err)
	}
	r := specifier.Record{Version: o.Version, Change: doc.Change}
	value, err := json.Marshal(r)
	if err != nil {
		return newError(op, KindInvalid, err)
	}
	_, err = e.cfg.Store.Put(ctx, r.Key(), value, client.MustNotExist)
	if err != nil && !client.IsKind(err, client.KindConflict) {
		return newError(op, KindNotAccepted, err)
	}
	return nil
}

// writing is one change on its way to the platform.
type writing struct {
	*Editor
	base  uint64
	token string
	value []byte
	// unsettled is true once a write may have taken effect.
	unsettled bool
}

func (w *writing) run(ctx context.Context) (client.Object, error) {
	backoff := &client.Backoff{Base: backoffBase, Max: backoffMax, Jitter: w.cfg.Jitter}
	for {
		o, done, err := w.try(ctx)
		if done {
			return o, err
		}
		if client.Sleep(ctx, w.cfg.Clock, backoff.Next()) != nil {
			return client.Object{}, newError("put configuration", w.kindOfEnd(), err)
		}
	}
}

func (w *writing) kindOfEnd() Kind {
	if w.unsettled {
		return KindUnknown
	}
	return KindNotAccepted
}

// try writes once and settles the result; done is false if it should be repeated.
func (w *writing) try(ctx context.Context) (o client.Object, done bool, err error) {
	o, err = w.cfg.Store.Put(ctx, specifier.FleetKey, w.value, w.base)
	switch client.KindOf(err) {
	case "":
		return o, true, nil
	case client.KindInvalid:
		return o, true, newError("put configuration", KindInvalid, err)
	case client.KindConflict:
		return w.settle(ctx)
	case client.KindUnknown:
		w.unsettled = true
		return w.settle(ctx)
	default:
		return o, false, err
	}
}

// settle reads back whether the change is in force. A change that was replaced
// since has left its Record.
func (w *writing) settle(ctx context.Context) (client.Object, bool, error) {
	o, err := w.cfg.Store.Get(ctx, specifier.FleetKey)
	if err != nil {
		return client.Object{}, false, err
	}
	if o.Version <= w.base {
		return client.Object{}, false, errors.Newf("configuration is still at version %d", o.Version)
	}
	var doc envelope
	if err := json.Unmarshal(o.Value, &doc); err != nil {
		return client.Object{}, true, newError("settle change", KindUnknown, err)
	}
	if doc.Change.Token == w.token {
		return o, true, nil
	}
	if !w.unsettled {
		return client.Object{}, true, conflict(o)
	}
	return w.settleByRecords(ctx, o)
}

func (w *writing) settleByRecords(ctx context.Context, current client.Object) (client.Object, bool, error) {
	records, err := w.cfg.Store.List(ctx, specifier.HistoryPrefix)
	if err != nil {
		return client.Object{}, false, err
	}
	for _, o := range records {
		var r specifier.Record
		if json.Unmarshal(o.Value, &r) == nil && r.Change.Token == w.token {
			return client.Object{Key: specifier.FleetKey, Version: r.Version, Value: w.value}, true, nil
		}
	}
	return client.Object{}, true, conflict(current)
}

func newError(op string, kind Kind, cause error) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: cause}}
}

func conflict(o client.Object) *Error {
	err := newError("put configuration", KindConflict, fmt.Errorf("version %d is in force", o.Version))
	err.Current = o
	return err
}
