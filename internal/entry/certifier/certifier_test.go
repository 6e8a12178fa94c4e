package certifier

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/issuer"
)

// newCertifier issues a certificate, writes its files to dir and returns a Certifier
// that has loaded them.
func newCertifier(t *testing.T, clock clockwork.Clock, authority *issuer.Issuer, dir, role string, validity time.Duration) *Certifier {
	t.Helper()
	issueCertificate(t, clock, authority, dir, role, validity)
	c, err := New(Config{
		Clock:           clock,
		CAFile:          filepath.Join(dir, issuer.CAFile),
		CertificateFile: filepath.Join(dir, issuer.CertificateFile),
		KeyFile:         filepath.Join(dir, issuer.KeyFile),
	})
	assert.NilError(t, err)
	return c
}

// issueCertificate issues a certificate with a role and writes its files to dir.
func issueCertificate(t *testing.T, clock clockwork.Clock, authority *issuer.Issuer, dir, role string, validity time.Duration) {
	t.Helper()
	bundle, err := authority.Issue(issuer.Request{Name: "host", Roles: []string{role}, NotBefore: clock.Now(), Validity: validity})
	assert.NilError(t, err)
	assert.NilError(t, bundle.Write(dir))
}

// handshake connects client to server and returns the server's handshake error.
func handshake(t *testing.T, client, server *Certifier) error {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	go func() {
		conn := tls.Client(clientConn, client.ClientConfig(RoleDaemon))
		if conn.Handshake() == nil {
			conn.Read(make([]byte, 1))
		}
		clientConn.Close()
	}()
	return tls.Server(serverConn, server.ServerConfig(RoleDaemon)).Handshake()
}

func newCA(t *testing.T, clock clockwork.Clock) *issuer.Issuer {
	t.Helper()
	authority, err := issuer.New(clock.Now(), 24*time.Hour)
	assert.NilError(t, err)
	return authority
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	var failure *Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Kind, want)
}

// TestHandshakeRejectsInvalidClients checks the error kinds for clients without the
// role, with a certificate of another CA, and with an expired one.
func TestHandshakeRejectsInvalidClients(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	trustedCA, otherCA := newCA(t, clock), newCA(t, clock)
	server := newCertifier(t, clock, trustedCA, t.TempDir(), "daemon", 10*time.Hour)
	wrongRole := newCertifier(t, clock, trustedCA, t.TempDir(), "read", 10*time.Hour)
	untrusted := newCertifier(t, clock, otherCA, t.TempDir(), "daemon", 10*time.Hour)
	shortLived := newCertifier(t, clock, trustedCA, t.TempDir(), "daemon", time.Hour)
	assert.NilError(t, handshake(t, shortLived, server))
	assertKind(t, handshake(t, wrongRole, server), KindRole)
	untrusted.current.Store(&credentials{certificate: untrusted.current.Load().certificate, roots: server.current.Load().roots})
	assertKind(t, handshake(t, untrusted, server), KindUntrusted)
	clock.Advance(2 * time.Hour)
	assertKind(t, handshake(t, shortLived, server), KindExpired)
}

// TestReloadAppliesOnlyUsableFiles checks that a renewed certificate is taken over
// and that a partly written key file leaves the current certificate in use.
func TestReloadAppliesOnlyUsableFiles(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	authority := newCA(t, clock)
	dir := t.TempDir()
	c := newCertifier(t, clock, authority, dir, "daemon", time.Hour)
	first := c.Expiry()
	issueCertificate(t, clock, authority, dir, "daemon", 3*time.Hour)
	setFileTimes(t, dir, clock.Now().Add(time.Minute))
	assert.NilError(t, c.Reload())
	second := c.Expiry()
	assert.Assert(t, second.After(first))

	assert.NilError(t, os.WriteFile(filepath.Join(dir, issuer.KeyFile), []byte("half"), 0o600))
	setFileTimes(t, dir, clock.Now().Add(2*time.Minute))
	assertKind(t, c.Reload(), KindFile)
	assert.Equal(t, c.Expiry(), second)
}

// setFileTimes sets the modification times of the files. Two writes in quick
// succession may otherwise have the same time, and Reload would miss the second.
func setFileTimes(t *testing.T, dir string, at time.Time) {
	t.Helper()
	for _, name := range []string{issuer.CAFile, issuer.CertificateFile, issuer.KeyFile} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), at, at))
	}
}

// TestPublicConfigClientCertificates connects clients with and without certificates
// to listeners with and without a CA. A caller with any role is accepted, but
// ServerConfig with a role must reject everyone if there is no CA.
func TestPublicConfigClientCertificates(t *testing.T) {
	clock := clockwork.NewRealClock()
	authority := newCA(t, clock)
	withCA := newCertifier(t, clock, authority, t.TempDir(), "daemon", time.Hour)
	withoutCA, err := New(Config{Clock: clock, CertificateFile: withCA.cfg.CertificateFile, KeyFile: withCA.cfg.KeyFile})
	assert.NilError(t, err)
	anyRole := newCertifier(t, clock, authority, t.TempDir(), "caterer", time.Hour)
	untrusted := newCertifier(t, clock, newCA(t, clock), t.TempDir(), "caterer", time.Hour)
	cases := []struct {
		name   string
		server *tls.Config
		client *Certifier
		want   bool
	}{
		{"no CA, no certificate", withoutCA.PublicConfig(), nil, true},
		{"no CA, other CA's certificate", withoutCA.PublicConfig(), untrusted, true},
		{"CA, no certificate", withCA.PublicConfig(), nil, false},
		{"CA, any role", withCA.PublicConfig(), anyRole, true},
		{"CA, other CA's certificate", withCA.PublicConfig(), untrusted, false},
		{"no CA, required role", withoutCA.ServerConfig(RoleDaemon), withCA, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := &tls.Config{InsecureSkipVerify: true}
			if c.client != nil {
				client.GetClientCertificate = c.client.ClientConfig().GetClientCertificate
			}
			clientConn, serverConn := net.Pipe()
			defer serverConn.Close()
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer clientConn.Close()
				conn := tls.Client(clientConn, client)
				if conn.Handshake() == nil {
					conn.Read(make([]byte, 1))
				}
			}()
			err := tls.Server(serverConn, c.server).Handshake()
			serverConn.Close()
			<-done
			assert.Equal(t, err == nil, c.want, "%v", err)
		})
	}
}
