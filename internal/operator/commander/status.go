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

// maxConcurrentCalls is the maximum number of concurrent calls to daemons.
const maxConcurrentCalls = 32

// fetchStatuses fetches the status of all daemons, in the order of addresses.
func fetchStatuses(ctx context.Context, i *inspector.Inspector, addresses []netip.AddrPort) []statusResult {
	statuses := make([]statusResult, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for n, address := range addresses {
		group.Go(func() error {
			status, err := i.Status(ctx, address)
			statuses[n] = statusResult{address: address, status: status, err: err}
			return nil
		})
	}
	_ = group.Wait() // The errors are in statuses.
	return statuses
}

// daemonReport is the JSON output for one daemon.
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
			statuses := fetchStatuses(cmd.Context(), i, addresses)
			if err := printStatus(s, statuses, targets); err != nil {
				return err
			}
			return checkAllAnswered(statuses)
		},
	}
	cmd.Flags().BoolVar(&targets, "targets", false, "show each daemon's view of the targets too")
	return cmd
}

func printStatus(s *session, statuses []statusResult, targets bool) error {
	if s.output == outputJSON {
		return s.printer().json(daemonReports(statuses))
	}
	s.printer().table(daemonRows(statuses))
	s.printer().table(dataCentreRows(statuses))
	if targets {
		s.printer().table(targetRows(statuses))
	}
	return nil
}

// checkAllAnswered returns an *Error if a daemon did not answer.
func checkAllAnswered(statuses []statusResult) error {
	failed := 0
	for _, r := range statuses {
		if r.err != nil {
			failed++
		}
	}
	if failed == 0 {
		return nil
	}
	err := errors.Newf("%d of %d daemons did not answer", failed, len(statuses))
	return newError("read status", KindFailure, err)
}

func daemonReports(statuses []statusResult) []daemonReport {
	var result []daemonReport
	for _, r := range statuses {
		report := daemonReport{Address: r.address.String()}
		if r.err != nil {
			report.Error = r.err.Error()
		} else {
			report.Status = &r.status
		}
		result = append(result, report)
	}
	return result
}

func daemonRows(statuses []statusResult) [][]string {
	rows := [][]string{{"address", "host", "data-centre", "version", "state", "platform", "peers", "in-flight"}}
	for _, r := range statuses {
		if r.err != nil {
			rows = append(rows, []string{r.address.String(), "", "", "", "no answer", "", "", ""})
			continue
		}
		st := r.status
		rows = append(rows, []string{
			r.address.String(), string(st.Host), string(st.DataCentre),
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

func dataCentreRows(statuses []statusResult) [][]string {
	rows := [][]string{{"host", "data-centre", "state", "reachable"}}
	for _, r := range statuses {
		for _, d := range r.status.DataCentres {
			rows = append(rows, []string{string(r.status.Host), string(d.Name), string(d.State), strconv.FormatBool(d.Reachable)})
		}
	}
	return rows
}

func targetRows(statuses []statusResult) [][]string {
	rows := [][]string{{"host", "target", "state", "incarnation", "cold", "cold-limit-in-force", "running", "queued", "age", "owner"}}
	for _, r := range statuses {
		for _, t := range r.status.Targets {
			rows = append(rows, []string{
				string(r.status.Host), string(t.Name), string(t.State),
				strconv.FormatUint(uint64(t.Incarnation), 10), strconv.FormatBool(t.Cold),
				strconv.Itoa(t.LimitInForce), strconv.Itoa(t.Running), strconv.Itoa(t.Queued),
				t.Age.String(), string(t.Owner),
			})
		}
	}
	return rows
}
