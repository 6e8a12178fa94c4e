package starter

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

// Limits of the settings.
const (
	minInterval      = 10 * time.Millisecond
	maxInterval      = time.Minute
	maxShutdownGrace = time.Hour
	maxBodyBytes     = 1 << 30
	minHeaderBytes   = 1 << 10
	maxHeaderBytes   = 16 << 20
	maxReadTimeout   = 10 * time.Minute
	maxWriteTimeout  = 10 * time.Minute
	maxInFlight      = 1_000_000
	minTerm          = 100 * time.Millisecond
	maxTerm          = 10 * time.Minute
	minSecretBytes   = 16
	minTermPerMargin = 2 // the term is more than this multiple of the margin
	minTimeout       = time.Millisecond
)

// validator collects the problems of Settings.
type validator struct{ decoder.Reporter }

// problems returns all problems of s, each with name as its file.
func (s *Settings) problems(name string) decoder.Problems {
	v := &validator{Reporter: decoder.Reporter{File: name}}
	v.checkName("host", string(s.Host))
	v.checkName("data-centre", string(s.DataCentre))
	v.checkName("region", string(s.Region))
	v.checkListeners(s)
	v.checkPlatform(s.Platform)
	v.checkTLS("tls.callers", s.TLS.Callers)
	v.checkMutualTLS("tls.peers", s.TLS.Peers)
	v.checkMutualTLS("tls.operators", s.TLS.Operators)
	v.checkPlainTCP("tls.peers", s.TLS.Peers, "peer-listen", s.PeerListen, s.AllowPlainText)
	v.checkPlainTCP("tls.operators", s.TLS.Operators, "operator-listen", s.OperatorListen, s.AllowPlainText)
	v.checkSecrets(s.Secrets)
	v.checkLimits(s.Limits)
	v.checkSession(s.Session)
	v.checkDuration("heartbeat-interval", s.HeartbeatInterval, minInterval, maxInterval)
	v.checkDuration("load-report-interval", s.LoadReportInterval, minInterval, maxInterval)
	v.checkDuration("shutdown-grace", s.ShutdownGrace, 0, maxShutdownGrace)
	v.checkTrace(s.Trace)
	decoder.CheckOneOf(&v.Reporter, "log-level", s.LogLevel, s.LogLevel.Allowed())
	return v.Problems
}

func (v *validator) checkRequired(key, value string) {
	if value == "" {
		v.Reportf(key, "is missing")
	}
}

func (v *validator) checkName(key, value string) {
	if !specifier.ValidName(value) {
		v.Reportf(key, "is %q, want a name of 1 to 63 letters, digits, dots, hyphens and underscores", value)
	}
}

func (v *validator) checkListeners(s *Settings) {
	v.checkAddress("listen", s.Listen)
	v.checkAddress("peer-listen", s.PeerListen)
	v.checkAddress("operator-listen", s.OperatorListen)
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

func (v *validator) checkAddress(key string, value netip.AddrPort) {
	if !value.IsValid() || value.Port() == 0 {
		v.Reportf(key, "is %q, want an IP address and port such as 127.0.0.1:21100", value)
	}
}

func (v *validator) checkPlatform(p Platform) {
	if len(p.Objects) == 0 {
		v.Reportf("platform.objects", "is empty, want at least one address of the object API")
	}
	for i, address := range p.Objects {
		v.checkAddress(decoder.IndexKey("platform.objects", i), address)
	}
	if p.Members != (netip.AddrPort{}) {
		v.checkAddress("platform.members", p.Members)
	}
}

func (v *validator) checkTLS(key string, files *TLSFiles) {
	if files == nil {
		return
	}
	v.checkRequired(decoder.JoinKey(key, "certificate"), files.Certificate)
	v.checkRequired(decoder.JoinKey(key, "key"), files.Key)
}

// checkMutualTLS checks the files of a listener that requires client certificates.
func (v *validator) checkMutualTLS(key string, files *TLSFiles) {
	if files == nil {
		return
	}
	v.checkRequired(decoder.JoinKey(key, "ca"), files.CA)
	v.checkTLS(key, files)
}

// checkPlainTCP reports plain TCP on an address that other hosts can reach, unless
// it is allowed.
func (v *validator) checkPlainTCP(key string, files *TLSFiles, listener string, address netip.AddrPort, allowed bool) {
	if files != nil || allowed || !address.IsValid() || address.Addr().IsLoopback() {
		return
	}
	v.Reportf(key, "is missing and %s is %q, which other hosts reach; give its files, or permit plain TCP by allow-plain-text", listener, address)
}

func (v *validator) checkSecrets(s Secrets) {
	if (s.BlockKeyFile == "") == (s.BlockSecret == "") {
		v.Reportf("secrets", "has both or neither of block-key-file and block-secret, want exactly one")
	}
	if s.BlockSecret != "" && len(s.BlockSecret) < minSecretBytes {
		v.Reportf("secrets.block-secret", "has %d characters, want at least %d", len(s.BlockSecret), minSecretBytes)
	}
}

func (v *validator) checkLimits(l Limits) {
	decoder.CheckRange(&v.Reporter, "limits.max-body-bytes", l.MaxBodyBytes, 1, maxBodyBytes)
	decoder.CheckRange(&v.Reporter, "limits.max-header-bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	decoder.CheckRange(&v.Reporter, "limits.max-in-flight", l.MaxInFlight, 1, maxInFlight)
	v.checkDuration("limits.read-timeout", l.ReadTimeout, minTimeout, maxReadTimeout)
	v.checkDuration("limits.write-timeout", l.WriteTimeout, minTimeout, maxWriteTimeout)
}

func (v *validator) checkSession(s Session) {
	v.checkDuration("session.term", s.Term, minTerm, maxTerm)
	if s.Margin.Duration <= 0 || s.Margin.Duration >= s.Term.Duration/minTermPerMargin {
		v.Reportf("session.margin", "is %v, want above 0s and less than half the term of %v", s.Margin, s.Term)
	}
}

func (v *validator) checkTrace(t Trace) {
	decoder.CheckRange(&v.Reporter, "trace.ratio", t.Ratio, 0, 1)
	if t.Endpoint == (netip.AddrPort{}) {
		return
	}
	v.checkAddress("trace.endpoint", t.Endpoint)
	if t.File != "" {
		v.Reportf("trace", "has both endpoint and file, want at most one")
	}
}

func (v *validator) checkDuration(key string, value specifier.Duration, low, high time.Duration) {
	decoder.CheckRange(&v.Reporter, key, value.Duration, low, high)
}
