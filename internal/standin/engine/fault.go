package engine

import "github.com/cockroachdb/errors"

// Faults sets the simulated faults of an Engine. Absent fields leave them unchanged.
type Faults struct {
	// Restart resets all connections and starts a new, cold incarnation.
	Restart bool `json:"restart,omitempty"`
	// RestartSilently does the same, but leaves idle connections open.
	RestartSilently bool `json:"restart-silently,omitempty"`
	// Freeze stalls all generation while it is true; load reports are still answered.
	Freeze *bool `json:"freeze,omitempty"`
	// Refuse makes the engine refuse each request without running it.
	Refuse *bool `json:"refuse,omitempty"`
	// SlowFactor multiplies the durations of prefill and decode; it must be above 0.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// CrossNext is the number of following answers that contain a frame of another request.
	CrossNext *int `json:"cross-next,omitempty"`
	// TruncateNext is the number of following answers that end early, without a final frame.
	TruncateNext *int `json:"truncate-next,omitempty"`
	// DuplicateNext is the number of following answers that contain each frame twice.
	DuplicateNext *int `json:"duplicate-next,omitempty"`
	// ResetNext is the number of following answers whose connection is reset halfway.
	ResetNext *int `json:"reset-next,omitempty"`
	// Mark resets Stats.StartedSinceMark to 0.
	Mark bool `json:"mark,omitempty"`
}

// faultState holds the active faults and the number of answers still to be
// affected. Engine.mu guards it.
type faultState struct {
	frozen        bool
	refusing      bool
	slowFactor    float64
	crossNext     int
	truncateNext  int
	duplicateNext int
	resetNext     int
}

// Apply applies f. It returns an Error of KindInvalid for a value out of range.
func (e *Engine) Apply(f Faults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("slow-factor is %v, want above 0", *f.SlowFactor))
	}
	e.setFaults(f)
	if f.RestartSilently {
		e.RestartSilently()
	}
	if f.Restart {
		e.Restart()
	}
	return nil
}

func (e *Engine) setFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setIfPresent(&e.refusing, f.Refuse)
	setIfPresent(&e.slowFactor, f.SlowFactor)
	setIfPresent(&e.crossNext, f.CrossNext)
	setIfPresent(&e.truncateNext, f.TruncateNext)
	setIfPresent(&e.duplicateNext, f.DuplicateNext)
	setIfPresent(&e.resetNext, f.ResetNext)
	if f.Mark {
		e.stats.StartedSinceMark = 0
	}
	wasFrozen := e.frozen
	setIfPresent(&e.frozen, f.Freeze)
	if wasFrozen && !e.frozen {
		e.unfreeze()
	}
	e.recordLoad()
}

// takeStreamFault returns the fault for the next answer and decrements its
// counter. The caller holds mu.
func (e *Engine) takeStreamFault() streamFault {
	switch {
	case decrement(&e.crossNext):
		return faultCrossed
	case decrement(&e.truncateNext):
		return faultTruncated
	case decrement(&e.duplicateNext):
		return faultDuplicated
	case decrement(&e.resetNext):
		return faultReset
	default:
		return faultNone
	}
}

func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// decrement reports whether n was positive and then decrements it.
func decrement(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
