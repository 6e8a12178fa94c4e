package specifier

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
)

// Policy is the name of a target selection policy.
type Policy string

// The target selection policies.
const (
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyAffinity    Policy = "affinity"
	PolicyFull        Policy = "full"
)

// Allowed returns all policies.
func (Policy) Allowed() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeastLoaded, PolicyAffinity, PolicyFull}
}

// Objective is the measure that a profile optimises for.
type Objective string

// The measures that a profile can optimise for.
const (
	ObjectiveFirstToken Objective = "first-token"
	ObjectiveService    Objective = "service"
)

// Allowed returns all measures.
func (Objective) Allowed() []Objective { return []Objective{ObjectiveFirstToken, ObjectiveService} }

// Profile is a set of policy settings that services refer to by name.
type Profile struct {
	// Policy is the target selection policy.
	Policy Policy `json:"policy"`
	// Objective is the measure that target selection optimises for.
	Objective Objective `json:"weighs"`
	// DefaultDeadline is the time limit of a request that sets none; 1ms to max-deadline.
	DefaultDeadline Duration `json:"default-deadline"`
	// MaxDeadline is the maximum time limit of a request, to which a longer one is reduced; 1ms to 1h.
	MaxDeadline Duration `json:"max-deadline"`
	// RetryBudget is the share of requests that may be retried, from 0 to 1.
	RetryBudget float64 `json:"retry-budget"`
	// MaxAttempts is the maximum number of attempts for one repeatable request, from 1 to 10.
	MaxAttempts int `json:"max-attempts"`
	// QueueLimit is the maximum number of requests that a daemon queues for the service, from 0 to 100000; 0 means no limit.
	QueueLimit int `json:"queue-limit"`
	// StallTimeout is how long a response may make no progress before its attempt fails; 1ms to max-deadline.
	StallTimeout Duration `json:"stall-timeout"`
	// SpillOver allows requests to be sent to other data centres of the region.
	SpillOver bool `json:"spill-over"`
	// SpillOverPenalty is added to the expected time to first token of targets in other data centres; 0s to max-deadline.
	SpillOverPenalty Duration `json:"spill-over-penalty"`
	// LinkShare is the share of a store's link bandwidth that imports and exports may use, from 0 to 1.
	LinkShare float64 `json:"link-share"`
	// ExportBlocks enables the export of cache blocks to stores after a run.
	ExportBlocks bool `json:"keep"`
	// ExportMinBlocks is the minimum length of a prefix that is looked up in stores and exported to them, in blocks, from 1 to 10000.
	ExportMinBlocks int `json:"keep-min-blocks"`
	// RampSteps is the number of steps in which the limit of a target that has become warm rises from cold-limit to warm-limit, from 1 to 100.
	RampSteps int `json:"ramp-steps"`
	// RampStepTime is the minimum duration of one of these steps; 1ms to 10m.
	RampStepTime Duration `json:"ramp-step-time"`
}

// Limits and defaults of a profile's values.
const (
	minDuration        = time.Millisecond
	maxDeadline        = time.Hour
	maxAttempts        = 10
	maxQueueLimit      = 100_000
	maxExportMinBlocks = 10_000
	maxRampSteps       = 100
	maxRampStepTime    = 10 * time.Minute
	defaultRetryBudget = 0.1
)

// DefaultProfile returns the defaults for a profile.
func DefaultProfile() Profile {
	return Profile{
		Policy:           PolicyFull,
		Objective:        ObjectiveFirstToken,
		DefaultDeadline:  Duration{30 * time.Second},
		MaxDeadline:      Duration{2 * time.Minute},
		RetryBudget:      defaultRetryBudget,
		MaxAttempts:      3,
		QueueLimit:       512,
		StallTimeout:     Duration{5 * time.Second},
		SpillOver:        true,
		SpillOverPenalty: Duration{20 * time.Millisecond},
		LinkShare:        0.7,
		ExportBlocks:     true,
		ExportMinBlocks:  2,
		RampSteps:        6,
		RampStepTime:     Duration{500 * time.Millisecond},
	}
}

// SetDefaults sets p to DefaultProfile.
func (p *Profile) SetDefaults() { *p = DefaultProfile() }

func (v *validator) checkProfile(key string, p Profile) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	decoder.CheckOneOf(&v.Reporter, at("policy"), p.Policy, p.Policy.Allowed())
	decoder.CheckOneOf(&v.Reporter, at("weighs"), p.Objective, p.Objective.Allowed())
	v.checkDuration(at("max-deadline"), p.MaxDeadline, Duration{minDuration}, Duration{maxDeadline})
	v.checkDuration(at("default-deadline"), p.DefaultDeadline, Duration{minDuration}, p.MaxDeadline)
	v.checkDuration(at("stall-timeout"), p.StallTimeout, Duration{minDuration}, p.MaxDeadline)
	v.checkDuration(at("spill-over-penalty"), p.SpillOverPenalty, Duration{}, p.MaxDeadline)
	v.checkDuration(at("ramp-step-time"), p.RampStepTime, Duration{minDuration}, Duration{maxRampStepTime})
	decoder.CheckRange(&v.Reporter, at("retry-budget"), p.RetryBudget, 0, 1)
	decoder.CheckRange(&v.Reporter, at("max-attempts"), p.MaxAttempts, 1, maxAttempts)
	decoder.CheckRange(&v.Reporter, at("queue-limit"), p.QueueLimit, 0, maxQueueLimit)
	decoder.CheckRange(&v.Reporter, at("link-share"), p.LinkShare, 0, 1)
	decoder.CheckRange(&v.Reporter, at("keep-min-blocks"), p.ExportMinBlocks, 1, maxExportMinBlocks)
	decoder.CheckRange(&v.Reporter, at("ramp-steps"), p.RampSteps, 1, maxRampSteps)
}
