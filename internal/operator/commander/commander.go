// Package commander implements cardamomctl, the command line for operators: it
// edits the configuration on the platform and shows the status of daemons.
package commander

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Connection holds the options for connecting to the platform.
type Connection struct {
	// Platform lists the addresses of the object API.
	Platform []netip.AddrPort
	// Timeout is the time limit of a call.
	Timeout time.Duration
}

// Config holds the options of a Commander.
type Config struct {
	// OpenStore returns a client for the platform's object API.
	OpenStore func(Connection) (client.ObjectStore, error)
	// Transport is used for calls to daemons; nil means a new http.Transport.
	Transport http.RoundTripper
	// Clock is used for the times of changes and for waiting.
	Clock clockwork.Clock
	// Random is the source of change tokens.
	Random io.Reader
	// Getenv returns the value of an environment variable.
	Getenv func(string) string
	// In, Out and Err are the standard streams.
	In       io.Reader
	Out, Err io.Writer
	// RetryPause is the time between attempts of a call to the platform and
	// between polls of daemons.
	RetryPause time.Duration
	// Attempts is the maximum number of attempts of a call to the platform.
	Attempts int
}

// Commander runs command lines.
type Commander struct{ cfg Config }

// New returns a Commander, or an *Error if cfg is invalid.
func New(cfg Config) (*Commander, error) {
	if cfg.OpenStore == nil || cfg.Clock == nil || cfg.Random == nil || cfg.Getenv == nil {
		return nil, newError("new commander", KindFailure, errors.New("OpenStore, Clock, Random or Getenv is missing"))
	}
	if cfg.Attempts < 1 || cfg.RetryPause <= 0 {
		return nil, newError("new commander", KindFailure, errors.New("Attempts or RetryPause is not positive"))
	}
	return &Commander{cfg: cfg}, nil
}

// Run runs the command line args, without the name of the program, and returns
// its exit code. It writes results to Out and errors to Err.
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
	commandErr := toError(err)
	s.printer().failure(commandErr)
	return commandErr.exitCode()
}

func newRootCommand(s *session) *cobra.Command {
	root := newGroupCommand("cardamomctl", "Operate a fleet of cardamomd daemons")
	root.SilenceErrors = true
	root.SilenceUsage = true
	s.addFlags(root)
	addEntryCommands(root, s)
	root.AddCommand(
		newWeightsCommand(s),
		newConfigCommand(s),
		newCheckCommand(s),
		newStatusCommand(s),
		newExplainCommand(s),
	)
	return root
}

// newGroupCommand returns a command that only has subcommands.
func newGroupCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := errors.Newf("%q needs a subcommand, see %q", cmd.CommandPath(), cmd.CommandPath()+" --help")
			return newError("read command line", KindUsage, err)
		},
	}
}
