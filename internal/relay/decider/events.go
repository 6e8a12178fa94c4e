package decider

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Event is something that happened outside the reducer. The set of events is closed.
type Event interface{ isEvent() }

// RequestArrived brings a caller's request.
type RequestArrived struct {
	// Number identifies the request in this process.
	Number int64
	// ID is the caller's name for this attempt.
	ID   string
	Host string
	Path string
	Key  string
	// Deadline is how long the caller waits; 0 if it didn't say.
	Deadline time.Duration
	Prompt   *descriptor.Prompt
}

// AnswerBegan reports the first part of a target's answer.
type AnswerBegan struct {
	Number  int64
	Weights int
}

// AttemptDone reports a whole answer.
type AttemptDone struct {
	Number int64
	Status int
}

// FailureReason classifies failed attempts.
type FailureReason string

// The reasons for a failed attempt.
const (
	// FailureUnreachable means that nothing could be sent.
	FailureUnreachable FailureReason = "unreachable"
	// FailureRefused means that the target said that it has not run the request.
	FailureRefused FailureReason = "refused"
	// FailureMisdirected means that another process or other weights answered.
	FailureMisdirected FailureReason = "misdirected"
	// FailureBroken means that the answer was cut, faulty or missing.
	FailureBroken FailureReason = "broken"
	// FailureSilent means that the connection died without a sign of the target.
	FailureSilent FailureReason = "silent"
	// FailureAnswered means that the target answered with an error of its own; the
	// answer is kept for the caller.
	FailureAnswered FailureReason = "answered-with-an-error"
	// FailureDeadline means that the time of the caller or the route was over.
	FailureDeadline FailureReason = "deadline"
)

// AttemptFailed reports that an attempt ended without a whole answer.
type AttemptFailed struct {
	Number int64
	Reason FailureReason
	Detail string
	// NotRun is true when the request certainly did not run and never will.
	NotRun bool
	// Begun is true when the caller has a part of the answer.
	Begun bool
	// Weights is the version that the target told; 0 if it told none.
	Weights int
}

// CallerLeft reports that the caller closed the connection.
type CallerLeft struct{ Number int64 }

// ConfigListed brings a version of the configuration.
type ConfigListed struct{ Config *descriptor.Config }

// ConfigConfirmed says that the newest configuration that was listed was the
// platform's at AsOf. Told is true when another host says so.
type ConfigConfirmed struct {
	AsOf time.Time
	Told bool
}

// TargetsListed brings targets of the platform's list.
type TargetsListed struct {
	Targets []descriptor.Target
	Removed []string
	// Whole is true when Targets are all targets, after a gap in the changes.
	Whole bool
	// Lapsing is true just after an outage: entries that were removed in it may come back.
	Lapsing bool
}

// EvacuationsListed brings the data centres that are taken out.
type EvacuationsListed struct{ DataCentres []string }

// WeightsNamed brings the version that a model should have.
type WeightsNamed struct {
	Model   string
	Version int
}

// PartsChanged brings changes of a store; Whole says that they list all that it holds.
type PartsChanged struct {
	Store   netip.AddrPort
	Changes descriptor.PartChanges
	Whole   bool
	// AsOf is when the answer was true.
	AsOf time.Time
}

// StoreLost reports that a store doesn't answer.
type StoreLost struct{ Store netip.AddrPort }

// HostsListed brings all registered hosts.
type HostsListed struct{ Hosts map[string]descriptor.Host }

// PeerSaid brings another host's message.
type PeerSaid struct{ Message Message }

// LeaseSeen brings the lease of orders. Err is true when the call failed.
type LeaseSeen struct {
	Lease Lease
	// Asked is when the call began.
	Asked time.Time
	// Written is true when this host has just written the lease.
	Written bool
	Missing bool
	Err     bool
}

// ReportSeen brings an engine's report.
type ReportSeen struct {
	Target string
	Report descriptor.Report
	Err    error
}

// OrderOutcome is the answer to an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderAccepted OrderOutcome = "accepted"
	OrderRefused  OrderOutcome = "refused"
	// OrderUnknown means no answer: the order may be carried out later.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderAnswered brings the outcome of an order.
type OrderAnswered struct {
	Target  string
	Outcome OrderOutcome
	Detail  string
}

// ProbeAnswered says whether a target that was down answers again.
type ProbeAnswered struct {
	Target string
	Alive  bool
}

// StopAsked asks the host to leave in good order.
type StopAsked struct{}

// Tick lets time pass.
type Tick struct{}

func (RequestArrived) isEvent()    {}
func (AnswerBegan) isEvent()       {}
func (AttemptDone) isEvent()       {}
func (AttemptFailed) isEvent()     {}
func (CallerLeft) isEvent()        {}
func (ConfigListed) isEvent()      {}
func (ConfigConfirmed) isEvent()   {}
func (TargetsListed) isEvent()     {}
func (EvacuationsListed) isEvent() {}
func (WeightsNamed) isEvent()      {}
func (PartsChanged) isEvent()      {}
func (StoreLost) isEvent()         {}
func (HostsListed) isEvent()       {}
func (PeerSaid) isEvent()          {}
func (PartsTold) isEvent()         {}
func (LeaseSeen) isEvent()         {}
func (ReportSeen) isEvent()        {}
func (OrderAnswered) isEvent()     {}
func (ProbeAnswered) isEvent()     {}
func (StopAsked) isEvent()         {}
func (Tick) isEvent()              {}
