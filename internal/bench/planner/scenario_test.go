package planner_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/planner"
)

// minimalScenario has only the required keys.
const minimalScenario = `{"name": "n"}`

func TestDecodeErrorNamesInvalidKey(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown key", `{"name": "n", "engine": {"cache": 3}}`, "engine.cache"},
		{"wrong type", `{"name": "n", "daemons": "six"}`, "daemons"},
		{"no name", `{}`, "name"},
		{"no engines", `{"name": "n", "engines": 0}`, "engines"},
		{"times out of order", `{"name": "n", "load": {"arrivals": [{"at": "5s"}, {"at": "1s"}]}}`, "load.arrivals[1].at"},
		{"shares that don't add up to 1", `{"name": "n", "load": {"classes": {"batch": 0.5}}}`, "load.classes"},
		{"unknown class", `{"name": "n", "load": {"classes": {"urgent": 1}}}`, "load.classes"},
		{"surge of an unknown team", `{"name": "n", "load": {"surges": [{"team": 11}]}}`, "load.surges[0].team"},
		{"unknown fault", `{"name": "n", "faults": [{"at": "1s", "kind": "flood"}]}`, "faults[0].kind"},
		{"fault of an unknown target", `{"name": "n", "faults": [{"at": "1s", "kind": "target-cold", "target": "engine-13"}]}`, "faults[0].target"},
		{"fault after the end", `{"name": "n", "faults": [{"at": "1h", "kind": "heal"}]}`, "faults[0].at"},
		{"link factor of 0", `{"name": "n", "faults": [{"at": "1s", "kind": "link-factor", "store": "store-01"}]}`, "faults[0].factor"},
		{"profile out of range", `{"name": "n", "profile": {"policy": "magic"}}`, "profiles.model-profile.policy"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := planner.Decode("scenario.json", strings.NewReader(tc.text))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestDecodeFillsDefaults(t *testing.T) {
	s, err := planner.Decode("scenario.json", strings.NewReader(minimalScenario))
	assert.NilError(t, err)
	assert.Equal(t, s.Engines, 12)
	assert.Equal(t, s.Load.Families.SharedBlocks, 8)
	assert.Assert(t, s.Engine.StartsWarm)
}

func TestShippedScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/*/scenarios/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		_, err := planner.Read(path)
		assert.NilError(t, err, path)
	}
}
