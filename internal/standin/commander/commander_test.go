package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func runFile(ctx context.Context, t *testing.T, out io.Writer, file string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stand-ins.json")
	assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
	root, err := New(Config{Clock: clockwork.NewRealClock(), Out: out})
	assert.NilError(t, err)
	root.SetArgs([]string{"run", "--file", path})
	return root.ExecuteContext(ctx)
}

func TestRunServesAllStandInsAndStopsTogether(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- runFile(ctx, t, w, `{"stand-ins": [
			{"kind": "engine", "name": "e", "address": "127.0.0.1:0", "seed": 3, "settings": {"cold-limit": 4, "warm-time": "10ms"}},
			{"kind": "plain", "name": "p", "address": "127.0.0.1:0"},
			{"kind": "store", "name": "s", "address": "127.0.0.1:0"},
			{"kind": "weights", "name": "w", "address": "127.0.0.1:0"},
			{"kind": "proxy", "name": "x", "address": "127.0.0.1:0", "control": "127.0.0.1:0", "target": "127.0.0.1:9"}
		]}`)
		w.Close()
	}()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	lines := bufio.NewScanner(r)
	var endpoints [6]Endpoint
	for n := range endpoints {
		assert.Assert(t, lines.Scan(), "line %d is missing", n)
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &endpoints[n]))
	}
	for _, endpoint := range endpoints {
		if endpoint.Kind == StandInProxy && !endpoint.Control {
			continue
		}
		resp, err := client.Get("http://" + endpoint.Address.String() + "/stats")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	cancel()
	assert.NilError(t, <-done)
}

func TestRunRejectsInvalidFiles(t *testing.T) {
	tests := map[string]struct{ file, want string }{
		"unknown kind":    {`{"stand-ins": [{"kind": "tent", "name": "a", "address": "127.0.0.1:0"}]}`, `kind "tent" of stand-in "a" is unknown`},
		"unknown setting": {`{"stand-ins": [{"kind": "engine", "name": "a", "address": "127.0.0.1:0", "settings": {"x": 1}}]}`, `unknown field "x"`},
		"bad setting":     {`{"stand-ins": [{"kind": "engine", "name": "a", "address": "127.0.0.1:0", "settings": {"cold-limit": 0}}]}`, "cold-limit is 0"},
		"no address":      {`{"stand-ins": [{"kind": "plain", "name": "a"}]}`, `address of stand-in "a" is missing`},
		"unknown field":   {`{"standins": []}`, `unknown field "standins"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, runFile(t.Context(), t, io.Discard, test.file), test.want)
		})
	}
}
