package commander

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// runReplay runs the replay command and returns its output.
func runReplay(t *testing.T, args ...string) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	root, err := New(Config{Clock: clockwork.NewFakeClock(), Out: &out})
	assert.NilError(t, err)
	root.SetArgs(append([]string{"replay", "--length", "2s"}, args...))
	err = root.Execute()
	return out.Bytes(), err
}

// TestReplaySameSeedSameResult guards against replays that aren't reproducible: it
// runs the command twice with the same seeds and a fault.
func TestReplaySameSeedSameResult(t *testing.T) {
	file := filepath.Join(t.TempDir(), "troubles.json")
	assert.NilError(t, os.WriteFile(file, []byte(`[{"kind":"dark","at":500000000,"for":1000000000,"count":2}]`), 0o600))
	run := func() []seedResult {
		out, err := runReplay(t, "--output", "json", "--seed", "1,2", "--troubles", file)
		assert.NilError(t, err)
		var results []seedResult
		assert.NilError(t, json.Unmarshal(out, &results))
		return results
	}
	first := run()
	assert.Equal(t, len(first), 2)
	assert.Assert(t, first[0].Requests > 100 && first[0].InTime > 50)
	assert.DeepEqual(t, first, run())
}

func TestReplayRejectsInvalidFlags(t *testing.T) {
	for _, args := range [][]string{{"--output", "xml"}, {"--hosts", "0"}, {"--troubles", "missing.json"}} {
		_, err := runReplay(t, args...)
		assert.Assert(t, err != nil, "%v", args)
	}
}
