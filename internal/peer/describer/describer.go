// Package describer defines the messages that daemons send each other over
// net/rpc. All of them are hints but for the permits, whose granter is the
// target's owner.
package describer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Service is the name under which a daemon registers its methods with net/rpc.
const Service = "Peer"

// Method names one remote method.
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

// Content is what daemons tell each other in heartbeats and their replies.
type Content struct {
	From       identifier.Host
	DataCentre identifier.DataCentre
	// Session is drawn anew in each life of the sender's process.
	Session uint64
	// Sequence rises with each content that the sender builds for the receiver.
	Sequence uint64
	// Ack is the sequence of the last content that the sender took from the
	// receiver, and AckSession is the session of that content. They say nothing
	// to a receiver in another session.
	Ack        uint64
	AckSession uint64
	// Stale is true in a reply when the heartbeat's content was older than one
	// that had been taken before, so that it was dropped.
	Stale         bool
	ConfigVersion uint64
	// Leaving is true when the sender shuts down and takes no new work.
	Leaving bool
	// Membership is the newest that the sender knows of the membership list.
	Membership Membership
	// Loads, Summaries, Teams and Links hold the entries that changed since the
	// receiver last acknowledged them.
	Loads     []TargetLoad
	Summaries []Summary
	Teams     []TeamShare
	Links     []StoreLink
}

// TargetLoad is the load of one target as its reader knows it.
type TargetLoad struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Cold        bool
	// Unreachable is true when the reader's last read of the target failed.
	Unreachable  bool
	Running      int32
	Queued       int32
	QueuedTokens int32
	// PrefillTokensPerSecond is the target's prefill rate; 0 when it told none.
	PrefillTokensPerSecond float32
	// AgeMilliseconds is the age of the report when the message was built.
	AgeMilliseconds uint32
	// Sequence is the reader's count of its reads of the target.
	Sequence uint64
}

// Summary describes a data centre as a whole.
type Summary struct {
	DataCentre identifier.DataCentre
	State      specifier.State
	// FreeRequests is the number of further requests that the targets can take at once.
	FreeRequests int32
	ColdTargets  int32
}

// TeamShare is the demand of a team at one daemon.
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

// Heartbeat tells a peer that the sender lives and what changed.
type Heartbeat struct{ Content }

// HeartbeatReply answers a Heartbeat with the receiver's own content.
type HeartbeatReply struct{ Content }

// PushConfig hands over a configuration.
type PushConfig struct {
	Version uint64
	// Raw is the configuration as the platform holds it.
	Raw []byte
}

// PushConfigReply answers PushConfig with the version then in force.
type PushConfigReply struct{ Version uint64 }

// FetchConfig asks for a configuration whose version is higher than Above.
type FetchConfig struct{ Above uint64 }

// FetchConfigReply answers FetchConfig; Raw is empty when the replier has no higher version.
type FetchConfigReply struct {
	Version uint64
	Raw     []byte
}

// Membership is what the platform's membership list said of leaving targets.
type Membership struct {
	// AsOf is the list's own time; zero before the first list.
	AsOf time.Time
	// Leaving are the targets that were leaving, in order.
	Leaving []identifier.Target
}

// Permit asks a target's owner for one slot of a cold target.
type Permit struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number counts the request's questions for slots.
	Number int
	// Term is how long the slot is wanted at most; the owner counts it from the
	// permit's arrival, the asker from before its sending.
	Term time.Duration
}

// PermitReply answers a Permit.
type PermitReply struct {
	Granted bool
	// Fence is the fencing number of the owner's lease.
	Fence uint64
	// Incarnation is the one of the target that leave is given for.
	Incarnation identifier.Incarnation
	// RetryAfter is when to ask again after a refusal.
	RetryAfter time.Duration
	// Warm says that the target needs no leave, by a report of Incarnation that
	// is Age old.
	Warm bool
	Age  time.Duration
}

// ReleasePermit gives a slot back; repeating it is harmless.
type ReleasePermit struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number is that of the question by which the slot was got.
	Number int
}

// ReleasePermitReply answers ReleasePermit.
type ReleasePermitReply struct{ Released bool }

// Explain asks for the decisions about a request.
type Explain struct{ Request identifier.Request }

// ExplainReply answers Explain; JSON is empty unless Found.
type ExplainReply struct {
	Found bool
	JSON  []byte
}

// Link asks a store's link keeper for a time on the link.
type Link struct {
	Store identifier.Store
	Bytes int64
	// Share is the part of the link that the asker's profile permits, from 0 to 1.
	Share float64
	// Export is true for an export, which gives way to imports.
	Export bool
}

// LinkReply answers Link.
type LinkReply struct {
	Granted bool
	// Wait is how long the transfer waits for its time.
	Wait time.Duration
}

// ReturnLink tells a link keeper what a transfer did not use.
type ReturnLink struct {
	Store identifier.Store
	Bytes int64
	Share float64
}

// ReturnLinkReply answers ReturnLink.
type ReturnLinkReply struct{ Returned bool }
