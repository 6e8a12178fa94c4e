// Package describer defines the messages that daemons send each other over
// net/rpc. All of them are hints except permits, which the target's owner
// grants authoritatively.
package describer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Service is the name under which a daemon registers its methods with net/rpc.
const Service = "Peer"

// Method is the name of a remote method, without the Service prefix.
type Method string

// The methods of a daemon.
const (
	MethodHeartbeat   Method = "Heartbeat"
	MethodPushConfig  Method = "PushConfig"
	MethodFetchConfig Method = "FetchConfig"
	MethodPermit      Method = "Permit"
	MethodRelease     Method = "Release"
	MethodExplain     Method = "Explain"
	MethodLink        Method = "Link"
	MethodReturnLink  Method = "ReturnLink"
)

// Methods lists all methods.
func Methods() []Method {
	return []Method{
		MethodHeartbeat, MethodPushConfig, MethodFetchConfig,
		MethodPermit, MethodRelease, MethodExplain, MethodLink, MethodReturnLink,
	}
}

// Content is the payload of heartbeats and of their replies.
type Content struct {
	From       identifier.Host
	DataCentre identifier.DataCentre
	// Session is a random number drawn at each start of the sender's process.
	Session uint64
	// Sequence increases with each Content that the sender builds for the receiver.
	Sequence uint64
	// Ack is the sequence of the last Content that the sender accepted from the
	// receiver, and AckSession is the session of that Content. A receiver with
	// another session ignores them.
	Ack        uint64
	AckSession uint64
	// Stale is true in a reply when the heartbeat was dropped because a newer
	// one had already been accepted.
	Stale         bool
	ConfigVersion uint64
	// Leaving is true when the sender is shutting down and accepts no new work.
	Leaving bool
	// Membership is from the newest membership list that the sender has received.
	Membership Membership
	// Loads, Summaries, Teams and Links hold the entries that changed since the
	// receiver last acknowledged them.
	Loads     []TargetLoad
	Summaries []Summary
	Teams     []TeamShare
	Links     []StoreLink
}

// TargetLoad is the load of one target as last read by the daemon that polls it.
type TargetLoad struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Cold        bool
	// Unreachable is true when the reader's last read of the target failed.
	Unreachable  bool
	Running      int32
	Queued       int32
	QueuedTokens int32
	// PrefillTokensPerSecond is the target's prefill rate; 0 when it reported none.
	PrefillTokensPerSecond float32
	// AgeMilliseconds is the age of the report when the message was built.
	AgeMilliseconds uint32
	// Sequence counts the reader's reads of the target.
	Sequence uint64
}

// Summary describes the state and the free capacity of a data centre.
type Summary struct {
	DataCentre identifier.DataCentre
	State      specifier.State
	// FreeRequests is the number of additional requests that the targets can run concurrently.
	FreeRequests int32
	ColdTargets  int32
}

// TeamShare is the demand of a team as measured by one daemon.
type TeamShare struct {
	Team              identifier.Team
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// StoreLink is one daemon's use of the link of a store host.
type StoreLink struct {
	Store          identifier.Store
	BytesPerSecond int64
}

// Heartbeat reports that the sender is alive and what changed in its state.
type Heartbeat struct{ Content }

// HeartbeatReply answers a Heartbeat with the receiver's own content.
type HeartbeatReply struct{ Content }

// PushConfig sends a configuration to a peer.
type PushConfig struct {
	Version uint64
	// Raw is the configuration as stored on the platform.
	Raw []byte
}

// PushConfigReply answers PushConfig with the version that the receiver now uses.
type PushConfigReply struct{ Version uint64 }

// FetchConfig requests a configuration whose version is higher than Above.
type FetchConfig struct{ Above uint64 }

// FetchConfigReply answers FetchConfig; Raw is empty when the peer has no higher version.
type FetchConfigReply struct {
	Version uint64
	Raw     []byte
}

// Membership lists the leaving targets of the platform's membership list.
type Membership struct {
	// AsOf is the timestamp in the list; zero before the first list.
	AsOf time.Time
	// Leaving holds the leaving targets, sorted.
	Leaving []identifier.Target
}

// Permit requests a slot for one request from the owner of a cold target.
type Permit struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number counts the slot requests made for Request.
	Number int
	// Term is the longest time that the slot is needed. The owner measures it
	// from when the message arrives, the sender from before it is sent, so that
	// the sender's term ends first.
	Term time.Duration
}

// PermitReply answers a Permit.
type PermitReply struct {
	Granted bool
	// Fence is the fencing token of the owner's lease.
	Fence uint64
	// Incarnation is the target's incarnation that the permit applies to.
	Incarnation identifier.Incarnation
	// RetryAfter is how long to wait after a refusal before the next attempt.
	RetryAfter time.Duration
	// Warm is true when the target needs no permit, according to a report of
	// Incarnation that is Age old.
	Warm bool
	Age  time.Duration
}

// ReleasePermit returns a slot to the target's owner. It is idempotent.
type ReleasePermit struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number is the Number of the Permit that obtained the slot.
	Number int
}

// ReleasePermitReply answers ReleasePermit; Released confirms that the owner received it.
type ReleasePermitReply struct{ Released bool }

// Explain requests the recorded decisions about a request.
type Explain struct{ Request identifier.Request }

// ExplainReply answers Explain; JSON is empty unless Found.
type ExplainReply struct {
	Found bool
	JSON  []byte
}

// Link requests a time slot for a transfer from the coordinator of a store's link.
type Link struct {
	Store identifier.Store
	Bytes int64
	// Share is the fraction of the link that the sender's profile allows, from 0 to 1.
	Share float64
	// Export is true for an export, which has lower priority than imports.
	Export bool
}

// LinkReply answers Link; Granted reports whether a slot was reserved.
type LinkReply struct {
	Granted bool
	// Wait is how long to wait before starting the transfer.
	Wait time.Duration
}

// ReturnLink returns the part of a time slot that a transfer did not use.
type ReturnLink struct {
	Store identifier.Store
	Bytes int64
	Share float64
}

// ReturnLinkReply answers ReturnLink; Returned confirms that the receiver accepted it.
type ReturnLinkReply struct{ Returned bool }
