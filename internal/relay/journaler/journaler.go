// Package journaler writes the relay's log without ever blocking who logs.
package journaler

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// queueSize is how many lines wait for a slow reader of the log: about a second
// of a busy host.
const queueSize = 1024

// linesPerSecond bounds the lines in the long run: several times those of a host at
// the deployments' worst load, three a request.
const linesPerSecond = 500

// Journaler queues lines for a writer. It drops those that are too many, for the
// queue or in a second.
type Journaler struct {
	lines   chan []byte
	dropped atomic.Int64
	limit   *rate.Limiter
	out     io.Writer
}

// New returns a Journaler that writes to out once Run runs.
func New(out io.Writer) *Journaler {
	return &Journaler{lines: make(chan []byte, queueSize), limit: rate.NewLimiter(linesPerSecond, queueSize), out: out}
}

// Write queues a line. It never blocks and never fails.
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

// Dropped returns the number of lines that were dropped so far.
func (j *Journaler) Dropped() int64 { return j.dropped.Load() }

// Run writes lines until stop is closed, and then those that are queued.
func (j *Journaler) Run(stop <-chan struct{}) error {
	told := int64(0)
	for {
		select {
		case line := <-j.lines:
			if _, err := j.out.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
			}
			if n := j.Dropped(); n > told && len(j.lines) == 0 {
				told = n
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
			_, _ = j.out.Write(line) // The process ends.
		default:
			return
		}
	}
}

// Logger returns a logger whose lines go to j in JSON.
func (j *Journaler) Logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: j, JSONFormat: true})
}
