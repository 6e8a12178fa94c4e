package reader

import "cardamomscale.example/cardamomscale/internal/core/failer"

// Kind classifies failures to read a target.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a configuration that lacks something.
	KindInvalid Kind = "invalid"
	// KindUnreachable reports that no answer came in time.
	KindUnreachable Kind = "unreachable"
	// KindRefused reports an answer with another status than 200.
	KindRefused Kind = "refused"
	// KindMalformed reports an answer that could not be decoded.
	KindMalformed Kind = "malformed"
	// KindMisplaced reports that another target answered.
	KindMisplaced Kind = "misplaced"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
