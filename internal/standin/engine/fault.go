package engine

import "github.com/cockroachdb/errors"

// Faults changes the behaviour of an Engine; absent fields change nothing.
type Faults struct {
	// Restart cuts all connections and makes the engine cold with a new incarnation.
	Restart bool `json:"restart,omitempty"`
	// RestartSilently does the same, but leaves idle connections open.
	RestartSilently bool `json:"restart-silently,omitempty"`
	// Freeze stalls all answers to prompts while it is true; load reports go on.
	Freeze *bool `json:"freeze,omitempty"`
	// Refuse answers each request with a truthful refusal while it is true.
	Refuse *bool `json:"refuse,omitempty"`
	// SlowFactor multiplies the times of prefill and decode; it is above 0.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// CrossNext is the number of answers that carry a frame of another request.
	CrossNext *int `json:"cross-next,omitempty"`
	// TruncateNext is the number of answers that end early without their end mark.
	TruncateNext *int `json:"truncate-next,omitempty"`
	// DuplicateNext is the number of answers that carry each frame twice.
	DuplicateNext *int `json:"duplicate-next,omitempty"`
	// ResetNext is the number of answers whose connection is reset in the middle.
	ResetNext *int `json:"reset-next,omitempty"`
	// Mark starts the count of StartedSinceMark.
	Mark bool `json:"mark,omitempty"`
}

// faultState holds the faults that last. The Engine guards it.
type faultState struct {
	frozen    bool
	refuse    bool
	slow      float64
	cross     int
	truncate  int
	duplicate int
	reset     int
}

// Apply changes the behaviour; it returns an Error of KindInvalid for a value out of range.
func (e *Engine) Apply(f Faults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("slow-factor is %v, want above 0", *f.SlowFactor))
	}
	e.set(f)
	if f.RestartSilently {
		e.RestartSilently()
	}
	if f.Restart {
		e.Restart()
	}
	return nil
}

func (e *Engine) set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	assign(&e.refuse, f.Refuse)
	assign(&e.slow, f.SlowFactor)
	assign(&e.cross, f.CrossNext)
	assign(&e.truncate, f.TruncateNext)
	assign(&e.duplicate, f.DuplicateNext)
	assign(&e.reset, f.ResetNext)
	if f.Mark {
		e.stats.StartedSinceMark = 0
	}
	wasFrozen := e.frozen
	assign(&e.frozen, f.Freeze)
	if wasFrozen && !e.frozen {
		e.thaw()
	}
	e.record()
}

// nextStreamFault takes the fault of the next answer.
func (e *Engine) nextStreamFault() streamFault {
	switch {
	case take(&e.cross):
		return streamCrossed
	case take(&e.truncate):
		return streamTruncated
	case take(&e.duplicate):
		return streamDuplicated
	case take(&e.reset):
		return streamReset
	default:
		return streamWhole
	}
}

func assign[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
