package exchanger

import "cardamomscale.example/cardamomscale/internal/core/failer"

// Kind classifies failures of exchanges.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an incomplete or contradictory Config.
	KindInvalid Kind = "invalid"
	// KindUnknownPeer reports a host that is not among the peers.
	KindUnknownPeer Kind = "unknown-peer"
	// KindUnreachable reports that no connection could be made; the call was not sent.
	KindUnreachable Kind = "unreachable"
	// KindTimeout reports that no reply arrived in time; the call may have run.
	KindTimeout Kind = "timeout"
	// KindBroken reports that the connection broke; the call may have run.
	KindBroken Kind = "broken"
	// KindRefused reports that the peer replied with an error.
	KindRefused Kind = "refused"
	// KindCancelled reports that the caller's context ended; the call may have run.
	KindCancelled Kind = "cancelled"
	// KindTooLarge reports a message above the size limit.
	KindTooLarge Kind = "too-large"
)

// Error describes a failed call or an invalid Config.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
