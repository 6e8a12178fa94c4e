// Package issuer creates throwaway certificates for tests and the demo.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of an Issuer.
type Kind string

// The kinds of failure.
const (
	// KindSign reports that a certificate could not be created.
	KindSign Kind = "sign"
	// KindWrite reports that a file could not be written.
	KindWrite Kind = "write"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Names and mode of the files that Bundle.Write creates.
const (
	CAFile          = "ca.pem"
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"

	fileMode = 0o600
	// serialBits is the length of the random serial numbers.
	serialBits = 120
)

// Issuer is an in-memory certificate authority.
type Issuer struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

// New returns an Issuer whose own certificate is valid from notBefore for validity.
func New(notBefore time.Time, validity time.Duration) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, newError("new issuer", KindSign, err)
	}
	template, err := newTemplate("issuer", notBefore, validity)
	if err != nil {
		return nil, newError("new issuer", KindSign, err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, newError("new issuer", KindSign, err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, newError("new issuer", KindSign, err)
	}
	return &Issuer{key: key, cert: cert, der: der}, nil
}

// Request describes the certificate to issue.
type Request struct {
	// Name is the common name, such as a host's name.
	Name string
	// Roles become organisational units.
	Roles     []string
	Addresses []netip.Addr
	NotBefore time.Time
	Validity  time.Duration
}

// Bundle holds a certificate, its key and the CA certificate, each in PEM.
type Bundle struct {
	CA          []byte
	Certificate []byte
	Key         []byte
}

// Issue creates a certificate for server and client authentication.
func (i *Issuer) Issue(request Request) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, newError("issue", KindSign, err)
	}
	template, err := newTemplate(request.Name, request.NotBefore, request.Validity)
	if err != nil {
		return Bundle{}, newError("issue", KindSign, err)
	}
	template.Subject.OrganizationalUnit = request.Roles
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, addr := range request.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(addr.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		return Bundle{}, newError("issue", KindSign, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Bundle{}, newError("issue", KindSign, err)
	}
	return Bundle{
		CA:          encode("CERTIFICATE", i.der),
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", keyDER),
	}, nil
}

// Write writes the bundle's files to the directory dir.
func (b Bundle) Write(dir string) error {
	files := []struct {
		name string
		data []byte
	}{
		{CAFile, b.CA},
		{KeyFile, b.Key},
		{CertificateFile, b.Certificate},
	}
	for _, file := range files {
		path := filepath.Join(dir, file.name)
		if err := os.WriteFile(path, file.data, fileMode); err != nil {
			return newError("write bundle", KindWrite, errors.Wrapf(err, "file %q", path))
		}
	}
	return nil
}

func newTemplate(name string, notBefore time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notBefore.Add(validity),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
