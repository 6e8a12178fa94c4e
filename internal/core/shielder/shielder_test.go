package shielder

import (
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangUpIsIgnoredFromTheStart: nothing but the import is needed.
func TestHangUpIsIgnoredFromTheStart(t *testing.T) {
	assert.Assert(t, signal.Ignored(syscall.SIGHUP))
}
