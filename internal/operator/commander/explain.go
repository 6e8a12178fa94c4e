package commander

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/operator/inspector"
)

func newExplainCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show what the daemons did with one request",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			i, addresses, err := s.newInspector()
			if err != nil {
				return err
			}
			found, err := fetchExplanations(cmd.Context(), i, addresses, identifier.Request(args[0]))
			if err != nil {
				return err
			}
			if s.output == outputJSON {
				return s.printer().json(found)
			}
			s.printer().table(stepRows(found))
			return nil
		},
	}
}

// fetchExplanations returns the explanations of all daemons that know the request,
// or an *Error if there are none.
func fetchExplanations(ctx context.Context, i *inspector.Inspector, addresses []netip.AddrPort, id identifier.Request) ([]describer.Explanation, error) {
	explanations := make([]describer.Explanation, len(addresses))
	errs := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for n, address := range addresses {
		group.Go(func() error {
			explanations[n], errs[n] = i.Explain(ctx, address, id)
			return nil
		})
	}
	_ = group.Wait() // The errors are in errs.
	var found []describer.Explanation
	failed := 0
	for n, err := range errs {
		var inspectErr *inspector.Error
		switch {
		case err == nil:
			found = append(found, explanations[n])
		case errors.As(err, &inspectErr) && inspectErr.Kind == inspector.KindNotFound:
		default:
			failed++
		}
	}
	if len(found) > 0 {
		return found, nil
	}
	err := errors.Newf("no daemon knows request %q; %d of %d did not answer", id, failed, len(addresses))
	return nil, newError("explain request", KindFailure, err)
}

func stepRows(found []describer.Explanation) [][]string {
	rows := [][]string{{"host", "at", "kind", "detail"}}
	for _, explanation := range found {
		for _, step := range explanation.Steps {
			rows = append(rows, []string{string(explanation.Host), step.At.UTC().Format(time.RFC3339Nano), step.Kind, step.Detail})
		}
	}
	return rows
}
