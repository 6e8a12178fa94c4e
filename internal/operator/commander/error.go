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
	// ExitFailure reports a failure without a more specific exit code, or findings of a check.
	ExitFailure ExitCode = 1
	// ExitUsage reports an invalid command line, or a file that a check can't read.
	ExitUsage ExitCode = 2
	// ExitInvalid reports an invalid configuration; nothing was changed.
	ExitInvalid ExitCode = 3
	// ExitLostRace reports a conflict with a concurrent change; nothing was
	// changed.
	ExitLostRace ExitCode = 4
	// ExitNotInForce reports an accepted change that was not confirmed by every
	// daemon in time.
	ExitNotInForce ExitCode = 5
	// ExitUnavailable reports that the platform is unavailable. The message says
	// whether the change may be in force.
	ExitUnavailable ExitCode = 6
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure. Findings have the exit code of failures, and unreadable files that of an invalid command line; each
// other kind has the exit code of the same name.
const (
	KindFailure     Kind = "failure"
	KindUsage       Kind = "usage"
	KindInvalid     Kind = "invalid"
	KindLostRace    Kind = "lost-race"
	KindNotInForce  Kind = "not-in-force"
	KindUnavailable Kind = "unavailable"
	KindFindings    Kind = "findings"
	KindUnreadable  Kind = "unreadable"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists what is wrong with an invalid configuration.
	Problems decoder.Problems
	// Winner is the concurrent change that was applied first in a lost race.
	Winner *specifier.Record
	// Differences lists the differences between the configuration in force and
	// the wanted one.
	Differences []specifier.Difference
	// Unconfirmed lists the daemons at which a change is not known to be in force.
	Unconfirmed []UnconfirmedDaemon
}

// newError returns an *Error without additional fields.
func newError(op string, kind Kind, err error) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

func (e *Error) exitCode() ExitCode {
	switch e.Kind {
	case KindUsage, KindUnreadable:
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

// toError returns err as an *Error. Other errors come from parsing the command
// line and become KindUsage.
func toError(err error) *Error {
	var commandErr *Error
	if errors.As(err, &commandErr) {
		return commandErr
	}
	return newError("read command line", KindUsage, err)
}

// invalidError converts an error of package specifier to an *Error.
func invalidError(op string, err error) *Error {
	var specErr *specifier.Error
	if !errors.As(err, &specErr) || specErr.Kind != specifier.KindInvalid {
		return newError(op, KindFailure, err)
	}
	result := newError(op, KindInvalid, nil)
	result.Problems = specErr.Problems
	return result
}

// platformError converts an error of the object API to an *Error.
func platformError(op string, err error) *Error {
	switch platformKind(err) {
	case client.KindUnavailable, client.KindThrottled, client.KindUnknown:
		return newError(op, KindUnavailable, err)
	default:
		return newError(op, KindFailure, err)
	}
}

// platformKind returns the kind of an error of the object API, or "" for nil and
// other errors.
func platformKind(err error) client.Kind {
	var platformErr *client.Error
	if errors.As(err, &platformErr) {
		return platformErr.Kind
	}
	return ""
}
