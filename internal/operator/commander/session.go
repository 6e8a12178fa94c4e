package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/operator/inspector"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// The environment variables with the defaults of flags.
const (
	envPlatform       = "CARDAMOM_PLATFORM"
	envDaemons        = "CARDAMOM_DAEMONS"
	envAuthor         = "CARDAMOM_AUTHOR"
	envTLSCA          = "CARDAMOM_TLS_CA"
	envTLSCertificate = "CARDAMOM_TLS_CERTIFICATE"
	envTLSKey         = "CARDAMOM_TLS_KEY"
)

// The defaults of other flags.
const (
	defaultTimeout     = 5 * time.Second
	defaultWaitTimeout = 10 * time.Second
)

// session holds the global flags of one command line and creates the clients that
// they configure.
type session struct {
	cfg            Config
	platform       string
	daemons        string
	author         string
	output         string
	tlsCA          string
	tlsCertificate string
	tlsKey         string
	timeout        time.Duration
}

func (s *session) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&s.platform, "platform", s.cfg.Getenv(envPlatform), "comma-separated IP:PORT addresses of the object API ($"+envPlatform+")")
	flags.StringVar(&s.daemons, "daemons", s.cfg.Getenv(envDaemons), "comma-separated IP:PORT operator addresses of all daemons ($"+envDaemons+")")
	flags.StringVar(&s.author, "author", s.cfg.Getenv(envAuthor), "author of the change ($"+envAuthor+")")
	flags.StringVarP(&s.output, "output", "o", outputTable, "output format: table or json")
	flags.StringVar(&s.tlsCA, "tls-ca", s.cfg.Getenv(envTLSCA), "certificate authority file ($"+envTLSCA+")")
	flags.StringVar(&s.tlsCertificate, "tls-certificate", s.cfg.Getenv(envTLSCertificate), "operator certificate file ($"+envTLSCertificate+")")
	flags.StringVar(&s.tlsKey, "tls-key", s.cfg.Getenv(envTLSKey), "private key file of the operator certificate ($"+envTLSKey+")")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "time limit of a call")
	completeOutput := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := root.RegisterFlagCompletionFunc("output", completeOutput); err != nil {
		root.PrintErrln(err)
	}
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return s.validateFlags() }
}

// validateFlags returns an *Error if a global flag has an invalid value.
func (s *session) validateFlags() error {
	if s.output != outputTable && s.output != outputJSON {
		err := errors.Newf("--output is %q, want table or json", s.output)
		s.output = outputTable
		return newError("read command line", KindUsage, err)
	}
	if s.timeout <= 0 {
		return newError("read command line", KindUsage, errors.Newf("--timeout is %v, want above 0s", s.timeout))
	}
	return nil
}

func (s *session) printer() *printer {
	return &printer{out: s.cfg.Out, err: s.cfg.Err, output: s.output}
}

// newApplier returns an applier for the platform given by the flags.
func (s *session) newApplier() (*applier, error) {
	store, err := s.openStore()
	if err != nil {
		return nil, err
	}
	return &applier{
		store:    store,
		clock:    s.cfg.Clock,
		random:   s.cfg.Random,
		pause:    s.cfg.RetryPause,
		attempts: s.cfg.Attempts,
		author:   s.author,
	}, nil
}

func (s *session) openStore() (client.ObjectStore, error) {
	platform, err := parseAddresses("--platform", s.platform)
	if err != nil {
		return nil, err
	}
	store, err := s.cfg.OpenStore(Connection{Platform: platform, Timeout: s.timeout})
	if err != nil {
		return nil, platformError("open platform", err)
	}
	return store, nil
}

// readConfig reads the configuration in force.
func (s *session) readConfig(ctx context.Context) (currentConfig, error) {
	a, err := s.newApplier()
	if err != nil {
		return currentConfig{}, err
	}
	return a.readConfig(ctx)
}

// newInspector returns an Inspector and the daemon addresses given by the flags.
func (s *session) newInspector() (*inspector.Inspector, []netip.AddrPort, error) {
	addresses, err := parseAddresses("--daemons", s.daemons)
	if err != nil {
		return nil, nil, err
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, nil, err
	}
	transport := s.cfg.Transport
	if transport == nil {
		transport = &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	cfg := inspector.Config{Client: &http.Client{Transport: transport}, Scheme: scheme, Timeout: s.timeout}
	i, err := inspector.New(cfg)
	if err != nil {
		return nil, nil, newError("open daemons", KindFailure, err)
	}
	return i, addresses, nil
}

// tlsConfig loads the TLS files given by the flags; it returns nil if none are
// given.
func (s *session) tlsConfig() (*tls.Config, error) {
	const op = "read TLS files"
	if s.tlsCA == "" && s.tlsCertificate == "" && s.tlsKey == "" {
		return nil, nil
	}
	authority, err := os.ReadFile(s.tlsCA)
	if err != nil {
		return nil, newError(op, KindUsage, errors.Wrap(err, "--tls-ca"))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, newError(op, KindUsage, errors.Newf("--tls-ca: file %q holds no certificate in PEM", s.tlsCA))
	}
	result := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if s.tlsCertificate == "" && s.tlsKey == "" {
		return result, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.tlsCertificate, s.tlsKey)
	if err != nil {
		return nil, newError(op, KindUsage, errors.Wrap(err, "--tls-certificate and --tls-key"))
	}
	result.Certificates = []tls.Certificate{certificate}
	return result, nil
}

// parseAddresses parses a comma-separated list of at least one address.
func parseAddresses(flag, text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, newError("read command line", KindUsage, errors.Newf("%s is missing, want addresses IP:PORT", flag))
	}
	var result []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, newError("read command line", KindUsage, errors.Wrap(err, flag))
		}
		result = append(result, address)
	}
	return result, nil
}
