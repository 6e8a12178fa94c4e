package planner

import (
	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnreadable reports a file that could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid reports a scenario that can't be run.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists all invalid keys of the scenario.
	Problems decoder.Problems
}

func newError(op string, kind Kind, err error, problems decoder.Problems) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: err}, Problems: problems}
}
