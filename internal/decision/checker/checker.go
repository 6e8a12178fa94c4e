// Package checker verifies that the frames of an engine's response belong to the
// current attempt and continue its output without a gap.
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
	// KindEnd reports an end mark whose number of tokens differs from those received.
	KindEnd Kind = "end"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Frame holds the fields of a response frame that a Checker verifies.
type Frame struct {
	Attempt identifier.Attempt
	// Offset is the token's position in the whole response.
	Offset int
	// Done marks the end of the response; Offset is then the number of tokens.
	Done bool
}

// Verdict is the decision on a frame.
type Verdict int

// The verdicts.
const (
	// VerdictDeliver forwards the frame's token to the caller.
	VerdictDeliver Verdict = iota
	// VerdictSkip ignores a frame that repeats a delivered token.
	VerdictSkip
	// VerdictEnd reports that the response is complete.
	VerdictEnd
)

// Checker verifies the frames of one attempt in order.
type Checker struct {
	attempt identifier.Attempt
	next    int
}

// Config configures a Checker.
type Config struct {
	Attempt identifier.Attempt
	// Offset is the position of the first token that the caller has not received.
	Offset int
}

// New returns a Checker.
func New(cfg Config) *Checker {
	return &Checker{attempt: cfg.Attempt, next: cfg.Offset}
}

// Next returns the position of the first token that the caller has not received.
func (c *Checker) Next() int { return c.next }

// Check returns what to do with f, or an Error if the attempt must be abandoned.
func (c *Checker) Check(f Frame) (Verdict, error) {
	if f.Attempt != c.attempt {
		return VerdictSkip, c.newError(KindCrossed, fmt.Errorf("frame of attempt %s in answer to %s", f.Attempt, c.attempt))
	}
	if f.Done {
		return c.checkEnd(f)
	}
	switch {
	case f.Offset < c.next:
		return VerdictSkip, nil
	case f.Offset > c.next:
		return VerdictSkip, c.newError(KindGap, fmt.Errorf("frame at offset %d, want %d", f.Offset, c.next))
	}
	c.next++
	return VerdictDeliver, nil
}

func (c *Checker) checkEnd(f Frame) (Verdict, error) {
	if f.Offset != c.next {
		return VerdictSkip, c.newError(KindEnd, fmt.Errorf("end mark at offset %d after %d tokens", f.Offset, c.next))
	}
	return VerdictEnd, nil
}

func (c *Checker) newError(kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: "check frame", Kind: kind, Err: err}}
}
