package starter

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

// Bounds of the settings.
const (
	minInterval       = 10 * time.Millisecond
	maxInterval       = time.Minute
	maxShutdownGrace  = time.Hour
	maxBodyBytes      = 1 << 30
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 16 << 20
	maxReadTimeout    = 10 * time.Minute
	maxWriteTimeout   = 10 * time.Minute
	maxInFlight       = 1_000_000
	minTerm           = 100 * time.Millisecond
	maxTerm           = 10 * time.Minute
	minSecretBytes    = 16
	marginsInOneTerm  = 2
	shortestTimeLimit = time.Millisecond
)

// validator checks Settings as a whole.
type validator struct{ decoder.Reporter }

// problems returns all problems of s, each with name as its file.
func (s *Settings) problems(name string) decoder.Problems {
	v := &validator{Reporter: decoder.Reporter{File: name}}
	v.name("host", string(s.Host))
	v.name("data-centre", string(s.DataCentre))
	v.name("region", string(s.Region))
	v.listeners(s)
	v.platform(s.Platform)
	v.tls("tls.callers", s.TLS.Callers)
	v.mutualTLS("tls.peers", s.TLS.Peers)
	v.mutualTLS("tls.operators", s.TLS.Operators)
	v.secured("tls.peers", s.TLS.Peers, "peer-listen", s.PeerListen, s.AllowPlainText)
	v.secured("tls.operators", s.TLS.Operators, "operator-listen", s.OperatorListen, s.AllowPlainText)
	v.secrets(s.Secrets)
	v.limits(s.Limits)
	v.session(s.Session)
	v.duration("heartbeat-interval", s.HeartbeatInterval, minInterval, maxInterval)
	v.duration("load-report-interval", s.LoadReportInterval, minInterval, maxInterval)
	v.duration("shutdown-grace", s.ShutdownGrace, 0, maxShutdownGrace)
	v.trace(s.Trace)
	decoder.OneOf(&v.Reporter, "log-level", s.LogLevel, s.LogLevel.Allowed())
	return v.Problems
}

func (v *validator) required(key, value string) {
	if value == "" {
		v.Reportf(key, "is missing")
	}
}

func (v *validator) name(key, value string) {
	if !specifier.ValidName(value) {
		v.Reportf(key, "is %q, want a name of 1 to 63 letters, digits, dots, hyphens and underscores", value)
	}
}

func (v *validator) listeners(s *Settings) {
	v.address("listen", s.Listen)
	v.address("peer-listen", s.PeerListen)
	v.address("operator-listen", s.OperatorListen)
	if s.Listen.IsValid() && s.Listen == s.PeerListen {
		v.Reportf("peer-listen", "is %q, which listen uses already", s.PeerListen)
	}
	if s.Listen.IsValid() && s.Listen == s.OperatorListen {
		v.Reportf("operator-listen", "is %q, which listen uses already", s.OperatorListen)
	}
	if s.PeerListen.IsValid() && s.PeerListen == s.OperatorListen {
		v.Reportf("operator-listen", "is %q, which peer-listen uses already", s.OperatorListen)
	}
}

func (v *validator) address(key string, value netip.AddrPort) {
	if !value.IsValid() || value.Port() == 0 {
		v.Reportf(key, "is %q, want an IP address and port such as 127.0.0.1:21100", value)
	}
}

func (v *validator) platform(p Platform) {
	if len(p.Objects) == 0 {
		v.Reportf("platform.objects", "is empty, want at least one address of the object API")
	}
	for i, address := range p.Objects {
		v.address(decoder.Index("platform.objects", i), address)
	}
	if p.Members != (netip.AddrPort{}) {
		v.address("platform.members", p.Members)
	}
}

func (v *validator) tls(key string, files *TLSFiles) {
	if files == nil {
		return
	}
	v.required(decoder.Join(key, "certificate"), files.Certificate)
	v.required(decoder.Join(key, "key"), files.Key)
}

// mutualTLS checks the files of a listener whose callers present certificates.
func (v *validator) mutualTLS(key string, files *TLSFiles) {
	if files == nil {
		return
	}
	v.required(decoder.Join(key, "ca"), files.CA)
	v.tls(key, files)
}

// secured refuses plain TCP on an address that other hosts reach, unless it is allowed.
func (v *validator) secured(key string, files *TLSFiles, listener string, address netip.AddrPort, allowed bool) {
	if files != nil || allowed || !address.IsValid() || address.Addr().IsLoopback() {
		return
	}
	v.Reportf(key, "is missing and %s is %q, which other hosts reach; give its files, or permit plain TCP by allow-plain-text", listener, address)
}

func (v *validator) secrets(s Secrets) {
	if (s.BlockKeyFile == "") == (s.BlockSecret == "") {
		v.Reportf("secrets", "has both or neither of block-key-file and block-secret, want exactly one")
	}
	if s.BlockSecret != "" && len(s.BlockSecret) < minSecretBytes {
		v.Reportf("secrets.block-secret", "has %d characters, want at least %d", len(s.BlockSecret), minSecretBytes)
	}
}

func (v *validator) limits(l Limits) {
	decoder.Within(&v.Reporter, "limits.max-body-bytes", l.MaxBodyBytes, 1, maxBodyBytes)
	decoder.Within(&v.Reporter, "limits.max-header-bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	decoder.Within(&v.Reporter, "limits.max-in-flight", l.MaxInFlight, 1, maxInFlight)
	v.duration("limits.read-timeout", l.ReadTimeout, shortestTimeLimit, maxReadTimeout)
	v.duration("limits.write-timeout", l.WriteTimeout, shortestTimeLimit, maxWriteTimeout)
}

func (v *validator) session(s Session) {
	v.duration("session.term", s.Term, minTerm, maxTerm)
	if s.Margin.Duration <= 0 || marginsInOneTerm*s.Margin.Duration > s.Term.Duration {
		v.Reportf("session.margin", "is %v, want above 0s and at most half the term of %v", s.Margin, s.Term)
	}
}

func (v *validator) trace(t Trace) {
	decoder.Within(&v.Reporter, "trace.ratio", t.Ratio, 0, 1)
	if t.Endpoint == (netip.AddrPort{}) {
		return
	}
	v.address("trace.endpoint", t.Endpoint)
	if t.File != "" {
		v.Reportf("trace", "has both endpoint and file, want at most one")
	}
}

func (v *validator) duration(key string, value specifier.Duration, low, high time.Duration) {
	decoder.Within(&v.Reporter, key, value.Duration, low, high)
}
