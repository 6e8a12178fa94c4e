package daemon_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// TestHostOutOfServiceIsNotReady takes a host out of service and back. Only its
// readiness changes: requests that still arrive are served.
func TestHostOutOfServiceIsNotReady(t *testing.T) {
	f := newFixture(t, assembler.Config{})
	steps := []struct {
		state specifier.State
		want  int
	}{
		{specifier.StateOut, http.StatusServiceUnavailable},
		{specifier.StateIn, http.StatusOK},
	}
	for _, step := range steps {
		fleet := f.Fleet.Clone()
		host := fleet.Hosts["entry-01"]
		host.State = step.state
		fleet.Hosts["entry-01"] = host
		assert.NilError(t, f.Apply(t.Context(), fleet))
		f.eventually("readiness", func() bool {
			return f.mustDo(http.MethodGet, f.host(0).CallerAddress, "/readyz", "", nil).status == step.want
		})
		answer := f.complete(0, "how do I dry cardamom", false, callerHeader())
		assert.Equal(t, answer.status, http.StatusOK, answer.body)
	}
}
