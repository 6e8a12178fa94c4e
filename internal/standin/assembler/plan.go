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

// Plan says what an Assembly consists of. Each data centre has the same parts.
type Plan struct {
	Region      identifier.Region
	DataCentres []identifier.DataCentre
	// Daemons, Engines, Responders and Stores count the parts over all data
	// centres; they are dealt out in turn.
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
	// WarmLimit bounds the requests on one engine, PlainLimit on one plain target.
	WarmLimit  int
	PlainLimit int
	// Heartbeat, LoadInterval and SessionTerm set up the daemons.
	Heartbeat    time.Duration
	LoadInterval time.Duration
	SessionTerm  time.Duration
	// WritesPerSecond and ReadsPerSecond bound the object API; 0 takes a default.
	WritesPerSecond rate.Limit
	ReadsPerSecond  rate.Limit
}
