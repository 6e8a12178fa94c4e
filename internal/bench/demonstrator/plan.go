package demonstrator

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// The names in the demo's configuration.
const (
	model        identifier.Model         = "shop-assistant"
	version      identifier.WeightVersion = "2026-11"
	modelService identifier.Service       = "assistant"
	plainService identifier.Service       = "orders"
	teamCount                             = 10
)

// Sizes of the demo. Times are shorter than in production, so that the demo ends within
// a minute; their proportions are those of a farm shop's deployment.
const (
	daemonCount       = 6
	engineCount       = 12
	plainCount        = 3
	storeCount        = 3
	engineCacheBlocks = 96
	prefillRate       = 40_000 // tokens per second
	decodeRate        = 200    // tokens per second
	linkBytesPerSec   = 400 << 20
	blockBytes        = 4 << 20
	warmTime          = 600 * time.Millisecond
	heartbeat         = 200 * time.Millisecond
	loadInterval      = 100 * time.Millisecond
	sessionTerm       = 6 * time.Second
	plainServiceTime  = 10 * time.Millisecond
)

// teamKey returns the bearer key of team i, from 0.
func teamKey(i int) string { return fmt.Sprintf("demo-key-%02d", i+1) }

// fleet returns the demo's profiles, services, teams and models.
func fleet() specifier.Fleet {
	shop := specifier.DefaultProfile()
	shop.DefaultDeadline = specifier.Duration{Duration: 10 * time.Second}
	shop.RampStepTime = specifier.Duration{Duration: 100 * time.Millisecond}
	shop.SpillOverPenalty = specifier.Duration{Duration: 2 * time.Millisecond}
	orders := shop
	orders.Policy = specifier.PolicyLeastLoaded
	orders.Objective = specifier.ObjectiveService
	f := specifier.Fleet{
		Profiles: map[identifier.Profile]specifier.Profile{"shop": shop, "orders": orders},
		Services: map[identifier.Service]specifier.Service{
			modelService: {Kind: specifier.ServiceModel, Profile: "shop", Models: []identifier.Model{model}, Class: identifier.ClassInteractive},
			plainService: {Kind: specifier.ServicePlain, Profile: "orders", NonRepeatable: []string{"/payments"}, Class: identifier.ClassInteractive},
		},
		Teams: map[identifier.Team]specifier.Team{},
		Models: map[identifier.Model]specifier.Model{
			model: {Version: version, MaxPromptTokens: 32768, MaxOutputTokens: 2048, BlockBytes: blockBytes},
		},
	}
	for i := range teamCount {
		name := identifier.Team(fmt.Sprintf("team-%02d", i+1))
		f.Teams[name] = specifier.Team{KeyHashes: []string{hasher.HashKey(teamKey(i))}, Weight: 1}
	}
	return f
}

// plan returns the demo's stand-ins and daemons.
func plan() assembler.Plan {
	e := engine.DefaultSettings()
	e.PrefillTokensPerSecond, e.DecodeTokensPerSecond = prefillRate, decodeRate
	e.CacheBlocks, e.BlockBytes = engineCacheBlocks, blockBytes
	e.WarmTime, e.WarmRequests = server.Duration{Duration: warmTime}, 2
	e.LoadLag = server.Duration{Duration: 50 * time.Millisecond}
	e.Weights = []messenger.LoadedWeights{{Model: model, Version: version}}
	p := responder.DefaultSettings()
	p.ServiceTime = server.Duration{Duration: plainServiceTime}
	p.WarmTime, p.WarmRequests = server.Duration{Duration: warmTime}, 2
	s := storer.DefaultSettings()
	s.BlockBytes, s.LinkBytesPerSecond = blockBytes, linkBytesPerSec
	return assembler.Plan{
		Region:      "gt-central",
		DataCentres: []identifier.DataCentre{"antigua", "coban", "xela"},
		Daemons:     daemonCount, Engines: engineCount, Responders: plainCount, Stores: storeCount,
		Engine: e, Responder: p, Store: s,
		Fleet: fleet(), ModelService: modelService, PlainService: plainService,
		WarmLimit: e.RunningLimit, PlainLimit: p.RunningLimit,
		Heartbeat: heartbeat, LoadInterval: loadInterval, SessionTerm: sessionTerm,
	}
}
