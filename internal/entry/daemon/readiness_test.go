package daemon_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// TestHostThatIsOutIsNotReady takes a host out and in. Callers who still reach
// it are served.
func TestHostThatIsOutIsNotReady(t *testing.T) {
	b := newBench(t, assembler.Config{})
	steps := []struct {
		state specifier.State
		want  int
	}{
		{specifier.StateOut, http.StatusServiceUnavailable},
		{specifier.StateIn, http.StatusOK},
	}
	for _, step := range steps {
		fleet := b.Fleet.Clone()
		host := fleet.Hosts["entry-01"]
		host.State = step.state
		fleet.Hosts["entry-01"] = host
		assert.NilError(t, b.Apply(t.Context(), fleet))
		b.eventually("readiness", func() bool {
			return b.must(http.MethodGet, b.host(0).Callers, "/readyz", "", nil).status == step.want
		})
		answer := b.complete(0, "how do I dry cardamom", false, caller())
		assert.Equal(t, answer.status, http.StatusOK, answer.body)
	}
}
