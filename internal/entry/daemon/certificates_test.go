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

// testCA is a certificate authority that writes certificates to subdirectories of dir.
type testCA struct {
	*issuer.Issuer
	t   *testing.T
	dir string
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	i, err := issuer.New(time.Now().Add(-time.Hour), 24*time.Hour)
	assert.NilError(t, err)
	return &testCA{Issuer: i, t: t, dir: t.TempDir()}
}

// issue writes a certificate that expires after validity, and returns its directory.
func (ca *testCA) issue(subdir, name, role string, validity time.Duration) string {
	ca.t.Helper()
	bundle, err := ca.Issue(issuer.Request{
		Name: name, Roles: []string{role}, Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		NotBefore: time.Now().Add(-time.Hour), Validity: time.Hour + validity,
	})
	assert.NilError(ca.t, err)
	dir := filepath.Join(ca.dir, subdir)
	assert.NilError(ca.t, os.MkdirAll(dir, 0o700))
	assert.NilError(ca.t, bundle.Write(dir))
	return dir
}

func tlsFilesIn(dir string) *starter.TLSFiles {
	return &starter.TLSFiles{
		CA:          filepath.Join(dir, issuer.CAFile),
		Certificate: filepath.Join(dir, issuer.CertificateFile),
		Key:         filepath.Join(dir, issuer.KeyFile),
	}
}

// useTLS issues a certificate for the daemon's host and uses it for all listeners.
func (ca *testCA) useTLS(s *starter.Settings) {
	dir := ca.issue(string(s.Host), string(s.Host), string(certifier.RoleDaemon), time.Hour)
	public := tlsFilesIn(dir)
	public.CA = ""
	s.TLS = starter.ListenerTLS{Callers: public, Peers: tlsFilesIn(dir), Operators: tlsFilesIn(dir)}
}

// clientTLS returns a client configuration that trusts the CA.
func (ca *testCA) clientTLS() *tls.Config {
	raw, err := os.ReadFile(filepath.Join(ca.dir, "entry-01", issuer.CAFile))
	assert.NilError(ca.t, err)
	pool := x509.NewCertPool()
	assert.Assert(ca.t, pool.AppendCertsFromPEM(raw))
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}

// runCtl runs cardamomctl with the client certificate in dir.
func (f *fixture) runCtl(caFile, dir string, args ...string) (commander.ExitCode, string) {
	f.t.Helper()
	var out bytes.Buffer
	var addresses []string
	for _, name := range f.HostNames() {
		addresses = append(addresses, f.Hosts[name].OperatorAddress.String())
	}
	c, err := commander.New(commander.Config{
		OpenStore: func(commander.Connection) (client.ObjectStore, error) {
			return nil, errors.New("the test has no store")
		},
		Clock: clockwork.NewRealClock(), Random: strings.NewReader(""), Getenv: func(string) string { return "" },
		In: strings.NewReader(""), Out: &out, Err: &out, RetryPause: time.Millisecond, Attempts: 1,
	})
	assert.NilError(f.t, err)
	own := tlsFilesIn(dir)
	args = append(args, "--daemons", strings.Join(addresses, ","),
		"--tls-ca", caFile, "--tls-certificate", own.Certificate, "--tls-key", own.Key)
	return c.Run(f.t.Context(), args), out.String()
}

func newTLSFixture(t *testing.T, ca *testCA) *fixture {
	f := newFixture(t, assembler.Config{Plan: newTestPlan(2), Adjust: ca.useTLS, CertificateInterval: 20 * time.Millisecond})
	f.scheme = "https"
	f.client.Transport.(*http.Transport).TLSClientConfig = ca.clientTLS()
	return f
}

// allPeersExchangeHeartbeats reports whether all daemons have received a heartbeat
// of a peer.
func (f *fixture) allPeersExchangeHeartbeats(dir string) bool {
	code, output := f.runCtl(tlsFilesIn(dir).CA, dir, "status", "--output", "json")
	return code == commander.ExitOK && strings.Count(output, `"heard-age"`) == len(f.Hosts)
}

// TestListenersRequireCertificates guards against a listener for operators that
// accepts certificates without an operator's role, expired ones, or those of
// another CA.
func TestListenersRequireCertificates(t *testing.T) {
	ca := newTestCA(t)
	f := newTLSFixture(t, ca)
	read := ca.issue("read", "ana", string(certifier.RoleRead), time.Hour)
	operate := ca.issue("operate", "ana", string(certifier.RoleOperate), time.Hour)
	f.eventually("peers exchange heartbeats over TLS", func() bool { return f.allPeersExchangeHeartbeats(read) })
	other := newTestCA(t)
	cases := []struct {
		name, dir string
		want      commander.ExitCode
	}{
		{"read", read, commander.ExitOK},
		{"operate", operate, commander.ExitOK},
		{"a daemon's role", ca.issue("wrong-role", "ana", string(certifier.RoleDaemon), time.Hour), commander.ExitFailure},
		{"no role", ca.issue("no-role", "ana", "", time.Hour), commander.ExitFailure},
		{"expired", ca.issue("expired", "ana", string(certifier.RoleRead), -time.Minute), commander.ExitFailure},
		{"other CA", other.issue("read", "ana", string(certifier.RoleRead), time.Hour), commander.ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, output := f.runCtl(tlsFilesIn(read).CA, c.dir, "status")
			assert.Equal(t, code, c.want, output)
		})
	}
	f.client.Transport.(*http.Transport).TLSClientConfig = f.clientTLS(read)
	got := f.metrics()
	for _, listener := range []string{"callers", "peers", "operators"} {
		assert.Assert(t, regexp.MustCompile(`cardamomscale_certificate_expiry_seconds\{data_centre="antigua",listener="`+listener+`"\} 3[0-9]{3}`).MatchString(got), got)
	}
	answer := f.complete(0, "how do I dry cardamom", false, callerHeader())
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
}

// TestCertificatesAreRenewedWithoutRestart guards against a daemon that keeps
// using its old certificate for new connections after the files have changed.
func TestCertificatesAreRenewedWithoutRestart(t *testing.T) {
	ca := newTestCA(t)
	f := newTLSFixture(t, ca)
	before := f.callerCertificateSerial()
	ca.issue("entry-01", "entry-01", string(certifier.RoleDaemon), 2*time.Hour)
	f.eventually("the new certificate is in use", func() bool { return f.callerCertificateSerial() != before })
}

// callerCertificateSerial returns the serial number of the first host's certificate for callers.
func (f *fixture) callerCertificateSerial() string {
	d := tls.Dialer{Config: f.client.Transport.(*http.Transport).TLSClientConfig}
	conn, err := d.DialContext(f.t.Context(), "tcp", f.host(0).CallerAddress.String())
	assert.NilError(f.t, err)
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestPeerWithOtherHostsCertificateIsRejected guards against a daemon that sends
// heartbeats with the certificate of another host.
func TestPeerWithOtherHostsCertificateIsRejected(t *testing.T) {
	ca := newTestCA(t)
	f := newFixture(t, assembler.Config{Plan: newTestPlan(3), Adjust: func(s *starter.Settings) {
		ca.useTLS(s)
		if s.Host == "entry-03" {
			s.TLS.Peers = tlsFilesIn(ca.issue("stolen", "entry-02", string(certifier.RoleDaemon), time.Hour))
		}
	}})
	read := ca.issue("read", "ana", string(certifier.RoleRead), time.Hour)
	others := []identifier.Host{"entry-01", "entry-02"}
	f.eventually("the other daemons exchange heartbeats", func() bool {
		return f.hasHeartbeatOf(read, "entry-01", "entry-02") && f.hasHeartbeatOf(read, "entry-02", "entry-01")
	})
	for _, host := range others {
		assert.Assert(t, !f.hasHeartbeatOf(read, host, "entry-03"), "%s has a heartbeat of entry-03", host)
		assert.Assert(t, !f.hasHeartbeatOf(read, "entry-03", host), "entry-03 has a heartbeat of %s", host)
	}
}

// hasHeartbeatOf reports whether the daemon of host has received a heartbeat of other.
func (f *fixture) hasHeartbeatOf(dir string, host, other identifier.Host) bool {
	f.t.Helper()
	config := f.clientTLS(dir)
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	i, err := inspector.New(inspector.Config{Client: &http.Client{Transport: transport}, Scheme: "https", Timeout: testTimeout})
	assert.NilError(f.t, err)
	status, err := i.Status(f.t.Context(), f.Hosts[host].OperatorAddress)
	assert.NilError(f.t, err)
	return slices.ContainsFunc(status.Peers, func(p describer.Peer) bool { return p.Host == other })
}

// clientTLS returns a client configuration with the certificate in dir.
func (f *fixture) clientTLS(dir string) *tls.Config {
	own := tlsFilesIn(dir)
	raw, err := os.ReadFile(own.CA)
	assert.NilError(f.t, err)
	pool := x509.NewCertPool()
	assert.Assert(f.t, pool.AppendCertsFromPEM(raw))
	pair, err := tls.LoadX509KeyPair(own.Certificate, own.Key)
	assert.NilError(f.t, err)
	return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
}

// TestExpiredCertificateIsNotUsed checks that a daemon does not start with an
// expired certificate.
func TestExpiredCertificateIsNotUsed(t *testing.T) {
	ca := newTestCA(t)
	s := starter.DefaultSettings()
	s.Host, s.Listen = "entry-01", netip.MustParseAddrPort("127.0.0.1:0")
	s.PeerListen, s.OperatorListen = s.Listen, s.Listen
	s.Platform.Objects = []netip.AddrPort{s.Listen}
	s.Secrets.BlockSecret = "0123456789abcdef"
	s.TLS.Peers = tlsFilesIn(ca.issue("old", "entry-01", string(certifier.RoleDaemon), -time.Minute))
	_, err := daemon.New(daemon.Config{Settings: s})
	assert.ErrorContains(t, err, "certificate of \"entry-01\" is valid from")
}
