// Package checker decides whether a frame of an engine's answer belongs to the
// request that is being answered and continues it without a gap.
package checker

import (
	"fmt"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies faulty frames.
type Kind string

// The kinds of faulty frame.
const (
	// KindCrossed reports a frame of another request or attempt.
	KindCrossed Kind = "crossed"
	// KindGap reports a frame that skips tokens.
	KindGap Kind = "gap"
	// KindEnd reports an end mark that does not match the tokens received.
	KindEnd Kind = "end"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Frame is what a Checker needs to know of one frame.
type Frame struct {
	Attempt identifier.Attempt
	// Offset is the token's position in the whole answer.
	Offset int
	// Done marks the end; Offset is then the number of tokens.
	Done bool
}

// Verdict says what to do with a frame.
type Verdict int

// The verdicts.
const (
	// VerdictDeliver passes the frame's token on to the caller.
	VerdictDeliver Verdict = iota
	// VerdictSkip ignores a frame that repeats a delivered token.
	VerdictSkip
	// VerdictEnd ends the answer as whole.
	VerdictEnd
)

// Checker checks the frames of one attempt in order.
type Checker struct {
	attempt identifier.Attempt
	next    int
}

// Config configures a Checker.
type Config struct {
	Attempt identifier.Attempt
	// Offset is the position of the first token that the caller lacks.
	Offset int
}

// New returns a Checker.
func New(cfg Config) *Checker {
	return &Checker{attempt: cfg.Attempt, next: cfg.Offset}
}

// Next returns the position of the first token that the caller lacks.
func (c *Checker) Next() int { return c.next }

// Check returns what to do with f, or an Error if the attempt must be given up.
func (c *Checker) Check(f Frame) (Verdict, error) {
	if f.Attempt != c.attempt {
		return VerdictSkip, c.fault(KindCrossed, fmt.Errorf("frame of attempt %s in answer to %s", f.Attempt, c.attempt))
	}
	if f.Done {
		return c.end(f)
	}
	switch {
	case f.Offset < c.next:
		return VerdictSkip, nil
	case f.Offset > c.next:
		return VerdictSkip, c.fault(KindGap, fmt.Errorf("frame at offset %d, want %d", f.Offset, c.next))
	}
	c.next++
	return VerdictDeliver, nil
}

func (c *Checker) end(f Frame) (Verdict, error) {
	if f.Offset != c.next {
		return VerdictSkip, c.fault(KindEnd, fmt.Errorf("end mark at offset %d after %d tokens", f.Offset, c.next))
	}
	return VerdictEnd, nil
}

func (c *Checker) fault(kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: "check frame", Kind: kind, Err: err}}
}
