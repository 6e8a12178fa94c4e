package dialer

import (
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures to reach a target.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an incomplete Config.
	KindInvalid Kind = "invalid"
	// KindUnreachable reports that no connection could be made.
	KindUnreachable Kind = "unreachable"
	// KindHandshake reports that the handshake of a connection failed.
	KindHandshake Kind = "handshake"
	// KindIncarnation reports that the target runs another incarnation than expected.
	KindIncarnation Kind = "incarnation"
	// KindSilent reports that no byte was transferred for Config.InactivityTimeout.
	KindSilent Kind = "silent"
	// KindCancelled reports that the request's context ended.
	KindCancelled Kind = "cancelled"
	// KindBroken reports any other failure of a connection.
	KindBroken Kind = "broken"
)

// Error describes a failed connection or request.
type Error struct {
	failer.Detail[Kind]
	// MaybeSent is true if a byte of the request may have been sent. If it is
	// false, none was sent and none will be.
	MaybeSent bool
	// Report is the target's report; nil if none was received.
	Report *messenger.LoadReport
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
