package responder

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid reports settings or faults out of range.
const KindInvalid Kind = "invalid"

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Settings configures the capacity and timing of a simulated plain service.
type Settings struct {
	warmer.Settings
	// ServiceTime is the time to handle one request.
	ServiceTime server.Duration `json:"service-time"`
	// RunningLimit is the highest number of requests that run at once, and
	// QueueLimit of those that wait.
	RunningLimit int `json:"running-limit"`
	QueueLimit   int `json:"queue-limit"`
	// LoadLag is the age of the load in load reports.
	LoadLag server.Duration `json:"load-lag"`
	// PaddingBytes is the size of the padding in each answer.
	PaddingBytes int `json:"padding-bytes"`
}

// DefaultSettings returns the settings of a plain service that starts cold.
func DefaultSettings() Settings {
	return Settings{
		Settings: warmer.Settings{
			ColdLimit:    2,
			WarmTime:     server.Duration{Duration: 2 * time.Second},
			WarmRequests: 8,
		},
		ServiceTime:  server.Duration{Duration: 5 * time.Millisecond},
		RunningLimit: 16,
		QueueLimit:   32,
		LoadLag:      server.Duration{Duration: 200 * time.Millisecond},
	}
}

// Config configures a Responder.
type Config struct {
	Settings
	Name  identifier.Target
	Clock clockwork.Clock
}

func (c Config) validate() error {
	if c.Clock == nil {
		return invalid("check settings", "the clock is missing")
	}
	if c.ServiceTime.Duration < 0 || c.LoadLag.Duration < 0 {
		return invalid("check settings", "service-time is %v and load-lag %v, want neither below 0", c.ServiceTime, c.LoadLag)
	}
	if c.RunningLimit < 1 {
		return invalid("check settings", "running-limit is %d, want at least 1", c.RunningLimit)
	}
	if c.QueueLimit < 0 || c.PaddingBytes < 0 {
		return invalid("check settings", "queue-limit is %d and padding-bytes %d, want neither below 0", c.QueueLimit, c.PaddingBytes)
	}
	return nil
}

func invalid(op, format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}
