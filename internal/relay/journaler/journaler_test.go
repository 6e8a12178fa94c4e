package journaler

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blocked is a pipe that nobody reads until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// TestFullPipeNeverBlocks logs far more than a reader takes: the lines beyond the
// queue are dropped, counted and told.
func TestFullPipeNeverBlocks(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	j := New(out)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- j.Run(stop) }()
	logger := j.Logger("test")
	for n := range 3 * queueLines {
		logger.Info("line", "number", n)
	}
	dropped := j.Dropped()
	assert.Assert(t, dropped >= 2*queueLines-1, "%d dropped", dropped)
	close(out.open)
	for len(j.lines) > 0 {
		logger.Info("a line after the block") // Keeps the writer going until it told.
	}
	close(stop)
	assert.NilError(t, <-done)
	assert.Assert(t, strings.Contains(out.String(), `"log lines dropped"`))
}
