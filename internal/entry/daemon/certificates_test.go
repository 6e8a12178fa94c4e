package daemon_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/certifier"
	"cardamomscale.example/cardamomscale/internal/entry/daemon"
	"cardamomscale.example/cardamomscale/internal/operator/commander"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/operator/inspector"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/issuer"
)

// authority issues certificates into folders.
type authority struct {
	*issuer.Issuer
	t   *testing.T
	dir string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	i, err := issuer.New(time.Now().Add(-time.Hour), 24*time.Hour)
	assert.NilError(t, err)
	return &authority{Issuer: i, t: t, dir: t.TempDir()}
}

// issue writes a certificate that ends after validity, and returns its folder.
func (a *authority) issue(folder, name, role string, validity time.Duration) string {
	a.t.Helper()
	bundle, err := a.Issue(issuer.Request{
		Name: name, Roles: []string{role}, Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		NotBefore: time.Now().Add(-time.Hour), Validity: time.Hour + validity,
	})
	assert.NilError(a.t, err)
	dir := filepath.Join(a.dir, folder)
	assert.NilError(a.t, os.MkdirAll(dir, 0o700))
	assert.NilError(a.t, bundle.Write(dir))
	return dir
}

func files(dir string) *starter.TLSFiles {
	return &starter.TLSFiles{
		CA:          filepath.Join(dir, issuer.CAFile),
		Certificate: filepath.Join(dir, issuer.CertificateFile),
		Key:         filepath.Join(dir, issuer.KeyFile),
	}
}

// secure gives a daemon a certificate of its own for all listeners.
func (a *authority) secure(s *starter.Settings) {
	dir := a.issue(string(s.Host), string(s.Host), string(certifier.RoleDaemon), time.Hour)
	public := files(dir)
	public.CA = ""
	s.TLS = starter.ListenerTLS{Callers: public, Peers: files(dir), Operators: files(dir)}
}

// clientTLS trusts the authority.
func (a *authority) clientTLS() *tls.Config {
	raw, err := os.ReadFile(filepath.Join(a.dir, "entry-01", issuer.CAFile))
	assert.NilError(a.t, err)
	pool := x509.NewCertPool()
	assert.Assert(a.t, pool.AppendCertsFromPEM(raw))
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}

// control runs cardamomctl with the certificate of a folder.
func (b *bench) control(authorityFile, dir string, args ...string) (commander.ExitCode, string) {
	b.t.Helper()
	var out bytes.Buffer
	var addresses []string
	for _, name := range b.HostNames() {
		addresses = append(addresses, b.Hosts[name].Operators.String())
	}
	c, err := commander.New(commander.Config{
		OpenStore: func(commander.Connection) (client.ObjectStore, error) {
			return nil, errors.New("the test has no store")
		},
		Clock: clockwork.NewRealClock(), Random: strings.NewReader(""), Getenv: func(string) string { return "" },
		In: strings.NewReader(""), Out: &out, Err: &out, RetryPause: time.Millisecond, Attempts: 1,
	})
	assert.NilError(b.t, err)
	own := files(dir)
	args = append(args, "--daemons", strings.Join(addresses, ","),
		"--tls-ca", authorityFile, "--tls-certificate", own.Certificate, "--tls-key", own.Key)
	return c.Run(b.t.Context(), args), out.String()
}

func newSecureBench(t *testing.T, a *authority) *bench {
	b := newBench(t, assembler.Config{Plan: testPlan(2), Adjust: a.secure, CertificateInterval: 20 * time.Millisecond})
	b.scheme = "https"
	b.client.Transport.(*http.Transport).TLSClientConfig = a.clientTLS()
	return b
}

// peersHeard reports whether all daemons hear each other.
func (b *bench) peersHeard(dir string) bool {
	code, output := b.control(files(dir).CA, dir, "status", "--output", "json")
	return code == commander.ExitOK && strings.Count(output, `"heard-age"`) == len(b.Hosts)
}

// TestListenersAskForCertificates runs two daemons with certificates and tries
// to reach the operators' listener with good and bad ones.
func TestListenersAskForCertificates(t *testing.T) {
	a := newAuthority(t)
	b := newSecureBench(t, a)
	read := a.issue("read", "ana", string(certifier.RoleRead), time.Hour)
	operate := a.issue("operate", "ana", string(certifier.RoleOperate), time.Hour)
	b.eventually("peers hear each other over TLS", func() bool { return b.peersHeard(read) })
	other := newAuthority(t)
	cases := []struct {
		name, dir string
		want      commander.ExitCode
	}{
		{"read", read, commander.ExitOK},
		{"operate", operate, commander.ExitOK},
		{"a daemon's role", a.issue("wrong-role", "ana", string(certifier.RoleDaemon), time.Hour), commander.ExitFailure},
		{"no role", a.issue("no-role", "ana", "", time.Hour), commander.ExitFailure},
		{"expired", a.issue("expired", "ana", string(certifier.RoleRead), -time.Minute), commander.ExitFailure},
		{"other authority", other.issue("read", "ana", string(certifier.RoleRead), time.Hour), commander.ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, output := b.control(files(read).CA, c.dir, "status")
			assert.Equal(t, code, c.want, output)
		})
	}
	b.client.Transport.(*http.Transport).TLSClientConfig = b.clientTLS(read)
	got := b.metrics()
	for _, listener := range []string{"callers", "peers", "operators"} {
		assert.Assert(t, regexp.MustCompile(`cardamomscale_certificate_expiry_seconds\{data_centre="antigua",listener="`+listener+`"\} 3[0-9]{3}`).MatchString(got), got)
	}
	answer := b.complete(0, "how do I dry cardamom", false, caller())
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
}

// TestCertificatesAreRenewedWithoutRestart renews a daemon's certificate and
// expects new connections to see the new one.
func TestCertificatesAreRenewedWithoutRestart(t *testing.T) {
	a := newAuthority(t)
	b := newSecureBench(t, a)
	before := b.serial()
	a.issue("entry-01", "entry-01", string(certifier.RoleDaemon), 2*time.Hour)
	b.eventually("the new certificate is in use", func() bool { return b.serial() != before })
}

// serial returns the serial number of the first host's certificate for callers.
func (b *bench) serial() string {
	d := tls.Dialer{Config: b.client.Transport.(*http.Transport).TLSClientConfig}
	conn, err := d.DialContext(b.t.Context(), "tcp", b.host(0).Callers.String())
	assert.NilError(b.t, err)
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestDaemonSpeaksForItsOwnHostOnly gives one daemon the certificate of another
// host, and expects its peer never to hear it.
func TestDaemonSpeaksForItsOwnHostOnly(t *testing.T) {
	a := newAuthority(t)
	b := newBench(t, assembler.Config{Plan: testPlan(3), Adjust: func(s *starter.Settings) {
		a.secure(s)
		if s.Host == "entry-03" {
			s.TLS.Peers = files(a.issue("stolen", "entry-02", string(certifier.RoleDaemon), time.Hour))
		}
	}})
	read := a.issue("read", "ana", string(certifier.RoleRead), time.Hour)
	honest := []identifier.Host{"entry-01", "entry-02"}
	b.eventually("the honest daemons hear each other", func() bool {
		return b.hears(read, "entry-01", "entry-02") && b.hears(read, "entry-02", "entry-01")
	})
	for _, host := range honest {
		assert.Assert(t, !b.hears(read, host, "entry-03"), "%s hears entry-03", host)
		assert.Assert(t, !b.hears(read, "entry-03", host), "entry-03 hears %s", host)
	}
}

// hears reports whether the daemon of one host has heard another.
func (b *bench) hears(dir string, host, other identifier.Host) bool {
	b.t.Helper()
	config := b.clientTLS(dir)
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	i, err := inspector.New(inspector.Config{Client: &http.Client{Transport: transport}, Scheme: "https", Timeout: testWait})
	assert.NilError(b.t, err)
	status, err := i.Status(b.t.Context(), b.Hosts[host].Operators)
	assert.NilError(b.t, err)
	return slices.ContainsFunc(status.Peers, func(p describer.Peer) bool { return p.Host == other })
}

// clientTLS returns the configuration of a client with the certificate of a folder.
func (b *bench) clientTLS(dir string) *tls.Config {
	own := files(dir)
	raw, err := os.ReadFile(own.CA)
	assert.NilError(b.t, err)
	pool := x509.NewCertPool()
	assert.Assert(b.t, pool.AppendCertsFromPEM(raw))
	pair, err := tls.LoadX509KeyPair(own.Certificate, own.Key)
	assert.NilError(b.t, err)
	return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
}

// TestExpiredCertificateIsNotUsed refuses to build a daemon with an old certificate.
func TestExpiredCertificateIsNotUsed(t *testing.T) {
	a := newAuthority(t)
	s := starter.DefaultSettings()
	s.Host, s.Listen = "entry-01", netip.MustParseAddrPort("127.0.0.1:0")
	s.PeerListen, s.OperatorListen = s.Listen, s.Listen
	s.Platform.Objects = []netip.AddrPort{s.Listen}
	s.Secrets.BlockSecret = "0123456789abcdef"
	s.TLS.Peers = files(a.issue("old", "entry-01", string(certifier.RoleDaemon), -time.Minute))
	_, err := daemon.New(daemon.Config{Settings: s})
	assert.ErrorContains(t, err, "certificate of \"entry-01\" holds from")
}
