package planner

import (
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultDataCentreOut and FaultDataCentreIn take a data centre out of service and back,
	// as operators do.
	FaultDataCentreOut FaultKind = "data-centre-out"
	FaultDataCentreIn  FaultKind = "data-centre-in"
	// FaultTargetCold restarts a target, which leaves it cold.
	FaultTargetCold FaultKind = "target-cold"
	// FaultDataCentreCold restarts all targets of a data centre.
	FaultDataCentreCold FaultKind = "data-centre-cold"
	FaultTargetFreeze   FaultKind = "target-freeze"
	FaultTargetThaw     FaultKind = "target-thaw"
	FaultStoreKill      FaultKind = "store-kill"
	FaultStoreFull      FaultKind = "store-full"
	FaultStoreRevive    FaultKind = "store-revive"
	// FaultLinkFactor multiplies the rate of a store's link by Factor.
	FaultLinkFactor   FaultKind = "link-factor"
	FaultPlatformDown FaultKind = "platform-down"
	// FaultPlatformSlow delays each call to the platform by Delay.
	FaultPlatformSlow FaultKind = "platform-slow"
	FaultPlatformUp   FaultKind = "platform-up"
	FaultDaemonKill   FaultKind = "daemon-kill"
	// FaultDaemonStop shuts a daemon down gracefully.
	FaultDaemonStop  FaultKind = "daemon-stop"
	FaultDaemonStart FaultKind = "daemon-start"
	// FaultPartition separates DataCentre from the others, and from the platform
	// if Platform is set; FaultHeal ends all partitions.
	FaultPartition FaultKind = "partition"
	FaultHeal      FaultKind = "heal"
	// FaultSilentConnections stops the traffic on all open connections of the daemons
	// without closing them.
	FaultSilentConnections FaultKind = "silent-connections"
)

// FaultKinds lists the kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultDataCentreOut, FaultDataCentreIn, FaultTargetCold, FaultDataCentreCold, FaultTargetFreeze, FaultTargetThaw,
		FaultStoreKill, FaultStoreFull, FaultStoreRevive, FaultLinkFactor, FaultPlatformDown, FaultPlatformSlow,
		FaultPlatformUp, FaultDaemonKill, FaultDaemonStop, FaultDaemonStart, FaultPartition, FaultHeal, FaultSilentConnections,
	}
}

// Fault is one event of a scenario's timeline.
type Fault struct {
	// At is the time since the start of the measured period.
	At   specifier.Duration `json:"at"`
	Kind FaultKind          `json:"kind"`
	// DataCentre, Target, Store and Host name what the fault affects, as the kind
	// requires. Targets are named engine-01, engine-02, ... and plain-01, ..., stores
	// store-01, ..., and hosts entry-01, ...
	DataCentre identifier.DataCentre `json:"data-centre"`
	Target     identifier.Target     `json:"target"`
	Store      identifier.Store      `json:"store"`
	Host       identifier.Host       `json:"host"`
	Factor     float64               `json:"factor"`
	Delay      specifier.Duration    `json:"delay"`
	Platform   bool                  `json:"platform"`
}
