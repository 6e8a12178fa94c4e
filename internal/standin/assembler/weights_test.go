package assembler_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	oldVersion  identifier.WeightVersion = "2026-11"
	newVersion  identifier.WeightVersion = "2026-12"
	teamKey                              = "weights-key"
	swapTimeout                          = 20 * time.Second
)

func weightsPlan() assembler.Plan {
	e := engine.DefaultSettings()
	e.StartsWarm = true
	e.Weights = []messenger.LoadedWeights{{Model: "m", Version: oldVersion}}
	profile := specifier.DefaultProfile()
	return assembler.Plan{
		Region: "region", DataCentres: []identifier.DataCentre{"dc"}, Daemons: 2, Engines: 2, Stores: 1,
		Engine: e, Responder: responder.DefaultSettings(), Store: storer.DefaultSettings(),
		ModelService: "labels", PlainService: "orders", WarmLimit: 8, PlainLimit: 8,
		Heartbeat: 100 * time.Millisecond, LoadInterval: 50 * time.Millisecond, SessionTerm: 6 * time.Second,
		Fleet: specifier.Fleet{
			Profiles: map[identifier.Profile]specifier.Profile{"p": profile},
			Services: map[identifier.Service]specifier.Service{
				"labels": {Kind: specifier.ServiceModel, Profile: "p", Models: []identifier.Model{"m"}, Class: identifier.ClassInteractive},
			},
			Teams:  map[identifier.Team]specifier.Team{"t": {KeyHashes: []string{hasher.HashKey(teamKey)}, Weight: 1}},
			Models: map[identifier.Model]specifier.Model{"m": {Version: oldVersion, MaxPromptTokens: 32768, MaxOutputTokens: 2048, BlockBytes: 1 << 20}},
		},
	}
}

// TestGuaranteeWeightsAreSwapped changes the weight version under load. The
// owners must order the engines to load the new version, each answer must be
// complete and correct for one of the versions, and no cached block of the old
// version may be used for the new one.
func TestGuaranteeWeightsAreSwapped(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*swapTimeout)
	defer cancel()
	a, err := assembler.New(assembler.Config{Plan: weightsPlan(), Clock: clockwork.NewRealClock(), Seed: 1})
	assert.NilError(t, err)
	defer a.Close()
	assert.NilError(t, a.Apply(ctx, a.Fleet))
	assert.NilError(t, a.StartDaemons(ctx))
	l, err := loader.New(loader.Config{Clock: clockwork.NewRealClock(), Daemons: func() []netip.AddrPort { return a.ReadyAddresses() }})
	assert.NilError(t, err)
	defer l.Close()
	send := func(versions ...identifier.WeightVersion) loader.Outcome {
		return l.Complete(ctx, loader.Prompt{
			RequestOptions: loader.RequestOptions{Key: teamKey}, Model: "m", Stream: true, MaxTokens: 4,
			Text: fmt.Sprintf("%08192d", 7), Versions: versions,
		})
	}
	before := send(oldVersion)
	assert.Assert(t, before.Complete && !before.Wrong, "%+v", before)
	next := a.Fleet.Clone()
	model := next.Models["m"]
	model.Version = newVersion
	next.Models["m"] = model
	assert.NilError(t, a.Apply(ctx, next))
	for {
		o := send(oldVersion, newVersion)
		assert.Assert(t, o.Complete && !o.Wrong, "%+v", o)
		if o = send(newVersion); o.Complete && !o.Wrong {
			break
		}
		assert.NilError(t, ctx.Err())
	}
	for name, e := range a.Engines {
		assert.Equal(t, e.Stats().MixedBlocks, 0, "engine %s", name)
	}
}
