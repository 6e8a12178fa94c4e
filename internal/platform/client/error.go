package client

import (
	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// NewError returns an Error for the operation op. Cause may be nil.
func NewError(op string, kind Kind, cause error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: cause}}
}

// KindOf returns the kind of the first Error in err's chain, or "" for nil. It returns
// KindUnknown for any other error, since the call may have taken effect.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// IsKind reports whether err is an Error of kind.
func IsKind(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
