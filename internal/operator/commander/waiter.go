package commander

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/operator/inspector"
)

// UnconfirmedDaemon is a daemon at which a change is not known to be in force.
type UnconfirmedDaemon struct {
	// Host is empty for a daemon that did not answer.
	Host identifier.Host `json:"host,omitempty"`
	// Address is empty for a host of the configuration for which no daemon
	// answered.
	Address string `json:"address,omitempty"`
	// Reason says why the change is not confirmed.
	Reason string `json:"reason"`
}

// waiter polls daemons until they confirm a change.
type waiter struct {
	inspector *inspector.Inspector
	addresses []netip.AddrPort
	clock     clockwork.Clock
	pause     time.Duration
}

// wait polls for at most timeout until the version of result is in force at all
// daemons, and returns the daemons at which it is not.
func (w *waiter) wait(ctx context.Context, result outcome, timeout time.Duration) []UnconfirmedDaemon {
	end := w.clock.Now().Add(timeout)
	confirmed := map[identifier.Host]bool{}
	pending := w.addresses
	for {
		statuses := fetchStatuses(ctx, w.inspector, pending)
		pending = nil
		var unconfirmed []UnconfirmedDaemon
		for _, r := range statuses {
			if r.err == nil && r.status.ConfigVersion >= result.Version {
				confirmed[r.status.Host] = true
				continue
			}
			pending = append(pending, r.address)
			unconfirmed = append(unconfirmed, r.unconfirmed())
		}
		unconfirmed = append(unconfirmed, hostsWithoutAnswer(result, confirmed, unconfirmed)...)
		if len(unconfirmed) == 0 || len(pending) == 0 || !w.clock.Now().Before(end) || !w.sleep(ctx) {
			return unconfirmed
		}
	}
}

func (w *waiter) sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-w.clock.After(w.pause):
		return true
	}
}

// hostsWithoutAnswer returns the hosts of the configuration for which no daemon
// answered.
func hostsWithoutAnswer(result outcome, confirmed map[identifier.Host]bool, unconfirmed []UnconfirmedDaemon) []UnconfirmedDaemon {
	known := maps.Clone(confirmed)
	for _, d := range unconfirmed {
		known[d.Host] = true
	}
	var hosts []UnconfirmedDaemon
	for _, host := range slices.Sorted(maps.Keys(result.fleet.Hosts)) {
		if !known[host] {
			hosts = append(hosts, UnconfirmedDaemon{Host: host, Reason: "no address of --daemons answered for it"})
		}
	}
	return hosts
}

// statusResult is the status of a daemon, or the error of fetching it.
type statusResult struct {
	address netip.AddrPort
	status  describer.Status
	err     error
}

// unconfirmed returns the entry for a daemon that did not confirm a change.
func (r statusResult) unconfirmed() UnconfirmedDaemon {
	if r.err != nil {
		return UnconfirmedDaemon{Address: r.address.String(), Reason: r.err.Error()}
	}
	reason := fmt.Sprintf("version %d is in force", r.status.ConfigVersion)
	return UnconfirmedDaemon{Host: r.status.Host, Address: r.address.String(), Reason: reason}
}
