package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/entry/certifier"
)

// certificates are the TLS identities of the daemon's listeners; nil means plain TCP.
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

// named returns the identities in use by their listeners' names.
func (c *certificates) named() map[string]*certifier.Certifier {
	named := map[string]*certifier.Certifier{}
	for name, one := range map[string]*certifier.Certifier{"callers": c.callers, "peers": c.peers, "operators": c.operators} {
		if one != nil {
			named[name] = one
		}
	}
	return named
}

// Run follows the files of all identities until ctx ends.
func (c *certificates) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range c.named() {
		group.Go(func() error { return one.Run(ctx) })
	}
	return group.Wait()
}

// secureCallers lets callers in over TLS when the listener has an identity.
func (c *certificates) secureCallers(listener net.Listener) net.Listener {
	if c.callers == nil {
		return listener
	}
	return tls.NewListener(listener, c.callers.PublicConfig())
}

// secureOperators lets only operators in when the listener has an identity.
// All of the endpoint's paths read, so that either role will do.
func (c *certificates) secureOperators(listener net.Listener) net.Listener {
	if c.operators == nil {
		return listener
	}
	return tls.NewListener(listener, c.operators.ServerConfig(certifier.RoleRead, certifier.RoleOperate))
}
