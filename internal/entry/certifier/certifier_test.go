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

// holder writes a certificate's files and reads them.
func holder(t *testing.T, clock clockwork.Clock, authority *issuer.Issuer, dir, role string, validity time.Duration) *Certifier {
	t.Helper()
	write(t, clock, authority, dir, role, validity)
	c, err := New(Config{
		Clock:           clock,
		CAFile:          filepath.Join(dir, issuer.CAFile),
		CertificateFile: filepath.Join(dir, issuer.CertificateFile),
		KeyFile:         filepath.Join(dir, issuer.KeyFile),
	})
	assert.NilError(t, err)
	return c
}

func write(t *testing.T, clock clockwork.Clock, authority *issuer.Issuer, dir, role string, validity time.Duration) {
	t.Helper()
	bundle, err := authority.Issue(issuer.Request{Name: "host", Roles: []string{role}, NotBefore: clock.Now(), Validity: validity})
	assert.NilError(t, err)
	assert.NilError(t, bundle.Write(dir))
}

// connect returns the server's verdict on a client.
func connect(t *testing.T, client, server *Certifier) error {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() {
		conn := tls.Client(near, client.ClientConfig(RoleDaemon))
		if conn.Handshake() == nil {
			conn.Read(make([]byte, 1))
		}
		near.Close()
	}()
	return tls.Server(far, server.ServerConfig(RoleDaemon)).Handshake()
}

func newAuthority(t *testing.T, clock clockwork.Clock) *issuer.Issuer {
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

func TestConnections(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	ours, theirs := newAuthority(t, clock), newAuthority(t, clock)
	server := holder(t, clock, ours, t.TempDir(), "daemon", 10*time.Hour)
	reader := holder(t, clock, ours, t.TempDir(), "read", 10*time.Hour)
	stranger := holder(t, clock, theirs, t.TempDir(), "daemon", 10*time.Hour)
	short := holder(t, clock, ours, t.TempDir(), "daemon", time.Hour)
	assert.NilError(t, connect(t, short, server))
	assertKind(t, connect(t, reader, server), KindRole)
	stranger.present.Store(&material{certificate: stranger.present.Load().certificate, roots: server.present.Load().roots})
	assertKind(t, connect(t, stranger, server), KindUntrusted)
	clock.Advance(2 * time.Hour)
	assertKind(t, connect(t, short, server), KindExpired)
}

func TestReload(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	authority := newAuthority(t, clock)
	dir := t.TempDir()
	c := holder(t, clock, authority, dir, "daemon", time.Hour)
	first := c.Expiry()
	write(t, clock, authority, dir, "daemon", 3*time.Hour)
	touch(t, dir, clock.Now().Add(time.Minute))
	assert.NilError(t, c.Reload())
	second := c.Expiry()
	assert.Assert(t, second.After(first))

	assert.NilError(t, os.WriteFile(filepath.Join(dir, issuer.KeyFile), []byte("half"), 0o600))
	touch(t, dir, clock.Now().Add(2*time.Minute))
	assertKind(t, c.Reload(), KindFile)
	assert.Equal(t, c.Expiry(), second)
}

// touch sets the files' times, since two writes may share one.
func touch(t *testing.T, dir string, at time.Time) {
	t.Helper()
	for _, name := range []string{issuer.CAFile, issuer.CertificateFile, issuer.KeyFile} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), at, at))
	}
}
