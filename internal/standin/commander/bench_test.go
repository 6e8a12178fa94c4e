package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/commander"
)

func TestBenchReportsInvalidInput(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.json")
	assert.NilError(t, os.WriteFile(good, []byte(`{"name": "n"}`), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"name": "n", "engine": {"cache": 1}}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"no scenario", nil, "scenario"},
		{"missing file", []string{"--scenario", bad + ".not"}, "no such file"},
		{"faulty file", []string{"--scenario", bad}, "engine.cache"},
		{"unknown policy", []string{"--scenario", good, "--policy", "full,magic"}, `"magic"`},
		{"unknown output", []string{"--scenario", good, "--output", "xml"}, `"xml"`},
		{"load factor of 0", []string{"--scenario", good, "--load-factor", "0"}, "load-factor"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			root, err := commander.New(commander.Config{Clock: clockwork.NewRealClock(), Out: &bytes.Buffer{}})
			assert.NilError(t, err)
			root.SetArgs(append([]string{"bench"}, tc.args...))
			assert.ErrorContains(t, root.ExecuteContext(t.Context()), tc.want)
		})
	}
}
