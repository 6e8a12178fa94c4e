// Package commander implements the operators' command line: it edits the
// configuration through the platform and asks daemons for their status.
package commander

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Connection says how to reach the platform.
type Connection struct {
	// Platform lists the addresses of the object API.
	Platform []netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Timeout bounds each call.
	Timeout time.Duration
}

// Config holds what a Commander is built from.
type Config struct {
	// OpenStore returns the platform's object API.
	OpenStore func(Connection) (client.ObjectStore, error)
	// Transport carries the calls to daemons; nil means a new http.Transport.
	Transport http.RoundTripper
	// Clock gives the time of changes and of waits.
	Clock clockwork.Clock
	// Random is the source of change tokens.
	Random io.Reader
	// Getenv returns the value of an environment variable.
	Getenv func(string) string
	// In, Out and Err are the standard streams.
	In       io.Reader
	Out, Err io.Writer
	// RetryPause is the time between attempts at the platform and between
	// polls of daemons.
	RetryPause time.Duration
	// Attempts bounds the attempts of one call to the platform.
	Attempts int
}

// Commander runs command lines.
type Commander struct{ cfg Config }

// New returns a Commander, or an *Error for an incomplete cfg.
func New(cfg Config) (*Commander, error) {
	if cfg.OpenStore == nil || cfg.Clock == nil || cfg.Random == nil || cfg.Getenv == nil {
		return nil, failure("new commander", KindFailure, errors.New("OpenStore, Clock, Random or Getenv is missing"))
	}
	if cfg.Attempts < 1 || cfg.RetryPause <= 0 {
		return nil, failure("new commander", KindFailure, errors.New("Attempts or RetryPause is not positive"))
	}
	return &Commander{cfg: cfg}, nil
}

// Run runs one command line without the program's name and returns its exit
// code. Results go to Out, failures to Err.
func (c *Commander) Run(ctx context.Context, args []string) ExitCode {
	s := &session{cfg: c.cfg}
	root := newRootCommand(s)
	root.SetArgs(args)
	root.SetIn(c.cfg.In)
	root.SetOut(c.cfg.Out)
	root.SetErr(c.cfg.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	known := asError(err)
	s.printer().failure(known)
	return known.exitCode()
}

func newRootCommand(s *session) *cobra.Command {
	root := newGroup("cardamomctl", "Operate a fleet of cardamomd daemons")
	root.SilenceErrors = true
	root.SilenceUsage = true
	s.addFlags(root)
	addEntryCommands(root, s)
	root.AddCommand(
		newWeightsCommand(s),
		newConfigCommand(s),
		newStatusCommand(s),
		newExplainCommand(s),
	)
	return root
}

// newGroup returns a command that only holds subcommands.
func newGroup(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := errors.Newf("%q needs a subcommand, see %q", cmd.CommandPath(), cmd.CommandPath()+" --help")
			return failure("read command line", KindUsage, err)
		},
	}
}
