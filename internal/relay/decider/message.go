package decider

import "time"

// Message is the state that a host announces to its peers.
type Message struct {
	Host string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	// Number is the sequence number among the messages of one process.
	Number uint64 `cbor:"3,keyasint"`
	// Loads is the load from the sender's requests by target. Messages between the regular ones
	// omit it and set LoadsUnchanged.
	Loads          map[string]targetLoad `cbor:"4,keyasint,omitempty"`
	LoadsUnchanged bool                  `cbor:"12,keyasint,omitempty"`
	// Down lists the targets that the sender considers down.
	Down []string `cbor:"5,keyasint,omitempty"`
	// Orders lists the targets whose weights the lease holder is updating.
	Orders []string `cbor:"6,keyasint,omitempty"`
	// Avoided lists the targets being updated to which the sender sends no more requests.
	Avoided []string `cbor:"13,keyasint,omitempty"`
	// Weights holds the model versions of targets that changed recently.
	Weights map[string]map[string]int `cbor:"7,keyasint,omitempty"`
	// Config is the configuration version in force at the sender, and ConfigAge the time since
	// the platform last confirmed it to the sender; both are 0 if it never did.
	Config    int64         `cbor:"8,keyasint,omitempty"`
	ConfigAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Lease is the newest revision of the lease known to the sender. Holder is true if the
	// sender holds it.
	Lease  int64 `cbor:"10,keyasint,omitempty"`
	Holder bool  `cbor:"11,keyasint,omitempty"`
	// LeaseEra is the era of Lease.
	LeaseEra int64 `cbor:"15,keyasint,omitempty"`
	// LeaseIdleFor is the IdleFor of that revision; 0 if unknown.
	LeaseIdleFor time.Duration `cbor:"16,keyasint,omitempty"`
	// Named lists the weight versions that were named recently.
	Named []NamedVersion `cbor:"14,keyasint,omitempty"`
	// DataCentres and Updating are what an aggregator of a large fleet passes on.
	DataCentres []DataCentreSummary `cbor:"18,keyasint,omitempty"`
	Updating    *Updating           `cbor:"19,keyasint,omitempty"`
	// Leaving maps the targets that recently said in an answer that they are leaving to the start
	// of their process, in Unix milliseconds.
	Leaving map[string]int64 `cbor:"17,keyasint,omitempty"`
	// Crashes lists recent crashes of targets, Answered the suspects that were answered although they were
	// at a crash, and Quarantined those that crash targets.
	Crashes     []CrashReport        `cbor:"20,keyasint,omitempty"`
	Answered    []AnsweredSuspect    `cbor:"21,keyasint,omitempty"`
	Quarantined []QuarantinedSuspect `cbor:"22,keyasint,omitempty"`
	// Limits lists limits that targets have named, PermitRequests and PermitAnswers concern the permits for
	// such targets.
	Limits         []AnnouncedLimit `cbor:"23,keyasint,omitempty"`
	PermitRequests []PermitRequest  `cbor:"24,keyasint,omitempty"`
	PermitAnswers  []PermitAnswer   `cbor:"25,keyasint,omitempty"`
	// Paces lists what targets have said about their machines since the last message to neighbours.
	Paces []AnnouncedPace `cbor:"28,keyasint,omitempty"`
	// RolloutCounts are for the lease holder, which answers with RolloutConfirmations.
	RolloutCounts        []RolloutCounts       `cbor:"26,keyasint,omitempty"`
	RolloutConfirmations []RolloutConfirmation `cbor:"27,keyasint,omitempty"`
}
