// Package starter defines the settings file of a single daemon: its names,
// listeners and limits. The configuration shared by all daemons is in package
// specifier.
package starter

import (
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnreadable reports that the input could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid reports invalid settings.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists everything that is wrong with the settings.
	Problems decoder.Problems
}

// MaxSettingsBytes is the maximum size of a settings file, in bytes.
const MaxSettingsBytes = 1 << 20

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the name of the entry host; required.
	Host identifier.Host `json:"host"`
	// DataCentre is the name of the host's data centre; required.
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Region is the name of the data centre's region; required.
	Region identifier.Region `json:"region"`
	// Listen is the listen address for callers; required, an IP address and port.
	Listen netip.AddrPort `json:"listen"`
	// PeerListen is the listen address for other daemons; required, an IP address and port.
	PeerListen netip.AddrPort `json:"peer-listen"`
	// OperatorListen is the listen address for operators; required, an IP address and port.
	OperatorListen netip.AddrPort `json:"operator-listen"`
	// Platform holds the addresses of the platform.
	Platform Platform `json:"platform"`
	// TLS holds the TLS files of each listener; a listener without files uses plain TCP.
	TLS ListenerTLS `json:"tls"`
	// AllowPlainText allows plain TCP for peers and operators on addresses that other hosts can reach.
	AllowPlainText bool `json:"allow-plain-text"`
	// Secrets holds the keys shared by all daemons.
	Secrets Secrets `json:"secrets"`
	// Limits holds the limits on callers' requests.
	Limits Limits `json:"limits"`
	// Session holds the durations of the daemon's registration and leases on the platform.
	Session Session `json:"session"`
	// HeartbeatInterval is the time between heartbeats to a peer; 10ms to 1m.
	HeartbeatInterval specifier.Duration `json:"heartbeat-interval"`
	// LoadReportInterval is the time between reads of a target's load; 10ms to 1m.
	LoadReportInterval specifier.Duration `json:"load-report-interval"`
	// ShutdownGrace is how long the daemon waits for running requests when it shuts down; 0s to 1h.
	ShutdownGrace specifier.Duration `json:"shutdown-grace"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace"`
	// LogLevel is the lowest level that is logged.
	LogLevel LogLevel `json:"log-level"`
}

// LogLevel is the name of a log level.
type LogLevel string

// The log levels, from the most to the least verbose.
const (
	LogTrace LogLevel = "trace"
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Allowed returns all levels.
func (LogLevel) Allowed() []LogLevel {
	return []LogLevel{LogTrace, LogDebug, LogInfo, LogWarn, LogError}
}

// DefaultSettings returns the defaults for a settings file.
func DefaultSettings() Settings {
	return Settings{
		Limits:             DefaultLimits(),
		Session:            DefaultSession(),
		HeartbeatInterval:  specifier.Duration{Duration: 500 * time.Millisecond},
		LoadReportInterval: specifier.Duration{Duration: 250 * time.Millisecond},
		ShutdownGrace:      specifier.Duration{Duration: 2 * time.Minute},
		Trace:              DefaultTrace(),
		LogLevel:           LogInfo,
	}
}

// SetDefaults sets s to DefaultSettings.
func (s *Settings) SetDefaults() { *s = DefaultSettings() }

// Decode reads Settings in JSON from r, fills in defaults for absent keys and
// validates the result. The error is an *Error that lists all problems, each with
// name as its file.
func Decode(name string, r io.Reader) (Settings, error) {
	var s Settings
	err := decoder.Decode(decoder.Config{Name: name, MaxBytes: MaxSettingsBytes}, r, &s)
	var decodeErr *decoder.Error
	if err != nil && (!errors.As(err, &decodeErr) || decodeErr.Kind != decoder.KindInvalid) {
		return Settings{}, &Error{Detail: failer.Detail[Kind]{Op: "decode " + name, Kind: KindUnreadable, Err: err}}
	}
	var found decoder.Problems
	if decodeErr != nil {
		found = decodeErr.Problems
	}
	found = found.Merge(s.problems(name))
	if len(found) == 0 {
		return s, nil
	}
	detail := failer.Detail[Kind]{Op: "decode " + name, Kind: KindInvalid, Err: found}
	return s, &Error{Detail: detail, Problems: found}
}
