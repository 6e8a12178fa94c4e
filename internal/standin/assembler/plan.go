package assembler

import (
	"time"

	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
)

// Plan describes the components of an Assembly.
type Plan struct {
	Region      identifier.Region
	DataCentres []identifier.DataCentre
	// Daemons, Engines, Responders and Stores are the numbers of components, which
	// are distributed over the data centres round-robin.
	Daemons    int
	Engines    int
	Responders int
	Stores     int
	Engine     engine.Settings
	Responder  responder.Settings
	Store      storer.Settings
	// Fleet holds the profiles, services, teams and models. The services named
	// ModelService and PlainService get the engines and the plain targets.
	Fleet        specifier.Fleet
	ModelService identifier.Service
	PlainService identifier.Service
	// WarmLimit bounds the concurrent requests of an engine, and PlainLimit those of
	// a plain target.
	WarmLimit  int
	PlainLimit int
	// Heartbeat, LoadInterval and SessionTerm are settings of the daemons; 0 leaves
	// their defaults.
	Heartbeat    time.Duration
	LoadInterval time.Duration
	SessionTerm  time.Duration
	// WritesPerSecond and ReadsPerSecond limit the object API; 0 means a default.
	WritesPerSecond rate.Limit
	ReadsPerSecond  rate.Limit
}
