// Package specifier defines the fleet's configuration: the typed settings that
// operators edit, their defaults and their validation as a whole.
package specifier

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Fleet is the whole configuration that all daemons share.
type Fleet struct {
	Profiles    map[identifier.Profile]Profile       `json:"profiles"`
	Services    map[identifier.Service]Service       `json:"services"`
	Teams       map[identifier.Team]Team             `json:"teams"`
	Models      map[identifier.Model]Model           `json:"models"`
	DataCentres map[identifier.DataCentre]DataCentre `json:"data-centres"`
	Hosts       map[identifier.Host]Host             `json:"hosts"`
	Targets     map[identifier.Target]Target         `json:"targets"`
	Stores      map[identifier.Store]Store           `json:"stores"`
}

// Duration is a time.Duration that JSON carries as text such as "150ms".
type Duration struct{ time.Duration }

// Policy names a way to choose targets.
type Policy string

// The policies.
const (
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyAffinity    Policy = "affinity"
	PolicyFull        Policy = "full"
)

// Weighs names the measure that a profile puts first.
type Weighs string

// The measures.
const (
	WeighsFirstToken Weighs = "first-token"
	WeighsService    Weighs = "service"
)

// Profile is a named set of policy settings that services pick.
type Profile struct {
	Policy Policy `json:"policy"`
	Weighs Weighs `json:"weighs"`
	// DefaultDeadline and MaxDeadline bound a request's whole time.
	DefaultDeadline Duration `json:"default-deadline"`
	MaxDeadline     Duration `json:"max-deadline"`
	// RetryBudget is the share of requests that may be retried, from 0 to 1.
	RetryBudget float64 `json:"retry-budget"`
	// MaxAttempts bounds the attempts of one repeatable request.
	MaxAttempts int `json:"max-attempts"`
	// QueueLimit bounds the requests that wait in one daemon.
	QueueLimit int `json:"queue-limit"`
	// StallTimeout is how long an answer may make no progress.
	StallTimeout Duration `json:"stall-timeout"`
	// SpillOver permits work in other data centres of the region.
	SpillOver bool `json:"spill-over"`
	// SpillOverPenalty is added to the expected first-token time elsewhere.
	SpillOverPenalty Duration `json:"spill-over-penalty"`
	// LinkShare is the share of a store's link that imports and exports may use, from 0 to 1.
	LinkShare float64 `json:"link-share"`
	// Keep says whether blocks are exported to stores after a run.
	Keep bool `json:"keep"`
	// KeepMinBlocks is the shortest prefix worth keeping, in blocks.
	KeepMinBlocks int `json:"keep-min-blocks"`
	// RampSteps is the number of steps from a target's cold limit to its warm limit.
	RampSteps int `json:"ramp-steps"`
	// RampStepTime is the shortest time of one step.
	RampStepTime Duration `json:"ramp-step-time"`
}

// ServiceKind says what kind of target serves a service.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is one routed service.
type Service struct {
	Kind    ServiceKind        `json:"kind"`
	Profile identifier.Profile `json:"profile"`
	// Models lists the models of a model service.
	Models []identifier.Model `json:"models,omitempty"`
	// NonRepeatable lists the path prefixes whose calls run at most once.
	NonRepeatable []string `json:"non-repeatable,omitempty"`
	// Class is the class of requests that name none.
	Class identifier.Class `json:"class"`
}

// Team is one customer organisation.
type Team struct {
	// KeyHashes are SHA-256 hashes of the team's bearer keys in hexadecimal digits.
	KeyHashes []string `json:"key-hashes"`
	// Weight is the team's share of contended capacity.
	Weight float64 `json:"weight"`
	// RequestsPerSecond and TokensPerSecond limit the team over the fleet; 0 means no limit.
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	// Services lists the services the team may use; empty means all.
	Services []identifier.Service `json:"services,omitempty"`
}

// Model is one model and the weight version in force.
type Model struct {
	Version         identifier.WeightVersion `json:"version"`
	Adapters        []identifier.Adapter     `json:"adapters,omitempty"`
	MaxPromptTokens int                      `json:"max-prompt-tokens"`
	MaxOutputTokens int                      `json:"max-output-tokens"`
	// BlockBytes is the size of one cache block on a link.
	BlockBytes int64 `json:"block-bytes"`
}

// State says whether something takes new work.
type State string

// The states.
const (
	StateIn  State = "in"
	StateOut State = "out"
)

// DataCentre is one data centre.
type DataCentre struct {
	Region identifier.Region `json:"region"`
	State  State             `json:"state"`
}

// Host is one entry host.
type Host struct {
	DataCentre identifier.DataCentre `json:"data-centre"`
	State      State                 `json:"state"`
	// Peer is where other daemons reach the host's daemon.
	Peer netip.AddrPort `json:"peer"`
}

// Target is one worker.
type Target struct {
	Service    identifier.Service    `json:"service"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	Address    netip.AddrPort        `json:"address"`
	State      State                 `json:"state"`
	// ColdLimit and WarmLimit bound the requests that run at once.
	ColdLimit int `json:"cold-limit"`
	WarmLimit int `json:"warm-limit"`
	// ChecksFence is true when the target refuses orders with an old fencing number.
	ChecksFence bool `json:"checks-fence"`
}

// Store is one store host.
type Store struct {
	DataCentre identifier.DataCentre `json:"data-centre"`
	Address    netip.AddrPort        `json:"address"`
	// LinkBytesPerSecond is the limit of the store's link.
	LinkBytesPerSecond int64 `json:"link-bytes-per-second"`
	State              State `json:"state"`
}
