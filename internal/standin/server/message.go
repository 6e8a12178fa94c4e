package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Paths that all stand-ins serve.
const (
	// PathFaults accepts the faults of a stand-in with POST.
	PathFaults = "/faults"
	// PathStats returns the statistics of a stand-in on GET.
	PathStats = "/stats"
)

const maxFaultBytes = 1 << 20

// Duration is a time.Duration that is written as text such as "150ms" in JSON.
type Duration struct{ time.Duration }

// MarshalText formats d like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	d.Duration = parsed
	return nil
}

// WriteJSON writes a response with a status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteRefusal writes a refusal as JSON, with headers that repeat its run state and
// its incarnation. Incarnation 0 means that the stand-in has none.
func WriteRefusal(w http.ResponseWriter, status int, refusal messenger.Refusal) {
	if refusal.Incarnation != 0 {
		SetIncarnationHeader(w, refusal.Incarnation)
	}
	w.Header().Set(messenger.HeaderRun, string(refusal.Run))
	WriteJSON(w, status, refusal)
}

// SetIncarnationHeader sets the response header with the target's incarnation.
func SetIncarnationHeader(w http.ResponseWriter, n identifier.Incarnation) {
	w.Header().Set(messenger.HeaderIncarnation, strconv.FormatUint(uint64(n), 10))
}

// DecodeStrict decodes exactly one JSON value from r into v. Unknown fields and
// data after the value are errors.
func DecodeStrict(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// FaultHandler returns a handler that decodes a T from the request body and calls
// apply. It responds with status 400 to an unknown field or an error of apply.
func FaultHandler[T any](apply func(T) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var faults T
		err := DecodeStrict(http.MaxBytesReader(w, r.Body, maxFaultBytes), &faults)
		if err == nil {
			err = apply(faults)
		}
		if err != nil {
			WriteRefusal(w, http.StatusBadRequest, messenger.Refusal{Kind: "invalid", Message: err.Error(), Run: messenger.RunStateNotRun})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// StatsHandler returns a handler that responds with the result of stats as JSON.
func StatsHandler[T any](stats func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, stats())
	})
}
