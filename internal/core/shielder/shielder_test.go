package shielder

import (
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSIGHUPIgnoredAtStartup checks that importing the package is enough to ignore
// SIGHUP, which would otherwise end a process that is still starting.
func TestSIGHUPIgnoredAtStartup(t *testing.T) {
	assert.Assert(t, signal.Ignored(syscall.SIGHUP))
}
