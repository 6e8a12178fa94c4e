package editor_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/editor"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

func newEditor(t *testing.T) (*editor.Editor, *rememberer.Memory) {
	t.Helper()
	store, err := rememberer.New(rememberer.Config{Clock: clockwork.NewFakeClock()})
	assert.NilError(t, err)
	e, err := editor.New(editor.Config{
		Store: store, Clock: clockwork.NewRealClock(), Jitter: client.NewJitter(rand.New(rand.NewPCG(1, 2))),
	})
	assert.NilError(t, err)
	return e, store
}

func change(base uint64, author string) editor.ApplyRequest {
	return editor.ApplyRequest{Base: base, Author: author, Fleet: []byte("{}")}
}

// failNext lets the next put of the configuration fail.
func failNext(store *rememberer.Memory, fault rememberer.Fault) {
	store.SetHook(func(c rememberer.Call) rememberer.Fault {
		if c.Op != rememberer.OpPut || c.Key != specifier.FleetKey {
			return rememberer.FaultNone
		}
		store.SetHook(nil)
		return fault
	})
}

func TestLostAnswersAreSettled(t *testing.T) {
	for _, fault := range []rememberer.Fault{
		rememberer.FaultLostAnswer, rememberer.FaultLostCall, rememberer.FaultThrottled, rememberer.FaultUnavailable,
	} {
		e, store := newEditor(t)
		failNext(store, fault)
		o, err := e.Apply(t.Context(), change(0, "ana"))
		assert.NilError(t, err)
		got, err := store.Get(t.Context(), specifier.FleetKey)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, o)
		assert.Equal(t, store.Revision(), uint64(1))
	}
}

func TestRaceHasOneWinner(t *testing.T) {
	e, store := newEditor(t)
	first, err := e.Apply(t.Context(), change(0, "ana"))
	assert.NilError(t, err)
	type result struct {
		o   client.Object
		err error
	}
	results := make(chan result, 2)
	for _, author := range []string{"ana", "ben"} {
		go func() {
			o, err := e.Apply(t.Context(), change(first.Version, author))
			results <- result{o, err}
		}()
	}
	won, lost := <-results, <-results
	if won.err != nil {
		won, lost = lost, won
	}
	assert.NilError(t, won.err)
	var conflict *editor.Error
	assert.Assert(t, errors.As(lost.err, &conflict))
	assert.Equal(t, conflict.Kind, editor.KindConflict)
	assert.DeepEqual(t, conflict.Current, won.o)
	records, err := store.List(t.Context(), specifier.HistoryPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
}

func TestOutageIsNotAcceptedOrUnknown(t *testing.T) {
	tests := []struct {
		fault rememberer.Fault
		kind  editor.Kind
	}{
		{rememberer.FaultUnavailable, editor.KindNotAccepted},
		{rememberer.FaultLostAnswer, editor.KindUnknown},
	}
	for _, test := range tests {
		e, store := newEditor(t)
		ctx, cancel := context.WithCancel(t.Context())
		store.SetHook(func(rememberer.Call) rememberer.Fault {
			if store.Calls(rememberer.OpPut) >= 2 {
				cancel()
			}
			return test.fault
		})
		_, err := e.Apply(ctx, change(0, "ana"))
		var own *editor.Error
		assert.Assert(t, errors.As(err, &own))
		assert.Equal(t, own.Kind, test.kind)
		cancel()
	}
}

func TestRecordsAreBounded(t *testing.T) {
	e, store := newEditor(t)
	var version uint64
	for range 60 {
		o, err := e.Apply(t.Context(), change(version, "ana"))
		assert.NilError(t, err)
		version = o.Version
	}
	records, err := store.List(t.Context(), specifier.HistoryPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 50)
}

func TestReplacedChangeIsFoundByItsRecord(t *testing.T) {
	e, store := newEditor(t)
	replaced := false
	store.SetHook(func(c rememberer.Call) rememberer.Fault {
		switch {
		case c.Op == rememberer.OpPut && c.Key == specifier.FleetKey && !replaced:
			return rememberer.FaultLostAnswer
		case c.Op == rememberer.OpGet && !replaced:
			replaced = true
			_, err := e.Apply(t.Context(), change(1, "ben"))
			assert.NilError(t, err)
		}
		return rememberer.FaultNone
	})
	o, err := e.Apply(t.Context(), change(0, "ana"))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
}
