// Package journaler writes the relay's log without blocking the goroutines that log.
package journaler

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// queueSize is the number of lines buffered for a slow reader of the log: about one
// second of log from a busy host.
const queueSize = 1024

// linesPerSecond is the sustained rate limit: several times the log of a host at the
// worst load of the deployments, which has three lines per request.
const linesPerSecond = 500

// Journaler queues lines for a writer. It drops lines that exceed the queue or the
// rate limit. It is safe for concurrent use.
type Journaler struct {
	lines   chan []byte
	dropped atomic.Int64
	limit   *rate.Limiter
	out     io.Writer
}

// New returns a Journaler that writes to out once Run is called.
func New(out io.Writer) *Journaler {
	return &Journaler{lines: make(chan []byte, queueSize), limit: rate.NewLimiter(linesPerSecond, queueSize), out: out}
}

// Write queues a line or drops it. It never blocks and never fails.
func (j *Journaler) Write(line []byte) (int, error) {
	if !j.limit.Allow() {
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (j *Journaler) Dropped() int64 { return j.dropped.Load() }

// Run writes queued lines, and the number of dropped ones when it grows. After stop is
// closed, it flushes the queue and returns.
func (j *Journaler) Run(stop <-chan struct{}) error {
	reported := int64(0)
	for {
		select {
		case line := <-j.lines:
			if _, err := j.out.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
			}
			if n := j.Dropped(); n > reported && len(j.lines) == 0 {
				reported = n
				if _, err := fmt.Fprintf(j.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"dropped\":%d}\n", n); err != nil {
					return fmt.Errorf("write log: %w", err)
				}
			}
		case <-stop:
			j.flush()
			return nil
		}
	}
}

func (j *Journaler) flush() {
	for {
		select {
		case line := <-j.lines:
			_, _ = j.out.Write(line) // The process is ending.
		default:
			return
		}
	}
}

// Logger returns a logger that writes JSON lines to j.
func (j *Journaler) Logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: j, JSONFormat: true})
}
