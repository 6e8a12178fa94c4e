package commander

import (
	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// ExitCode is the exit code of a command.
type ExitCode int

// The exit codes.
const (
	// ExitOK reports success.
	ExitOK ExitCode = 0
	// ExitFailure reports a failure that no other code names.
	ExitFailure ExitCode = 1
	// ExitUsage reports a malformed command line.
	ExitUsage ExitCode = 2
	// ExitInvalid reports an invalid configuration; nothing was changed.
	ExitInvalid ExitCode = 3
	// ExitLostRace reports that another change came first; nothing was changed.
	ExitLostRace ExitCode = 4
	// ExitNotInForce reports an accepted change that is not in force at every
	// daemon in time.
	ExitNotInForce ExitCode = 5
	// ExitUnavailable reports that the platform did not answer. The message
	// says whether the change may be in force.
	ExitUnavailable ExitCode = 6
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure; each has the exit code of the same name.
const (
	KindFailure     Kind = "failure"
	KindUsage       Kind = "usage"
	KindInvalid     Kind = "invalid"
	KindLostRace    Kind = "lost-race"
	KindNotInForce  Kind = "not-in-force"
	KindUnavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists what is wrong with an invalid configuration.
	Problems decoder.Problems
	// Winner is the change that came first in a lost race.
	Winner *specifier.Record
	// Differences lists what differs from the configuration in force to the
	// one that the operator wanted.
	Differences []specifier.Difference
	// Missing lists the daemons at which a change is not in force.
	Missing []Missing
}

// failure returns an *Error without details.
func failure(op string, kind Kind, err error) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

func (e *Error) exitCode() ExitCode {
	switch e.Kind {
	case KindUsage:
		return ExitUsage
	case KindInvalid:
		return ExitInvalid
	case KindLostRace:
		return ExitLostRace
	case KindNotInForce:
		return ExitNotInForce
	case KindUnavailable:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// asError returns err as an *Error. What is none comes from the reading of the
// command line.
func asError(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return failure("read command line", KindUsage, err)
}

// invalid returns an *Error for an error of package specifier.
func invalid(op string, err error) *Error {
	var specErr *specifier.Error
	if !errors.As(err, &specErr) || specErr.Kind != specifier.KindInvalid {
		return failure(op, KindFailure, err)
	}
	result := failure(op, KindInvalid, nil)
	result.Problems = specErr.Problems
	return result
}

// platformFailure returns an *Error for an error of the object API.
func platformFailure(op string, err error) *Error {
	switch platformKind(err) {
	case client.KindUnavailable, client.KindThrottled, client.KindUnknown:
		return failure(op, KindUnavailable, err)
	default:
		return failure(op, KindFailure, err)
	}
}

// platformKind returns the kind of an error of the object API; empty for nil
// and for other errors.
func platformKind(err error) client.Kind {
	var platformErr *client.Error
	if errors.As(err, &platformErr) {
		return platformErr.Kind
	}
	return ""
}
