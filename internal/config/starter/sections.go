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
	// Members is the address of the membership list; absent means that the fleet's configuration names all hosts.
	Members netip.AddrPort `json:"members"`
}

// ListenerTLS holds the TLS files of each listener; nil means plain TCP.
type ListenerTLS struct {
	// Callers are the files of the callers' listener.
	Callers *TLSFiles `json:"callers,omitempty"`
	// Peers are the files of the peers' listener; peers must then present certificates of the same authority.
	Peers *TLSFiles `json:"peers,omitempty"`
	// Operators are the files of the operators' listener; operators must then present certificates of the same authority.
	Operators *TLSFiles `json:"operators,omitempty"`
}

// TLSFiles holds the file names of one TLS identity.
type TLSFiles struct {
	// CA is the file of the certificate authority that the other end is checked against, in PEM; callers may go without certificates when it is absent, peers and operators may not.
	CA string `json:"ca,omitempty"`
	// Certificate is the file of the listener's certificate, in PEM.
	Certificate string `json:"certificate"`
	// Key is the file of the certificate's private key, in PEM.
	Key string `json:"key"`
}

// Secrets holds the keys shared by all daemons.
type Secrets struct {
	// ClaimKeyFile is the file of the key that hides callers' idempotency keys in claims.
	ClaimKeyFile string `json:"claim-key-file,omitempty"`
	// BlockKeyFile is the file of the key that derives block keys; exactly one of it and block-secret is required.
	BlockKeyFile string `json:"block-key-file,omitempty"`
	// BlockSecret is the key that derives block keys, for demonstrations; 16 characters or more.
	BlockSecret string `json:"block-secret,omitempty"`
}

// Limits holds the limits on callers' requests.
type Limits struct {
	// MaxBodyBytes is the longest body, in bytes; 1 to 1073741824.
	MaxBodyBytes int64 `json:"max-body-bytes"`
	// MaxHeaderBytes is the longest header, in bytes; 1024 to 16777216.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// ReadTimeout is the longest time for reading a request; 1ms to 10m.
	ReadTimeout specifier.Duration `json:"read-timeout"`
	// WriteTimeout is how long a caller may take to receive one part of an answer; 1ms to 10m.
	WriteTimeout specifier.Duration `json:"write-timeout"`
	// MaxInFlight bounds the requests that a daemon handles at once; 1 to 1000000.
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
	// Term is how long a registration or lease lasts without renewal; 100ms to 10m.
	Term specifier.Duration `json:"term"`
	// Margin is how long before the end of the term a holder stops; above 0s and at most half the term.
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

// Trace configures where spans are exported to; without endpoint and file no
// spans are recorded.
type Trace struct {
	// Endpoint is the address of an OTLP collector over HTTP; at most one of it and file.
	Endpoint netip.AddrPort `json:"endpoint"`
	// File is the file that spans are appended to, or "stderr".
	File string `json:"file,omitempty"`
	// Ratio is the share of requests that are traced when their callers don't say; 0 to 1.
	Ratio float64 `json:"ratio"`
}

// DefaultTrace returns the default trace settings.
func DefaultTrace() Trace { return Trace{Ratio: 1} }

// SetDefaults sets t to DefaultTrace.
func (t *Trace) SetDefaults() { *t = DefaultTrace() }
