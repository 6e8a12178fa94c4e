package commander

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// editFlags are the flags of each command that changes the configuration.
type editFlags struct {
	message     string
	expect      uint64
	wait        bool
	waitTimeout time.Duration
}

// addEdit makes cmd apply the edit that newEdit returns for its arguments.
func addEdit(s *session, cmd *cobra.Command, newEdit func(args []string) (edit, error)) {
	var given editFlags
	flags := cmd.Flags()
	flags.StringVarP(&given.message, "message", "m", "", "why the change is made")
	flags.Uint64Var(&given.expect, "expect", 0, "refuse the change unless this version is in force")
	flags.BoolVar(&given.wait, "wait", false, "wait until the change is in force at all daemons")
	flags.DurationVar(&given.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit of --wait")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e, err := newEdit(args)
		if err != nil {
			return err
		}
		e.message = given.message
		e.expect = given.expect
		return s.runEdit(cmd.Context(), e, given)
	}
}

func (s *session) runEdit(ctx context.Context, e edit, given editFlags) error {
	var w *waiter
	if given.wait {
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
	result.Missing = w.wait(ctx, result, given.waitTimeout)
	if err := s.printer().outcome(result); err != nil {
		return err
	}
	if len(result.Missing) == 0 {
		return nil
	}
	err = errors.Newf("version %d is accepted, but not known to be in force everywhere within %v", result.Version, given.waitTimeout)
	notInForce := failure(e.op, KindNotInForce, err)
	notInForce.Missing = result.Missing
	return notInForce
}
