package commander

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// editFlags holds the flags of commands that change the configuration.
type editFlags struct {
	message     string
	expect      uint64
	wait        bool
	waitTimeout time.Duration
}

// addEditFlags adds the edit flags to cmd and makes it apply the edit that newEdit
// returns for its arguments.
func addEditFlags(s *session, cmd *cobra.Command, newEdit func(args []string) (edit, error)) {
	var opts editFlags
	flags := cmd.Flags()
	flags.StringVarP(&opts.message, "message", "m", "", "why the change is made")
	flags.Uint64Var(&opts.expect, "expect", 0, "refuse the change unless this version is in force")
	flags.BoolVar(&opts.wait, "wait", false, "wait until the change is in force at all daemons")
	flags.DurationVar(&opts.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit of --wait")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e, err := newEdit(args)
		if err != nil {
			return err
		}
		e.message = opts.message
		e.expect = opts.expect
		return s.runEdit(cmd.Context(), e, opts)
	}
}

// runEdit applies e, waits for the daemons if --wait is given, and prints the
// result.
func (s *session) runEdit(ctx context.Context, e edit, opts editFlags) error {
	var w *waiter
	if opts.wait {
		i, addresses, err := s.newInspector()
		if err != nil {
			return err
		}
		w = &waiter{inspector: i, addresses: addresses, clock: s.cfg.Clock, pause: s.cfg.RetryPause}
	}
	a, err := s.newApplier()
	if err != nil {
		return err
	}
	result, err := a.apply(ctx, e)
	if err != nil {
		return err
	}
	if w == nil {
		return s.printer().outcome(result)
	}
	result.Unconfirmed = w.wait(ctx, result, opts.waitTimeout)
	if err := s.printer().outcome(result); err != nil {
		return err
	}
	if len(result.Unconfirmed) == 0 {
		return nil
	}
	err = errors.Newf("version %d is accepted, but not known to be in force everywhere within %v", result.Version, opts.waitTimeout)
	notInForce := newError(e.op, KindNotInForce, err)
	notInForce.Unconfirmed = result.Unconfirmed
	return notInForce
}
