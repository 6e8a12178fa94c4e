package commander

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// applier changes the configuration by conditional writes to the platform.
type applier struct {
	store    client.ObjectStore
	clock    clockwork.Clock
	random   io.Reader
	pause    time.Duration
	attempts int
	author   string
}

// current is the configuration in force; version 0 means that there is none.
type current struct {
	specifier.Document
	version uint64
}

// edit is one change that an operator asks for.
type edit struct {
	op      string
	message string
	// expect is the version that the change is for; 0 means the one in force.
	expect uint64
	change func(*specifier.Fleet) error
}

// outcome is an accepted change.
type outcome struct {
	Version uint64 `json:"version"`
	// Unchanged is true when the configuration was as wanted already.
	Unchanged bool `json:"unchanged"`
	// Overtaken is the version of a later change that came before the answer.
	Overtaken   uint64                 `json:"overtaken,omitempty"`
	Differences []specifier.Difference `json:"differences"`
	// Missing lists daemons at which the change is not in force.
	Missing []Missing       `json:"missing,omitempty"`
	fleet   specifier.Fleet `json:"-"`
}

const (
	tokenBytes = 16
	// keptRecords bounds the records of the history.
	keptRecords = 500
	// pruneInterval is the number of versions between prunings of the history.
	pruneInterval = 64
)

// read returns the configuration in force.
func (a *applier) read(ctx context.Context) (current, error) {
	const op = "read configuration"
	var object client.Object
	err := a.retry(ctx, func() error {
		var err error
		object, err = a.store.Get(ctx, specifier.FleetKey)
		return err
	})
	if platformKind(err) == client.KindNotFound {
		return current{Document: specifier.Document{Fleet: specifier.DefaultFleet()}}, nil
	}
	if err != nil {
		return current{}, platformFailure(op, err)
	}
	doc, err := specifier.DecodeDocument(specifier.FleetKey, bytes.NewReader(object.Value))
	if err != nil {
		return current{}, failure(op, KindFailure, err)
	}
	return current{Document: doc, version: object.Version}, nil
}

// retry calls call again after a failure that changed nothing, or that only
// lost the answer of a call that can be repeated.
func (a *applier) retry(ctx context.Context, call func() error) error {
	var err error
	for attempt := range a.attempts {
		if attempt > 0 && !a.sleep(ctx) {
			return err
		}
		err = call()
		switch platformKind(err) {
		case client.KindUnavailable, client.KindThrottled, client.KindUnknown:
		default:
			return err
		}
	}
	return err
}

// sleep pauses before another attempt and returns false when ctx ends first.
func (a *applier) sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.clock.After(a.pause):
		return true
	}
}

// apply brings e into force if nobody else changes the configuration meanwhile.
func (a *applier) apply(ctx context.Context, e edit) (outcome, error) {
	if a.author == "" {
		return outcome{}, failure(e.op, KindUsage, errors.Newf("--author is missing, want who makes the change"))
	}
	base, err := a.read(ctx)
	if err != nil {
		return outcome{}, err
	}
	fleet, err := changed(base, e)
	if err != nil {
		return outcome{}, err
	}
	if e.expect != 0 && e.expect != base.version {
		return outcome{}, lostRace(e.op, base, fleet)
	}
	result := outcome{Version: base.version, Differences: specifier.Diff(base.Fleet, fleet), fleet: fleet}
	if len(result.Differences) == 0 && base.version != 0 {
		result.Unchanged = true
		return result, nil
	}
	return a.replace(ctx, e, base, result)
}

// changed returns the valid fleet that e makes of base.
func changed(base current, e edit) (specifier.Fleet, error) {
	fleet := base.Fleet.Clone()
	if err := e.change(&fleet); err != nil {
		return fleet, err
	}
	if err := fleet.Validate(e.op); err != nil {
		return fleet, invalid(e.op, err)
	}
	return fleet, nil
}

// replace writes the new document over base.
func (a *applier) replace(ctx context.Context, e edit, base current, result outcome) (outcome, error) {
	change, err := a.newChange(e)
	if err != nil {
		return outcome{}, err
	}
	value, err := json.Marshal(specifier.Document{Change: change, Fleet: result.fleet})
	if err != nil {
		return outcome{}, failure(e.op, KindFailure, err)
	}
	if len(value) > specifier.MaxDocumentBytes {
		err := errors.Newf("configuration has %d bytes, want at most %d", len(value), specifier.MaxDocumentBytes)
		return outcome{}, failure(e.op, KindFailure, err)
	}
	if err := a.record(ctx, base); err != nil {
		return outcome{}, platformFailure(e.op+": record previous change", err)
	}
	w := write{op: e.op, base: base, change: change, fleet: result.fleet, value: value}
	result.Version, result.Overtaken, err = a.write(ctx, w)
	if err != nil {
		return outcome{}, err
	}
	a.keepHistory(ctx, current{Document: specifier.Document{Change: change}, version: result.Version})
	return result, nil
}

func (a *applier) newChange(e edit) (specifier.Change, error) {
	token := make([]byte, tokenBytes)
	if _, err := io.ReadFull(a.random, token); err != nil {
		return specifier.Change{}, failure(e.op, KindFailure, errors.Wrap(err, "read random token"))
	}
	return specifier.Change{
		Author:  a.author,
		At:      a.clock.Now().UTC(),
		Message: e.message,
		Token:   hex.EncodeToString(token),
	}, nil
}

// write is one conditional write of a document.
type write struct {
	op     string
	base   current
	change specifier.Change
	fleet  specifier.Fleet
	value  []byte
}

// write returns the version of the written document, and the version of a
// later one that replaced it already, or 0.
func (a *applier) write(ctx context.Context, w write) (version, overtaken uint64, err error) {
	uncertain := false
	for attempt := range a.attempts {
		if attempt > 0 && !a.sleep(ctx) {
			break
		}
		var object client.Object
		object, err = a.store.Put(ctx, specifier.FleetKey, w.value, w.base.version)
		switch platformKind(err) {
		case client.KindThrottled, client.KindUnavailable:
			continue
		case client.KindConflict, client.KindUnknown:
			uncertain = true
		default:
			return object.Version, 0, wrapPlatform(w.op, err)
		}
		settled, settleErr := a.settle(ctx, w)
		if settleErr != nil || settled.version != 0 {
			return settled.version, settled.overtaken, settleErr
		}
	}
	if uncertain {
		return 0, 0, maybeInForce(w, err)
	}
	return 0, 0, platformFailure(w.op+": nothing was changed", err)
}

func wrapPlatform(op string, err error) error {
	if err == nil {
		return nil
	}
	return platformFailure(op, err)
}

// maybeInForce reports a write that could not be settled.
func maybeInForce(w write, err error) *Error {
	err = errors.Wrapf(err, "the change may be in force, look for token %s in the history", w.change.Token)
	return failure(w.op, KindUnavailable, err)
}

// settlement is what became of a write; version 0 means that it is not in
// force yet.
type settlement struct{ version, overtaken uint64 }

// settle reads back what became of w. A write that lost is an *Error of
// KindLostRace.
func (a *applier) settle(ctx context.Context, w write) (settlement, error) {
	now, err := a.read(ctx)
	if err != nil {
		return settlement{}, maybeInForce(w, err)
	}
	if now.Change.Token == w.change.Token {
		return settlement{version: now.version}, nil
	}
	if now.version == w.base.version {
		return settlement{}, nil
	}
	records, err := a.history(ctx)
	if err != nil {
		return settlement{}, maybeInForce(w, err)
	}
	for _, record := range records {
		if record.Change.Token == w.change.Token {
			return settlement{version: record.Version, overtaken: now.version}, nil
		}
	}
	return settlement{}, lostRace(w.op, now, w.fleet)
}

// lostRace reports that the change of now came before the one to wanted.
func lostRace(op string, now current, wanted specifier.Fleet) *Error {
	result := failure(op, KindLostRace, nil)
	result.Winner = &specifier.Record{Version: now.version, Change: now.Change}
	result.Differences = specifier.Diff(now.Fleet, wanted)
	return result
}
