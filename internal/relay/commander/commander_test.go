package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `node=host-1
ip=10.1.0.19
zone=a
listen.front=10.1.0.19:8749
listen.ready=10.1.0.19:8741
portRange=7580,7595
platform.addr=10.200.1.7:8744
`

// runCheck runs the command with --check on a settings file.
func runCheck(t *testing.T, content string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.conf")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	var out bytes.Buffer
	cmd := New(Config{Out: &out})
	cmd.SetArgs([]string{"--settings", path, "--check"})
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	err := cmd.Execute()
	return out.String(), err
}

// TestCheckFlag checks that --check accepts valid settings, and that the error for
// invalid ones names the faulty key.
func TestCheckFlag(t *testing.T) {
	out, err := runCheck(t, validSettings)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "valid"))
	_, err = runCheck(t, strings.Replace(validSettings, "platform.addr=10.200.1.7:8744", "platform.addr=store", 1))
	assert.ErrorContains(t, err, "platform.addr")
}
