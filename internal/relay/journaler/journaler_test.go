package journaler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

// TestBlockedWriterDoesNotBlockLogging guards against logging that blocks the relay
// while nothing reads the log. Lines beyond the queue must be dropped, counted, and
// reported in the log.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	j := New(out)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- j.Run(stop) }()
	logger := j.Logger("test")
	for n := range 3 * queueSize {
		logger.Info("line", "number", n)
	}
	dropped := j.Dropped()
	assert.Assert(t, dropped >= 2*queueSize-1, "%d dropped", dropped)
	close(out.unblock)
	j.limit.SetLimit(rate.Inf)
	for len(j.lines) > 0 {
		logger.Info("a line after the block") // Makes Run write, and so report the dropped lines.
	}
	close(stop)
	assert.NilError(t, <-done)
	assert.Assert(t, strings.Contains(out.String(), `"log lines dropped"`))
}

// TestLogRateIsLimited guards against a flood of log lines to a fast reader. No more
// lines may be written than the rate limit allows, and the rest must be counted.
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
	maxLines := queueSize + int(linesPerSecond*time.Since(began).Seconds()) + 1
	close(stop)
	assert.NilError(t, <-done)
	written := strings.Count(out.String(), `"line"`)
	assert.Assert(t, written <= maxLines, "%d lines written, %d allowed", written, maxLines)
	assert.Equal(t, int64(written)+j.Dropped(), int64(flood))
}
