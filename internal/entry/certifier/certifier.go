// Package certifier provides a daemon's TLS configuration. It loads the certificate,
// key and trusted CAs from files, reloads them when they change, and checks the
// roles in the certificates of peers and operators.
package certifier

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a Config that lacks a required field.
	KindInvalid Kind = "invalid"
	// KindFile reports a file that cannot be read or decoded.
	KindFile Kind = "file"
	// KindExpired reports a certificate outside its validity period.
	KindExpired Kind = "expired"
	// KindUntrusted reports a missing certificate or one that no trusted CA signed.
	KindUntrusted Kind = "untrusted"
	// KindRole reports a certificate that lacks a required role.
	KindRole Kind = "role"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Role is a permission granted by a certificate. Certificates carry roles as
// organisational units or as URIs of the form cardamom:ROLE.
type Role string

// The roles.
const (
	// RoleDaemon identifies a daemon to its peers.
	RoleDaemon Role = "daemon"
	// RoleOperate permits operators to change state.
	RoleOperate Role = "operate"
	// RoleRead permits operators to read.
	RoleRead Role = "read"
)

// uriScheme is the scheme of role URIs in certificates.
const uriScheme = "cardamom"

// DefaultInterval is the default time between checks of the files.
const DefaultInterval = 10 * time.Second

// Config configures a Certifier. Clock, CertificateFile and KeyFile are required.
type Config struct {
	Clock clockwork.Clock
	// CAFile, CertificateFile and KeyFile name PEM files. Without CAFile no peer
	// certificate is trusted.
	CAFile          string
	CertificateFile string
	KeyFile         string
	// Interval is the time between checks of the files; 0 means DefaultInterval.
	Interval time.Duration
	Logger   hclog.Logger
}

// credentials holds the decoded contents of the files.
type credentials struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
	// digest is the SHA-256 of all files' contents.
	digest [sha256.Size]byte
	stamps [fileCount]fileStamp
}

// fileCount is the number of watched files: CA, certificate and key.
const fileCount = 3

// fileStamp is compared to detect a changed file without reading it.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// Certifier holds the current certificate, key and trusted CAs. It is safe for
// concurrent use.
type Certifier struct {
	cfg     Config
	current atomic.Pointer[credentials]
}

// New loads the files and returns a Certifier, or an Error of KindInvalid, KindFile
// or KindExpired.
func New(cfg Config) (*Certifier, error) {
	if cfg.Clock == nil || cfg.CertificateFile == "" || cfg.KeyFile == "" {
		err := errors.New("clock, certificate file and key file are required")
		return nil, newError("new certifier", KindInvalid, err)
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	c := &Certifier{cfg: cfg}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Run reloads changed files until ctx ends.
func (c *Certifier) Run(ctx context.Context) error {
	ticker := c.cfg.Clock.NewTicker(c.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if err := c.Reload(); err != nil {
			c.cfg.Logger.Error("reloading certificate files failed", "error", err)
		}
	}
}

// Reload loads the files if they have changed. After an error the previous
// certificate and CAs stay in use.
func (c *Certifier) Reload() error {
	stamps, err := c.statFiles()
	if err != nil {
		return newError("reload", KindFile, err)
	}
	old := c.current.Load()
	if old != nil && old.stamps == stamps {
		return nil
	}
	next, err := c.loadFiles()
	if err != nil {
		return newError("reload", KindFile, err)
	}
	next.stamps = stamps
	if old != nil && old.digest == next.digest {
		next.certificate, next.roots = old.certificate, old.roots
		c.current.Store(next)
		return nil
	}
	if err := c.checkValidity(next.certificate.Leaf); err != nil {
		return newError("reload", KindExpired, err)
	}
	c.current.Store(next)
	c.cfg.Logger.Info("certificate in use", "expires", next.certificate.Leaf.NotAfter)
	return nil
}

// paths returns the names of the files, which are empty for files that aren't used.
func (c *Certifier) paths() [fileCount]string {
	return [fileCount]string{c.cfg.CAFile, c.cfg.CertificateFile, c.cfg.KeyFile}
}

func (c *Certifier) statFiles() (stamps [fileCount]fileStamp, err error) {
	for i, name := range c.paths() {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = fileStamp{modTime: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// loadFiles decodes the files and checks that the key matches the certificate.
func (c *Certifier) loadFiles() (*credentials, error) {
	var data [fileCount][]byte
	hash := sha256.New()
	for i, name := range c.paths() {
		if name == "" {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		data[i] = content
		hash.Write(content)
	}
	roots := x509.NewCertPool()
	if c.cfg.CAFile != "" && !roots.AppendCertsFromPEM(data[0]) {
		return nil, errors.Newf("file %q contains no PEM certificate", c.cfg.CAFile)
	}
	certificate, err := tls.X509KeyPair(data[1], data[2])
	if err != nil {
		return nil, errors.Wrapf(err, "files %q and %q", c.cfg.CertificateFile, c.cfg.KeyFile)
	}
	if certificate.Leaf == nil {
		return nil, errors.Newf("certificate in file %q was not decoded", c.cfg.CertificateFile)
	}
	next := &credentials{certificate: &certificate, roots: roots}
	hash.Sum(next.digest[:0])
	return next, nil
}

// Expiry returns when the current certificate expires.
func (c *Certifier) Expiry() time.Time { return c.current.Load().certificate.Leaf.NotAfter }

// checkValidity returns an error if cert is outside its validity period.
func (c *Certifier) checkValidity(cert *x509.Certificate) error {
	now := c.cfg.Clock.Now()
	if now.Before(cert.NotBefore) || now.After(cert.NotAfter) {
		return errors.Newf("certificate of %q is valid from %v to %v, current time is %v",
			cert.Subject.CommonName, cert.NotBefore, cert.NotAfter, now)
	}
	return nil
}

// PublicConfig returns the TLS configuration of a server for callers. With a CAFile
// they must have a certificate of a trusted CA with any roles; without one they
// need no certificate.
func (c *Certifier) PublicConfig() *tls.Config {
	cfg := c.ServerConfig()
	if c.cfg.CAFile != "" {
		return cfg
	}
	cfg.ClientAuth, cfg.VerifyConnection = tls.NoClientCert, nil
	return cfg
}

// ServerConfig returns the TLS configuration of a server whose clients must have a
// certificate with one of roles. Without roles any trusted certificate is accepted.
func (c *Certifier) ServerConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// A resumed session would not be checked against reloaded CAs.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// ClientConfig returns the TLS configuration of a client whose server must have a
// certificate with one of roles. Without roles any trusted certificate is accepted.
func (c *Certifier) ClientConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain against the current CAs. It checks roles
		// instead of host names, because the addresses of hosts change.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageServerAuth, roles)
		},
	}
}

// verify checks the peer's certificate chain, validity period and roles against the
// current CAs and the configured clock.
func (c *Certifier) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return newError("verify", KindUntrusted, errors.New("no certificate"))
	}
	leaf := state.PeerCertificates[0]
	if err := c.checkValidity(leaf); err != nil {
		return newError("verify", KindExpired, err)
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         c.current.Load().roots,
		Intermediates: intermediates,
		CurrentTime:   c.cfg.Clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return newError("verify", KindUntrusted, err)
	}
	if len(roles) == 0 {
		return nil
	}
	return checkRole(leaf, roles)
}

// HostOf returns the peer's host, which is the common name of its certificate, or
// "" if it has no certificate.
func HostOf(state tls.ConnectionState) identifier.Host {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return identifier.Host(state.PeerCertificates[0].Subject.CommonName)
}

// checkRole returns an Error of KindRole unless cert has one of roles.
func checkRole(cert *x509.Certificate, roles []Role) error {
	held := Roles(cert)
	for _, role := range roles {
		if slices.Contains(held, role) {
			return nil
		}
	}
	err := errors.Newf("certificate of %q has roles %q, want one of %q", cert.Subject.CommonName, held, roles)
	return newError("verify", KindRole, err)
}

// Roles returns the roles that cert carries.
func Roles(cert *x509.Certificate) []Role {
	var roles []Role
	for _, unit := range cert.Subject.OrganizationalUnit {
		roles = append(roles, Role(unit))
	}
	for _, uri := range cert.URIs {
		if uri.Scheme == uriScheme {
			roles = append(roles, Role(uri.Opaque))
		}
	}
	return roles
}

// Authorise returns an Error of KindRole unless the peer's certificate has one of
// roles, such as RoleOperate for a request that changes state.
func Authorise(state *tls.ConnectionState, roles ...Role) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return newError("authorise", KindRole, errors.New("no certificate"))
	}
	return checkRole(state.PeerCertificates[0], roles)
}
