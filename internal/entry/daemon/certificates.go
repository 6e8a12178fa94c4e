package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/entry/certifier"
)

// certificates are the TLS certificates of the daemon's listeners; nil means plain TCP.
type certificates struct {
	callers   *certifier.Certifier
	peers     *certifier.Certifier
	operators *certifier.Certifier
}

func newCertificates(cfg Config) (*certificates, error) {
	c := &certificates{}
	files := cfg.Settings.TLS
	var err error
	if c.callers, err = newCertifier(cfg, "callers", files.Callers); err != nil {
		return nil, err
	}
	if c.peers, err = newCertifier(cfg, "peers", files.Peers); err != nil {
		return nil, err
	}
	if c.operators, err = newCertifier(cfg, "operators", files.Operators); err != nil {
		return nil, err
	}
	return c, nil
}

func newCertifier(cfg Config, listener string, files *starter.TLSFiles) (*certifier.Certifier, error) {
	if files == nil {
		return nil, nil
	}
	c, err := certifier.New(certifier.Config{
		Clock: cfg.Clock, CAFile: files.CA, CertificateFile: files.Certificate, KeyFile: files.Key,
		Interval: cfg.CertificateInterval, Logger: cfg.Logger.Named("certifier").With("listener", listener),
	})
	if err != nil {
		return nil, newError("read tls."+listener, KindConfig, err)
	}
	return c, nil
}

// byListener returns the configured certificates by the names of their listeners.
func (c *certificates) byListener() map[string]*certifier.Certifier {
	inUse := map[string]*certifier.Certifier{}
	for name, cert := range map[string]*certifier.Certifier{"callers": c.callers, "peers": c.peers, "operators": c.operators} {
		if cert != nil {
			inUse[name] = cert
		}
	}
	return inUse
}

// Run reloads the certificates when their files change, until ctx ends.
func (c *certificates) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, cert := range c.byListener() {
		group.Go(func() error { return cert.Run(ctx) })
	}
	return group.Wait()
}

// wrapCallers returns a TLS listener if a certificate is configured for callers.
func (c *certificates) wrapCallers(listener net.Listener) net.Listener {
	if c.callers == nil {
		return listener
	}
	return tls.NewListener(listener, c.callers.PublicConfig())
}

// wrapOperators returns a TLS listener that requires a client certificate of an
// operator, if a certificate is configured. Both roles are accepted since all
// paths are read-only.
func (c *certificates) wrapOperators(listener net.Listener) net.Listener {
	if c.operators == nil {
		return listener
	}
	return tls.NewListener(listener, c.operators.ServerConfig(certifier.RoleRead, certifier.RoleOperate))
}
