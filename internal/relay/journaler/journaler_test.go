package journaler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// blockedWriter is a pipe that nobody reads until it is opened.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// TestBlockedWriterDoesNotBlockLogging logs far more than a reader takes: the lines beyond the
// queue are dropped, counted and told.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	j := New(out)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- j.Run(stop) }()
	logger := j.Logger("test")
	for n := range 3 * queueSize {
		logger.Info("line", "number", n)
	}
	dropped := j.Dropped()
	assert.Assert(t, dropped >= 2*queueSize-1, "%d dropped", dropped)
	close(out.open)
	j.limit.SetLimit(rate.Inf)
	for len(j.lines) > 0 {
		logger.Info("a line after the block") // Keeps the writer going until it told.
	}
	close(stop)
	assert.NilError(t, <-done)
	assert.Assert(t, strings.Contains(out.String(), `"log lines dropped"`))
}

// TestLogRateIsLimited logs without a pause to a reader that takes all: no more lines
// are written than the bound allows, and the rest is counted.
func TestLogRateIsLimited(t *testing.T) {
	var out bytes.Buffer
	j := New(&out)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- j.Run(stop) }()
	logger := j.Logger("test")
	const flood = 50 * queueSize
	began := time.Now()
	for n := range flood {
		logger.Info("line", "number", n)
	}
	most := queueSize + int(linesPerSecond*time.Since(began).Seconds()) + 1
	close(stop)
	assert.NilError(t, <-done)
	written := strings.Count(out.String(), `"line"`)
	assert.Assert(t, written <= most, "%d lines written, %d allowed", written, most)
	assert.Equal(t, int64(written)+j.Dropped(), int64(flood))
}
