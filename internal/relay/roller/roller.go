// Package roller decides how the traffic of a service is shifted to a new version of its targets. The
// decision is pure: the holder of the lease calls Advance some times a second, and writes the Status.
package roller

import "time"

// Order asks for a version of a service.
type Order struct {
	Service, To string
	Over        time.Duration
}

// Tally counts the answers of one version on one route since the order.
type Tally struct {
	// Failures are the answers with a 5xx status and the broken ones. They are part of Answers.
	Answers, Failures int
	// Time is the sum of the times of successful answers.
	Time time.Duration
	// Squares is the sum of the squares of these times, in seconds squared. If it is 0, times are taken
	// to vary as much as an exponential distribution.
	Squares float64
}

// Evidence is what all hosts together have seen since the order.
type Evidence struct {
	Old, New map[string]Tally // by route
	Requests int              // requests of the service since the order
	Exposed  int              // of these, the requests sent to the new version
}

// Phase is the state of a rollout.
type Phase string

// The phases. Complete and Reverted are final.
const (
	Active   Phase = "active"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// Status is the decision in force. It is what the object's status holds. The zero Status is that of an order
// that hasn't been seen before.
type Status struct {
	To    string
	Phase Phase
	// Share is the share of requests that hosts send to the new version, 0 to 1.
	Share  float64
	Reason string
	// Elapsed is the time since the order at the last Advance. The next lease holder counts on from it.
	Elapsed time.Duration
	// Memory is what later decisions are based on. The object should hold it as well: a lease holder that
	// finds none judges only the answers that it hears of from then on.
	Memory Memory
}

// SameDecision reports whether hosts would act the same on both, so that a write can wait.
func (s Status) SameDecision(t Status) bool {
	return s.To == t.To && s.Phase == t.Phase && s.Share == t.Share
}

// Memory is the part of a Status that concerns only the lease holder. Its size is bounded by the routes.
type Memory struct {
	// Step is the index of the share in the plan, and Since is the elapsed time at which it was reached.
	Step  int
	Since time.Duration
	// Reached is the highest step so far. Lower ones need no hold any more.
	Reached int
	// Seen is the evidence up to which answers have been judged, at SeenAt.
	Seen   Evidence
	SeenAt time.Duration
	// Requests and Exposed are those of the Evidence, without decreases when counts are lost.
	Requests, Exposed int
	// Failures are those of the new version.
	Failures int
	// Rate and ShortRate are the rates of requests per second of the last 8 s and of the last 2 s, about.
	Rate, ShortRate float64
	// Interrupted is true if the version had no usable targets for a while.
	Interrupted bool
	// LoweredAt is when the share was last lowered because of the exposure bound.
	LoweredAt time.Duration
	// Routes holds what is known of the new version on each route, and All what is known of all routes together,
	// with times relative to the old version's on the same route.
	Routes map[string]Score
	All    Score
}

// Input is what a decision is based on.
type Input struct {
	Order    Order
	Elapsed  time.Duration // since the order
	Evidence Evidence
	// NewSlots and OldSlots are those of usable targets.
	NewSlots, OldSlots int
	OldRunning         int // requests that run on old targets, by all hosts
	Unheard            int // hosts whose counts are older than the holder may rely on
	// Lagging is the number of hosts whose latest counts were taken before they applied the status in
	// force. Such a host may still send requests to old targets.
	Lagging int
}

// Config configures a Roller. The zero Config stands for the defaults.
type Config struct {
	// CanaryShare and CanarySlack bound the requests that a bad version may receive by the deadline:
	// this share of all requests, and this number in addition.
	CanaryShare float64
	CanarySlack int
	// RollbackAfter bounds the time from the 50th bad answer to the last request that is sent to the version.
	RollbackAfter time.Duration
}

// Roller decides on rollouts. It has no state: all that it remembers is in the Status.
type Roller struct{ cfg Config }

// New returns a Roller.
func New(cfg Config) *Roller {
	if cfg == (Config{}) {
		cfg = Config{CanaryShare: 0.1, CanarySlack: 50, RollbackAfter: 5 * time.Second}
	}
	return &Roller{cfg: cfg}
}

// Advance returns the next status. It is to be called about four times a second, and with a zero Status if the
// object has none, or one of another version than the order's.
func (r *Roller) Advance(in Input, now Status) Status {
	if now.To != in.Order.To || now.Phase == "" {
		now = Status{To: in.Order.To, Phase: Active, Reason: "started"}
	}
	if now.Phase != Active {
		return now
	}
	now.Elapsed = max(now.Elapsed, in.Elapsed)
	in.Elapsed = now.Elapsed
	now.Memory = r.observe(in, now.Memory)
	if fault := now.Memory.fault(); fault != "" {
		return now.reverted(fault)
	}
	return r.schedule(in, now)
}

func (s Status) reverted(reason string) Status {
	s.Phase, s.Share, s.Reason = Reverted, 0, reason
	return s
}
