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

// applier reads and changes the configuration on the platform. It uses conditional
// writes, so that concurrent changes are not overwritten.
type applier struct {
	store    client.ObjectStore
	clock    clockwork.Clock
	random   io.Reader
	pause    time.Duration
	attempts int
	author   string
}

// currentConfig is the configuration in force. Version 0 means that there is none.
type currentConfig struct {
	specifier.Document
	version uint64
}

// edit is a change requested by an operator.
type edit struct {
	op      string
	message string
	// expect is the version that must be in force; 0 means any version.
	expect uint64
	change func(*specifier.Fleet) error
}

// outcome is the result of an accepted change.
type outcome struct {
	Version uint64 `json:"version"`
	// Unchanged is true if the change made no difference.
	Unchanged bool `json:"unchanged"`
	// ReplacedBy is the version of a later change that replaced this one before
	// its result was known; 0 if there is none.
	ReplacedBy  uint64                 `json:"overtaken,omitempty"`
	Differences []specifier.Difference `json:"differences"`
	// Unconfirmed lists the daemons at which the change is not known to be in
	// force.
	Unconfirmed []UnconfirmedDaemon `json:"missing,omitempty"`
	fleet       specifier.Fleet     `json:"-"`
}

const (
	tokenBytes = 16
	// maxRecords is the number of records in the history after pruning.
	maxRecords = 500
	// pruneInterval is the number of versions between prunings of the history.
	pruneInterval = 64
)

// readConfig reads the configuration in force.
func (a *applier) readConfig(ctx context.Context) (currentConfig, error) {
	const op = "read configuration"
	var object client.Object
	err := a.retry(ctx, func() error {
		var err error
		object, err = a.store.Get(ctx, specifier.FleetKey)
		return err
	})
	if platformKind(err) == client.KindNotFound {
		return currentConfig{Document: specifier.Document{Fleet: specifier.DefaultFleet()}}, nil
	}
	if err != nil {
		return currentConfig{}, platformError(op, err)
	}
	doc, err := specifier.DecodeDocument(specifier.FleetKey, bytes.NewReader(object.Value))
	if err != nil {
		return currentConfig{}, newError(op, KindFailure, err)
	}
	return currentConfig{Document: doc, version: object.Version}, nil
}

// retry makes up to a.attempts calls while the platform is unavailable or
// throttles, or the result is unknown. call must therefore be idempotent.
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

// sleep waits before another attempt and returns false if ctx ends first.
func (a *applier) sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.clock.After(a.pause):
		return true
	}
}

// apply applies e to the configuration in force. It fails with KindLostRace if
// another operator changes the configuration concurrently.
func (a *applier) apply(ctx context.Context, e edit) (outcome, error) {
	if a.author == "" {
		return outcome{}, newError(e.op, KindUsage, errors.Newf("--author is missing, want who makes the change"))
	}
	base, err := a.readConfig(ctx)
	if err != nil {
		return outcome{}, err
	}
	fleet, err := editedFleet(base, e)
	if err != nil {
		return outcome{}, err
	}
	if e.expect != 0 && e.expect != base.version {
		return outcome{}, lostRaceError(e.op, base, fleet)
	}
	result := outcome{Version: base.version, Differences: specifier.Diff(base.Fleet, fleet), fleet: fleet}
	if len(result.Differences) == 0 && base.version != 0 {
		result.Unchanged = true
		return result, nil
	}
	return a.replaceDocument(ctx, e, base, result)
}

// editedFleet returns the fleet that results from applying e to base, or an *Error
// if it is invalid.
func editedFleet(base currentConfig, e edit) (specifier.Fleet, error) {
	fleet := base.Fleet.Clone()
	if err := e.change(&fleet); err != nil {
		return fleet, err
	}
	if err := fleet.Validate(e.op); err != nil {
		return fleet, invalidError(e.op, err)
	}
	return fleet, nil
}

// replaceDocument replaces the document of base by that of result.
func (a *applier) replaceDocument(ctx context.Context, e edit, base currentConfig, result outcome) (outcome, error) {
	change, err := a.newChange(e)
	if err != nil {
		return outcome{}, err
	}
	value, err := json.Marshal(specifier.Document{Change: change, Fleet: result.fleet})
	if err != nil {
		return outcome{}, newError(e.op, KindFailure, err)
	}
	if len(value) > specifier.MaxDocumentBytes {
		err := errors.Newf("configuration has %d bytes, want at most %d", len(value), specifier.MaxDocumentBytes)
		return outcome{}, newError(e.op, KindFailure, err)
	}
	if err := a.writeRecord(ctx, base); err != nil {
		return outcome{}, platformError(e.op+": record previous change", err)
	}
	w := pendingWrite{op: e.op, base: base, change: change, fleet: result.fleet, value: value}
	result.Version, result.ReplacedBy, err = a.writeDocument(ctx, w)
	if err != nil {
		return outcome{}, err
	}
	a.updateHistory(ctx, base.version, currentConfig{Document: specifier.Document{Change: change}, version: result.Version})
	return result, nil
}

func (a *applier) newChange(e edit) (specifier.Change, error) {
	token := make([]byte, tokenBytes)
	if _, err := io.ReadFull(a.random, token); err != nil {
		return specifier.Change{}, newError(e.op, KindFailure, errors.Wrap(err, "read random token"))
	}
	return specifier.Change{
		Author:  a.author,
		At:      a.clock.Now().UTC(),
		Message: e.message,
		Token:   hex.EncodeToString(token),
	}, nil
}

// pendingWrite is a conditional write of a document.
type pendingWrite struct {
	op     string
	base   currentConfig
	change specifier.Change
	fleet  specifier.Fleet
	value  []byte
}

// writeDocument writes w and returns the version of the document, and the version
// of a later document that has already replaced it, or 0.
func (a *applier) writeDocument(ctx context.Context, w pendingWrite) (version, replacedBy uint64, err error) {
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
			return object.Version, 0, wrapPlatformError(w.op, err)
		}
		result, resolveErr := a.resolveWrite(ctx, w)
		if resolveErr != nil || result.version != 0 {
			return result.version, result.replacedBy, resolveErr
		}
	}
	if uncertain {
		return 0, 0, unknownOutcomeError(w, err)
	}
	return 0, 0, platformError(w.op+": nothing was changed", err)
}

// wrapPlatformError returns platformError, or nil if err is nil.
func wrapPlatformError(op string, err error) error {
	if err == nil {
		return nil
	}
	return platformError(op, err)
}

// unknownOutcomeError reports a write that may or may not have taken effect.
func unknownOutcomeError(w pendingWrite, err error) *Error {
	err = errors.Wrapf(err, "the change may be in force, look for token %s in the history", w.change.Token)
	return newError(w.op, KindUnavailable, err)
}

// writeResult is the result of a write. Version 0 means that the write has not
// taken effect.
type writeResult struct{ version, replacedBy uint64 }

// resolveWrite determines from the configuration and its history whether w took
// effect. It returns an *Error of KindLostRace if another change was applied
// instead.
func (a *applier) resolveWrite(ctx context.Context, w pendingWrite) (writeResult, error) {
	current, err := a.readConfig(ctx)
	if err != nil {
		return writeResult{}, unknownOutcomeError(w, err)
	}
	if current.Change.Token == w.change.Token {
		return writeResult{version: current.version}, nil
	}
	if current.version == w.base.version {
		return writeResult{}, nil
	}
	records, err := a.listRecords(ctx)
	if err != nil {
		return writeResult{}, unknownOutcomeError(w, err)
	}
	for _, record := range records {
		if record.Change.Token == w.change.Token {
			return writeResult{version: record.Version, replacedBy: current.version}, nil
		}
	}
	return writeResult{}, lostRaceError(w.op, current, w.fleet)
}

// lostRaceError reports that the change of current was applied instead of the one
// to wanted.
func lostRaceError(op string, current currentConfig, wanted specifier.Fleet) *Error {
	result := newError(op, KindLostRace, nil)
	result.Winner = &specifier.Record{Version: current.version, Change: current.Change}
	result.Differences = specifier.Diff(current.Fleet, wanted)
	return result
}
