package planner

import (
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// FaultKind says what happens.
type FaultKind string

// The kinds of fault.
const (
	// FaultDataCentreOut and FaultDataCentreIn are the operators' orders.
	FaultDataCentreOut FaultKind = "data-centre-out"
	FaultDataCentreIn  FaultKind = "data-centre-in"
	// FaultTargetCold restarts a target, which is cold then.
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
	// FaultPlatformSlow delays each call of the platform by Delay.
	FaultPlatformSlow FaultKind = "platform-slow"
	FaultPlatformUp   FaultKind = "platform-up"
	FaultDaemonKill   FaultKind = "daemon-kill"
	// FaultDaemonStop shuts a daemon down gracefully.
	FaultDaemonStop  FaultKind = "daemon-stop"
	FaultDaemonStart FaultKind = "daemon-start"
	// FaultPartition separates DataCentre from the others, and from the platform
	// when Platform is set; FaultHeal joins all again.
	FaultPartition FaultKind = "partition"
	FaultHeal      FaultKind = "heal"
	// FaultSilentConnections silences all connections of the daemons that are open now.
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
	// At is the time since the beginning of the measured time.
	At   specifier.Duration `json:"at"`
	Kind FaultKind          `json:"kind"`
	// DataCentre, Target, Store and Host name what the kind is about. Targets
	// are engine-01 and on and plain-01 and on, stores store-01 and on, hosts entry-01 and on.
	DataCentre identifier.DataCentre `json:"data-centre"`
	Target     identifier.Target     `json:"target"`
	Store      identifier.Store      `json:"store"`
	Host       identifier.Host       `json:"host"`
	Factor     float64               `json:"factor"`
	Delay      specifier.Duration    `json:"delay"`
	Platform   bool                  `json:"platform"`
}
