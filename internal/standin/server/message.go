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

// Paths that all stand-ins share.
const (
	// PathFaults takes a POST of a stand-in's faults.
	PathFaults = "/faults"
	// PathStats takes a GET and answers with a stand-in's statistics.
	PathStats = "/stats"
)

const maxFaultBytes = 1 << 20

// Duration is a time.Duration that JSON carries as text such as "150ms".
type Duration struct{ time.Duration }

// MarshalText returns d in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	d.Duration = parsed
	return nil
}

// WriteJSON answers with status and v in JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Refuse answers with status and refusal and sets the headers that go with it.
// Incarnation 0 stands for a stand-in that has none.
func Refuse(w http.ResponseWriter, status int, refusal messenger.Refusal) {
	if refusal.Incarnation != 0 {
		SetIncarnation(w, refusal.Incarnation)
	}
	w.Header().Set(messenger.HeaderRun, string(refusal.Run))
	WriteJSON(w, status, refusal)
}

// SetIncarnation sets the header that carries a target's incarnation.
func SetIncarnation(w http.ResponseWriter, n identifier.Incarnation) {
	w.Header().Set(messenger.HeaderIncarnation, strconv.FormatUint(uint64(n), 10))
}

// DecodeStrict decodes exactly one JSON value from r into v. Unknown fields
// and bytes behind the value are errors.
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

// FaultHandler returns a handler that decodes a T from a POST and applies it.
// It answers 400 for an unknown field or for an error of apply.
func FaultHandler[T any](apply func(T) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var faults T
		err := DecodeStrict(http.MaxBytesReader(w, r.Body, maxFaultBytes), &faults)
		if err == nil {
			err = apply(faults)
		}
		if err != nil {
			Refuse(w, http.StatusBadRequest, messenger.Refusal{Kind: "invalid", Message: err.Error(), Run: messenger.RunNot})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// StatsHandler returns a handler that answers with the result of stats.
func StatsHandler[T any](stats func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, stats())
	})
}
