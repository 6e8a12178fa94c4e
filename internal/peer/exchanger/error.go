package exchanger

import "cardamomscale.example/cardamomscale/internal/core/failer"

// Kind classifies failures of exchanges.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a configuration that lacks something.
	KindInvalid Kind = "invalid"
	// KindUnknownPeer reports a host that is not among the peers.
	KindUnknownPeer Kind = "unknown-peer"
	// KindUnreachable reports that no connection was made; the call was not sent.
	KindUnreachable Kind = "unreachable"
	// KindTimeout reports that no answer came in time; the call may have run.
	KindTimeout Kind = "timeout"
	// KindBroken reports that the connection broke; the call may have run.
	KindBroken Kind = "broken"
	// KindRefused reports that the peer answered with an error.
	KindRefused Kind = "refused"
	// KindCancelled reports that the caller's context ended; the call may have run.
	KindCancelled Kind = "cancelled"
	// KindTooLarge reports a message above the size limit.
	KindTooLarge Kind = "too-large"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
