package starter

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

// Platform holds the addresses of the platform.
type Platform struct {
	// Objects lists the addresses of the object API; at least one.
	Objects []netip.AddrPort `json:"objects"`
	// Members is the address of the membership service, which lists the targets that are leaving; if absent, no list is read and only the fleet's configuration names hosts and targets.
	Members netip.AddrPort `json:"members"`
}

// ListenerTLS holds the TLS files of each listener; nil means plain TCP.
type ListenerTLS struct {
	// Callers are the files of the listener for callers.
	Callers *TLSFiles `json:"callers,omitempty"`
	// Peers are the files of the listener for peers, which must then present certificates of the same authority.
	Peers *TLSFiles `json:"peers,omitempty"`
	// Operators are the files of the listener for operators, who must then present certificates of the same authority.
	Operators *TLSFiles `json:"operators,omitempty"`
}

// TLSFiles holds the file names of one TLS identity.
type TLSFiles struct {
	// CA is the file with the certificate of the authority by which the other end's certificate is verified, in PEM; required for peers and operators, and optional for callers, who need no certificate if it is absent.
	CA string `json:"ca,omitempty"`
	// Certificate is the file with the listener's certificate, in PEM.
	Certificate string `json:"certificate"`
	// Key is the file with the certificate's private key, in PEM.
	Key string `json:"key"`
}

// Secrets holds the keys shared by all daemons.
type Secrets struct {
	// ClaimKeyFile is the file with the key that conceals callers' idempotency keys in claims; if absent, the key that derives block keys is used.
	ClaimKeyFile string `json:"claim-key-file,omitempty"`
	// BlockKeyFile is the file with the key that derives block keys; exactly one of block-key-file and block-secret is required.
	BlockKeyFile string `json:"block-key-file,omitempty"`
	// BlockSecret is the key that derives block keys, for demonstrations; at least 16 characters.
	BlockSecret string `json:"block-secret,omitempty"`
}

// Limits holds the limits on callers' requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, in bytes; 1 to 1073741824.
	MaxBodyBytes int64 `json:"max-body-bytes"`
	// MaxHeaderBytes is the maximum size of a request header, in bytes; 1024 to 16777216.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// ReadTimeout is the time limit for reading a request; 1ms to 10m.
	ReadTimeout specifier.Duration `json:"read-timeout"`
	// WriteTimeout is the time limit for writing one part of a response; 1ms to 10m.
	WriteTimeout specifier.Duration `json:"write-timeout"`
	// MaxInFlight is the maximum number of concurrent requests in the daemon; 1 to 1000000.
	MaxInFlight int `json:"max-in-flight"`
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   8 << 20,
		MaxHeaderBytes: 64 << 10,
		ReadTimeout:    specifier.Duration{Duration: 30 * time.Second},
		WriteTimeout:   specifier.Duration{Duration: 10 * time.Second},
		MaxInFlight:    4096,
	}
}

// SetDefaults sets l to DefaultLimits.
func (l *Limits) SetDefaults() { *l = DefaultLimits() }

// Session holds the durations of the daemon's registration and leases on the
// platform.
type Session struct {
	// Term is how long a registration or lease is valid without renewal; 100ms to 10m.
	Term specifier.Duration `json:"term"`
	// Margin is how long before the end of the term the daemon stops using its registration and leases; above 0s and less than half the term.
	Margin specifier.Duration `json:"margin"`
}

// DefaultSession returns the default session durations.
func DefaultSession() Session {
	return Session{
		Term:   specifier.Duration{Duration: 10 * time.Second},
		Margin: specifier.Duration{Duration: 2 * time.Second},
	}
}

// SetDefaults sets s to DefaultSession.
func (s *Session) SetDefaults() { *s = DefaultSession() }

// Trace configures the export of spans; without endpoint and file no spans are
// recorded.
type Trace struct {
	// Endpoint is the address of an OTLP collector over HTTP; at most one of endpoint and file is allowed.
	Endpoint netip.AddrPort `json:"endpoint"`
	// File is the file that spans are appended to, or "stderr".
	File string `json:"file,omitempty"`
	// Ratio is the share of requests that are traced if their callers made no sampling decision; 0 to 1.
	Ratio float64 `json:"ratio"`
}

// DefaultTrace returns the default trace settings.
func DefaultTrace() Trace { return Trace{Ratio: 1} }

// SetDefaults sets t to DefaultTrace.
func (t *Trace) SetDefaults() { *t = DefaultTrace() }
