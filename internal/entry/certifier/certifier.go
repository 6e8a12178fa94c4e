// Package certifier holds a daemon's certificate and the authorities that it
// trusts, follows their files without a restart, and checks the roles of
// peers and operators by their certificates.
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

// Kind classifies failures of certificates.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a configuration that lacks something.
	KindInvalid Kind = "invalid"
	// KindFile reports a file that could not be read or decoded.
	KindFile Kind = "file"
	// KindExpired reports a certificate outside its time.
	KindExpired Kind = "expired"
	// KindUntrusted reports a certificate that no trusted authority signed.
	KindUntrusted Kind = "untrusted"
	// KindRole reports a certificate that lacks a needed role.
	KindRole Kind = "role"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Role says what the holder of a certificate may do. Certificates carry roles
// as organisational units or as URIs of the form cardamom:ROLE.
type Role string

// The roles.
const (
	// RoleDaemon is that of daemons towards each other.
	RoleDaemon Role = "daemon"
	// RoleOperate permits changes.
	RoleOperate Role = "operate"
	// RoleRead permits reading.
	RoleRead Role = "read"
)

// uriScheme is the scheme of URIs that carry roles.
const uriScheme = "cardamom"

// DefaultInterval is the default time between looks at the files.
const DefaultInterval = 10 * time.Second

// Config configures a Certifier. Clock, CertificateFile and KeyFile are required.
type Config struct {
	Clock clockwork.Clock
	// CAFile, CertificateFile and KeyFile name PEM files. Without CAFile no
	// certificate of another side is trusted.
	CAFile          string
	CertificateFile string
	KeyFile         string
	// Interval is the time between looks at the files.
	Interval time.Duration
	Logger   hclog.Logger
}

// material is what one reading of the files gave.
type material struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
	// digest is the hash of all files, stamps are their times and sizes.
	digest [sha256.Size]byte
	stamps [fileCount]stamp
}

// fileCount is the number of files.
const fileCount = 3

type stamp struct {
	modified time.Time
	size     int64
}

// Certifier holds the present certificate and authorities.
type Certifier struct {
	cfg     Config
	present atomic.Pointer[material]
}

// New reads the files. It returns an Error of KindInvalid, KindFile or KindExpired.
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

// Run follows the files until ctx ends.
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
			c.cfg.Logger.Error("certificate files are not usable", "error", err)
		}
	}
}

// Reload reads the files if they have changed. After an error the former
// certificate and authorities stay in use.
func (c *Certifier) Reload() error {
	stamps, err := c.stat()
	if err != nil {
		return newError("reload", KindFile, err)
	}
	old := c.present.Load()
	if old != nil && old.stamps == stamps {
		return nil
	}
	next, err := c.read()
	if err != nil {
		return newError("reload", KindFile, err)
	}
	next.stamps = stamps
	if old != nil && old.digest == next.digest {
		next.certificate, next.roots = old.certificate, old.roots
		c.present.Store(next)
		return nil
	}
	if err := c.inTime(next.certificate.Leaf); err != nil {
		return newError("reload", KindExpired, err)
	}
	c.present.Store(next)
	c.cfg.Logger.Info("certificate in use", "expires", next.certificate.Leaf.NotAfter)
	return nil
}

func (c *Certifier) files() [fileCount]string {
	return [fileCount]string{c.cfg.CAFile, c.cfg.CertificateFile, c.cfg.KeyFile}
}

func (c *Certifier) stat() (stamps [fileCount]stamp, err error) {
	for i, name := range c.files() {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// read decodes the files and checks that certificate and key belong together.
func (c *Certifier) read() (*material, error) {
	var data [fileCount][]byte
	hash := sha256.New()
	for i, name := range c.files() {
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
		return nil, errors.Newf("file %q has no certificate", c.cfg.CAFile)
	}
	certificate, err := tls.X509KeyPair(data[1], data[2])
	if err != nil {
		return nil, errors.Wrapf(err, "files %q and %q", c.cfg.CertificateFile, c.cfg.KeyFile)
	}
	if certificate.Leaf == nil {
		return nil, errors.Newf("file %q has no decoded certificate", c.cfg.CertificateFile)
	}
	next := &material{certificate: &certificate, roots: roots}
	hash.Sum(next.digest[:0])
	return next, nil
}

// Expiry returns the end of the present certificate's time.
func (c *Certifier) Expiry() time.Time { return c.present.Load().certificate.Leaf.NotAfter }

func (c *Certifier) inTime(cert *x509.Certificate) error {
	now := c.cfg.Clock.Now()
	if now.Before(cert.NotBefore) || now.After(cert.NotAfter) {
		return errors.Newf("certificate of %q holds from %v to %v, and it is %v",
			cert.Subject.CommonName, cert.NotBefore, cert.NotAfter, now)
	}
	return nil
}

// PublicConfig returns the TLS configuration of a server for clients of any
// kind. With a CAFile they must have a certificate of its authorities, whatever
// its roles; without one they need none.
func (c *Certifier) PublicConfig() *tls.Config {
	cfg := c.ServerConfig()
	if c.cfg.CAFile != "" {
		return cfg
	}
	cfg.ClientAuth, cfg.VerifyConnection = tls.NoClientCert, nil
	return cfg
}

// ServerConfig returns the TLS configuration of a server whose clients must
// have one of roles, or any when there are none.
func (c *Certifier) ServerConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Resumption would skip the present authorities.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.present.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// ClientConfig returns the TLS configuration of a client whose server must
// have one of roles.
func (c *Certifier) ClientConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain against the present authorities;
		// hosts change their addresses, so that roles count instead of names.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.present.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageServerAuth, roles)
		},
	}
}

// verify checks the other side's certificate by the present authorities and
// the daemon's clock.
func (c *Certifier) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return newError("verify", KindUntrusted, errors.New("no certificate"))
	}
	leaf := state.PeerCertificates[0]
	if err := c.inTime(leaf); err != nil {
		return newError("verify", KindExpired, err)
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         c.present.Load().roots,
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

// HostOf returns the host that the other side of a connection speaks for, which
// its certificate names as the common name.
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

// Roles returns the roles of a certificate.
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

// Authorise returns an Error of KindRole unless the other side of a
// connection has one of roles, such as RoleOperate for a request that changes
// something.
func Authorise(state *tls.ConnectionState, roles ...Role) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return newError("authorise", KindRole, errors.New("no certificate"))
	}
	return checkRole(state.PeerCertificates[0], roles)
}
