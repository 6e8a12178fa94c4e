package commander

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/operator/inspector"
)

// maxCalls bounds the daemons that are asked at once.
const maxCalls = 32

// askStatus asks all daemons and returns their answers in the same order.
func askStatus(ctx context.Context, i *inspector.Inspector, addresses []netip.AddrPort) []answer {
	answers := make([]answer, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for n, address := range addresses {
		group.Go(func() error {
			status, err := i.Status(ctx, address)
			answers[n] = answer{address: address, status: status, Err: err}
			return nil
		})
	}
	_ = group.Wait() // The calls return their errors in answers.
	return answers
}

// daemonReport is the status of one daemon in JSON.
type daemonReport struct {
	Address string            `json:"address"`
	Status  *describer.Status `json:"status,omitempty"`
	Error   string            `json:"error,omitempty"`
}

func newStatusCommand(s *session) *cobra.Command {
	var targets bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of all daemons",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			i, addresses, err := s.newInspector()
			if err != nil {
				return err
			}
			answers := askStatus(cmd.Context(), i, addresses)
			if err := printStatus(s, answers, targets); err != nil {
				return err
			}
			return unanswered(answers)
		},
	}
	cmd.Flags().BoolVar(&targets, "targets", false, "show each daemon's view of the targets too")
	return cmd
}

func printStatus(s *session, answers []answer, targets bool) error {
	if s.output == outputJSON {
		return s.printer().json(reports(answers))
	}
	s.printer().table(daemonRows(answers))
	s.printer().table(dataCentreRows(answers))
	if targets {
		s.printer().table(targetRows(answers))
	}
	return nil
}

// unanswered returns an *Error when a daemon did not answer.
func unanswered(answers []answer) error {
	silent := 0
	for _, a := range answers {
		if a.Err != nil {
			silent++
		}
	}
	if silent == 0 {
		return nil
	}
	err := errors.Newf("%d of %d daemons did not answer", silent, len(answers))
	return failure("read status", KindFailure, err)
}

func reports(answers []answer) []daemonReport {
	var result []daemonReport
	for _, a := range answers {
		report := daemonReport{Address: a.address.String()}
		if a.Err != nil {
			report.Error = a.Err.Error()
		} else {
			report.Status = &a.status
		}
		result = append(result, report)
	}
	return result
}

func daemonRows(answers []answer) [][]string {
	rows := [][]string{{"address", "host", "data-centre", "version", "state", "platform", "peers", "in-flight"}}
	for _, a := range answers {
		if a.Err != nil {
			rows = append(rows, []string{a.address.String(), "", "", "", "no answer", "", "", ""})
			continue
		}
		st := a.status
		rows = append(rows, []string{
			a.address.String(), string(st.Host), string(st.DataCentre),
			strconv.FormatUint(st.ConfigVersion, 10), daemonState(st), platformState(st.Platform),
			strconv.Itoa(len(st.Peers)), strconv.Itoa(st.InFlight),
		})
	}
	return rows
}

func daemonState(st describer.Status) string {
	switch {
	case st.Leaving:
		return "leaving"
	case st.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func platformState(p describer.Platform) string {
	if p.Reachable {
		return "reachable"
	}
	return "last contact " + p.LastContactAge.String() + " ago"
}

func dataCentreRows(answers []answer) [][]string {
	rows := [][]string{{"host", "data-centre", "state", "reachable"}}
	for _, a := range answers {
		for _, d := range a.status.DataCentres {
			rows = append(rows, []string{string(a.status.Host), string(d.Name), string(d.State), strconv.FormatBool(d.Reachable)})
		}
	}
	return rows
}

func targetRows(answers []answer) [][]string {
	rows := [][]string{{"host", "target", "state", "incarnation", "cold", "cold-limit-in-force", "running", "queued", "age", "owner"}}
	for _, a := range answers {
		for _, t := range a.status.Targets {
			rows = append(rows, []string{
				string(a.status.Host), string(t.Name), string(t.State),
				strconv.FormatUint(uint64(t.Incarnation), 10), strconv.FormatBool(t.Cold),
				strconv.Itoa(t.ColdLimitInForce), strconv.Itoa(t.Running), strconv.Itoa(t.Queued),
				t.Age.String(), string(t.Owner),
			})
		}
	}
	return rows
}
