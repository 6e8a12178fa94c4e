package planner

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
)

// EngineSettings are an engine's settings with the defaults of the load tool.
type EngineSettings struct{ engine.Settings }

// SetDefaults replaces s by a warm engine that prefills 24,000 tokens a second.
func (s *EngineSettings) SetDefaults() {
	s.Settings = engine.DefaultSettings()
	s.RunningLimit, s.QueueLimit = 16, 64
	s.PrefillTokensPerSecond, s.DecodeTokensPerSecond, s.BatchSlowdown = 24_000, 40, 0.02
	s.CacheBlocks, s.BlockBytes = 96, 4<<20
	s.WarmTime = server.Duration{Duration: time.Second}
	s.WarmRequests, s.StartsWarm = 4, true
	s.LoadLag = server.Duration{Duration: 100 * time.Millisecond}
	s.EventLag = server.Duration{Duration: 200 * time.Millisecond}
}

// PlainSettings are a plain service's settings with the defaults of the load tool.
type PlainSettings struct{ responder.Settings }

// SetDefaults replaces s by a warm plain service that takes 10 ms for a request.
func (s *PlainSettings) SetDefaults() {
	s.Settings = responder.DefaultSettings()
	s.ServiceTime = server.Duration{Duration: 10 * time.Millisecond}
	s.WarmTime = server.Duration{Duration: time.Second}
	s.WarmRequests, s.StartsWarm = 4, true
}

// StoreSettings are a store host's settings with the defaults of the load tool.
type StoreSettings struct{ storer.Settings }

// SetDefaults replaces s by a store whose link transfers 100 blocks a second.
func (s *StoreSettings) SetDefaults() {
	s.Settings = storer.DefaultSettings()
	s.BlockBytes, s.LinkBytesPerSecond = 4<<20, 400<<20
	s.MemoryBytes, s.DiskBytes = 2<<30, 16<<30
}
