package reader

import "cardamomscale.example/cardamomscale/internal/core/failer"

// Kind classifies failures to read a target.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an incomplete Config or an invalid request.
	KindInvalid Kind = "invalid"
	// KindUnreachable reports that no complete response arrived in time.
	KindUnreachable Kind = "unreachable"
	// KindRefused reports a response with a status other than 200.
	KindRefused Kind = "refused"
	// KindMalformed reports a response that could not be decoded.
	KindMalformed Kind = "malformed"
	// KindWrongTarget reports that another target responded at the address.
	KindWrongTarget Kind = "misplaced"
)

// Error describes a failed read or an invalid Config.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
