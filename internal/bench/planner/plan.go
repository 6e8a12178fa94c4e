package planner

import (
	"fmt"

	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// The names in the configuration of a scenario.
const (
	Model        identifier.Model         = "bench-model"
	Version      identifier.WeightVersion = "v1"
	ModelService identifier.Service       = "model-service"
	PlainService identifier.Service       = "plain-service"
	// NonRepeatablePath is the prefix of calls that run at most once.
	NonRepeatablePath = "/payments"

	modelProfile identifier.Profile = "model-profile"
	plainProfile identifier.Profile = "plain-profile"
)

// TeamName returns the name of team i, from 0.
func TeamName(i int) identifier.Team { return identifier.Team(fmt.Sprintf("team-%02d", i+1)) }

// TeamKey returns the bearer key of team i, from 0.
func TeamKey(i int) string { return fmt.Sprintf("bench-key-%02d", i+1) }

// Fleet returns the profiles, services, teams and models of s. An empty policy
// means the one of the scenario's profile.
func (s Scenario) Fleet(policy specifier.Policy) specifier.Fleet {
	f := specifier.DefaultFleet()
	profile := s.Profile
	if policy != "" {
		profile.Policy = policy
	}
	f.Profiles[modelProfile], f.Profiles[plainProfile] = profile, s.PlainProfile
	f.Services[ModelService] = specifier.Service{
		Kind: specifier.ServiceModel, Profile: modelProfile,
		Models: []identifier.Model{Model}, Class: identifier.ClassStandard,
	}
	f.Services[PlainService] = specifier.Service{
		Kind: specifier.ServicePlain, Profile: plainProfile,
		NonRepeatable: []string{NonRepeatablePath}, Class: identifier.ClassStandard,
	}
	f.Models[Model] = specifier.Model{
		Version: Version, MaxPromptTokens: maxPromptTokens, MaxOutputTokens: maxTokens,
		BlockBytes: s.Engine.BlockBytes,
	}
	for i := range s.Load.Teams.Count {
		f.Teams[TeamName(i)] = s.Load.Teams.teamConfig(i)
	}
	return f
}

// maxPromptTokens bounds a prompt: the shared prefix and the question.
const maxPromptTokens = (maxBlocks + 32) * 1024

// teamConfig returns the configuration of team i, from 0.
func (t Teams) teamConfig(i int) specifier.Team {
	team := specifier.DefaultTeam()
	team.KeyHashes = []string{hasher.HashKey(TeamKey(i))}
	team.RequestsPerSecond, team.TokensPerSecond = t.RequestsPerSecond, t.TokensPerSecond
	if i < len(t.Weights) {
		team.Weight = t.Weights[i]
	}
	return team
}

// Plan returns the stand-ins and daemons of s under a policy.
func (s Scenario) Plan(policy specifier.Policy) assembler.Plan {
	e := s.Engine.Settings
	e.Weights = []messenger.LoadedWeights{{Model: Model, Version: Version}}
	return assembler.Plan{
		Region: s.Region, DataCentres: s.DataCentres,
		Daemons: s.Daemons, Engines: s.Engines, Responders: s.PlainTargets, Stores: s.Stores,
		Engine: e, Responder: s.PlainTarget.Settings, Store: s.Store.Settings,
		Fleet: s.Fleet(policy), ModelService: ModelService, PlainService: PlainService,
		WarmLimit: s.WarmLimit, PlainLimit: s.PlainLimit,
		Heartbeat: s.Heartbeat.Duration, LoadInterval: s.LoadInterval.Duration, SessionTerm: s.SessionTerm.Duration,
		WritesPerSecond: rate.Limit(s.Platform.WritesPerSecond), ReadsPerSecond: rate.Limit(s.Platform.ReadsPerSecond),
	}
}
