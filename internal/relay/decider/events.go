package decider

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Event is something that happened outside the reducer. The set of events is closed.
type Event interface{ isEvent() }

// RequestArrived reports a new request from a caller.
type RequestArrived struct {
	// Number identifies the request in this process.
	Number int64
	// ID is the request ID given by the caller.
	ID   string
	Host string
	Path string
	Key  string
	// Timeout is how long the caller waits, or 0 if unknown.
	Timeout time.Duration
	Prompt  *descriptor.Prompt
	// Fingerprint identifies the request among those of its caller, whenever it is repeated.
	Fingerprint string
	// BodyBytes is the size of the body.
	BodyBytes int
}

// ResponseStarted reports the first part of a target's response.
type ResponseStarted struct {
	Number  int64
	Weights int
	// Unsuccessful is true if the status isn't a success, so that the target may not have answered
	// the prompt.
	Unsuccessful bool
	// Pace is what the target says about its machine.
	Pace descriptor.Pace
}

// Framing is how a response shows where its body ends.
type Framing string

// The framings of a response.
const (
	// FramingLength announces the number of bytes.
	FramingLength Framing = "length"
	// FramingChunks ends the body with an empty chunk.
	FramingChunks Framing = "chunks"
	// FramingConnection ends the body with the connection.
	FramingConnection Framing = "connection"
)

// ReceivedBody describes what a host read of a response's body.
type ReceivedBody struct {
	// Framing is empty if no response header was read.
	Framing Framing
	Bytes   int64
	// InsideEvent is true for a stream whose last event is incomplete.
	InsideEvent bool
}

// AttemptDone reports a complete response.
type AttemptDone struct {
	Number int64
	Status int
	Body   ReceivedBody
	// Events is the number of events of a stream, or 0 if unknown.
	Events int
}

// FailureReason classifies failed attempts.
type FailureReason string

// The reasons for a failed attempt.
const (
	// FailureUnreachable means that the request could not be sent.
	FailureUnreachable FailureReason = "unreachable"
	// FailureRefused means that the target reported not to have run the request.
	FailureRefused FailureReason = "refused"
	// FailureMisdirected means that another process, or one with other weights, answered.
	FailureMisdirected FailureReason = "misdirected"
	// FailureBroken means that the response was truncated, malformed or missing.
	FailureBroken FailureReason = "broken"
	// FailureSilent means that the connection died without a response from the target.
	FailureSilent FailureReason = "silent"
	// FailureErrorResponse means that the target returned an error response, which is kept for
	// the caller.
	FailureErrorResponse FailureReason = "answered-with-an-error"
	// FailureDeadline means that the deadline of the caller or the timeout of the route passed.
	FailureDeadline FailureReason = "deadline"
)

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Number int64
	Reason FailureReason
	Detail string
	// NotRun is true when the request certainly did not run and never will.
	NotRun bool
	// ResponseStarted is true when the caller has received a part of the response.
	ResponseStarted bool
	// Weights is the version reported by the target, or 0.
	Weights int
	Body    ReceivedBody
}

// CallerDisconnected reports that the connection of a caller ended before its answer was complete.
type CallerDisconnected struct {
	Number int64
	// Cut is true if this host closed the connection as it stops.
	Cut bool
}

// RequestUnread reports that a request couldn't be read to its end, so that it never arrives.
type RequestUnread struct {
	Number int64
	// ID is the caller's ID for the request.
	ID string
	// Received is the number of bytes of the body that were read.
	Received int64
	Cause    UnreadCause
	Detail   string
}

// UnreadCause says why a request wasn't read to its end.
type UnreadCause string

// The causes of unread requests.
const (
	// UnreadBroken means that the connection ended, or that the body isn't valid.
	UnreadBroken UnreadCause = "broken"
	// UnreadTooLong means that the body exceeds the configured limit.
	UnreadTooLong UnreadCause = "too-long"
	// UnreadLeaving means that this host has ended the upload as it stops.
	UnreadLeaving UnreadCause = "leaving"
	// UnreadNoMemory means that all bodies together would exceed their share of this host's memory.
	UnreadNoMemory UnreadCause = "no-memory"
)

// ConfigListed reports a version of the configuration.
type ConfigListed struct{ Config *descriptor.Config }

// ConfigConfirmed reports that the newest configuration listed was still the platform's newest
// at AsOf, in an era of the platform's store. FromPeer is true when another host reported it, in a
// message received at ReceivedAt.
type ConfigConfirmed struct {
	Era        int64
	AsOf       time.Time
	FromPeer   bool
	ReceivedAt time.Time
}

// TargetsListed reports changes in the platform's list of targets.
type TargetsListed struct {
	// Era is the era of the platform's store. It rises when the store goes back to an earlier
	// copy.
	Era     int64
	Targets []descriptor.Target
	Removed []string
	// Whole is true when Targets is the complete list, as after a gap in the changes.
	Whole bool
	// ReturnUntil is the time until which entries that lapsed in an outage may return, or zero
	// if there was none.
	ReturnUntil time.Time
}

// EvacuationsListed reports the data centres that are out of use, in an era of the platform's store.
type EvacuationsListed struct {
	Era         int64
	DataCentres []string
}

// DesiredWeightsChanged reports the version that the engines of a model should have.
type DesiredWeightsChanged struct {
	Model   string
	Version int
	// Era and Revision are those of the platform's store when the version was named.
	Era, Revision int64
	// Listed is true when the version is from a list, which hides replaced versions, rather
	// than from the changes since the last event.
	Listed bool
}

// RevisionConfirmed reports that the changes of the platform's store after Revision of an era were
// made after AsOf. FromPeer is true when another host reported it, in a message received at
// ReceivedAt.
type RevisionConfirmed struct {
	Era        int64
	Revision   int64
	AsOf       time.Time
	FromPeer   bool
	ReceivedAt time.Time
}

// PartsChanged reports changes in the content of a store. Whole is true when they list all
// parts.
type PartsChanged struct {
	Store   netip.AddrPort
	Changes descriptor.PartChanges
	Whole   bool
	// AsOf is the time at which the information was correct.
	AsOf time.Time
}

// StoreLost reports that a store doesn't answer.
type StoreLost struct{ Store netip.AddrPort }

// HostsListed reports all registered hosts.
type HostsListed struct{ Hosts map[string]descriptor.Host }

// MessageReceived reports a message from another host.
type MessageReceived struct{ Message Message }

// LeaseAnswered reports the result of reading or writing the lease.
type LeaseAnswered struct {
	Lease Lease
	// CalledAt is when the call began.
	CalledAt time.Time
	// Written is true for the result of a write, false for that of a read.
	Written bool
	// Missing is true when no lease exists. Of the Lease, only the Era is then set.
	Missing bool
	// Err is true when the call failed.
	Err bool
}

// ReportAnswered reports the state of an engine, or why it couldn't be read.
type ReportAnswered struct {
	Target string
	Report descriptor.Report
	Err    error
}

// OrderOutcome classifies the results of orders.
type OrderOutcome string

// The possible outcomes of an order.
const (
	OrderAccepted OrderOutcome = "accepted"
	OrderRefused  OrderOutcome = "refused"
	// OrderUnknown means that there was no answer: the order may still be carried out.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderAnswered reports the outcome of an order.
type OrderAnswered struct {
	Target  string
	Outcome OrderOutcome
	Detail  string
}

// ProbeAnswered reports whether the process of a target answered a probe.
type ProbeAnswered struct {
	Target string
	Alive  bool
	// Inconclusive is true if there was no whole answer in time, as from a plain target whose slots are
	// taken. If Alive is false, it doesn't show that the process has ended.
	Inconclusive bool
}

// NoticeReceived reports what a target said about itself in an answer.
type NoticeReceived struct {
	Target string
	// StartedAt identifies the process that the answered request was sent to.
	StartedAt time.Time
	Notice    descriptor.Notice
}

// QuarantineListed reports all suspects in quarantine that the platform's store has, as of a revision of
// an era.
type QuarantineListed struct {
	Era, Revision int64
	Suspects      []descriptor.KeptSuspect
}

// QuarantineKept reports that the platform's store has a suspect, or why it couldn't be written.
type QuarantineKept struct {
	Suspect descriptor.Suspect
	Err     error
}

// StopRequested requests a graceful shutdown.
type StopRequested struct{}

// RequestsClosed ends the time in which a host that stops takes requests.
type RequestsClosed struct{}

// RequestsEnded ends the time in which a host that stops waits for the beginning of answers.
type RequestsEnded struct{}

// Tick is sent at regular intervals to run timers.
type Tick struct{}

func (RequestArrived) isEvent()        {}
func (ResponseStarted) isEvent()       {}
func (AttemptDone) isEvent()           {}
func (AttemptFailed) isEvent()         {}
func (CallerDisconnected) isEvent()    {}
func (ConfigListed) isEvent()          {}
func (ConfigConfirmed) isEvent()       {}
func (TargetsListed) isEvent()         {}
func (EvacuationsListed) isEvent()     {}
func (DesiredWeightsChanged) isEvent() {}
func (RevisionConfirmed) isEvent()     {}
func (PartsChanged) isEvent()          {}
func (StoreLost) isEvent()             {}
func (HostsListed) isEvent()           {}
func (MessageReceived) isEvent()       {}
func (PartsRelayed) isEvent()          {}
func (LeaseAnswered) isEvent()         {}
func (ReportAnswered) isEvent()        {}
func (OrderAnswered) isEvent()         {}
func (ProbeAnswered) isEvent()         {}
func (NoticeReceived) isEvent()        {}
func (QuarantineListed) isEvent()      {}
func (QuarantineKept) isEvent()        {}
func (StopRequested) isEvent()         {}
func (RequestsClosed) isEvent()        {}
func (RequestsEnded) isEvent()         {}
func (RequestUnread) isEvent()         {}
func (Tick) isEvent()                  {}
