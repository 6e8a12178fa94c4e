package dialer

import (
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures towards a target.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a malformed configuration or request.
	KindInvalid Kind = "invalid"
	// KindUnreachable reports that no connection was made.
	KindUnreachable Kind = "unreachable"
	// KindHandshake reports a connection whose handshake failed.
	KindHandshake Kind = "handshake"
	// KindIncarnation reports that the target runs another incarnation than expected.
	KindIncarnation Kind = "incarnation"
	// KindSilent reports a connection on which nothing moved for too long.
	KindSilent Kind = "silent"
	// KindCancelled reports that the request's context ended.
	KindCancelled Kind = "cancelled"
	// KindBroken reports any other failure of a connection.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// MaybeSent is true when a byte of the request may have left. When it is
	// false, none has left and none will.
	MaybeSent bool
	// Report is the target's report if the handshake brought one.
	Report *messenger.LoadReport
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
