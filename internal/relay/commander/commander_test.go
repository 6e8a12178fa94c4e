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
	c := New(Config{Out: &out})
	c.SetArgs([]string{"--settings", path, "--check"})
	c.SilenceUsage, c.SilenceErrors = true, true
	err := c.Execute()
	return out.String(), err
}

func TestCheckFlag(t *testing.T) {
	out, err := runCheck(t, validSettings)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "valid"))
	_, err = runCheck(t, strings.Replace(validSettings, "platform.addr=10.200.1.7:8744", "platform.addr=store", 1))
	assert.ErrorContains(t, err, "platform.addr")
}
