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

// Missing is a daemon at which a change is not known to be in force.
type Missing struct {
	// Host is empty for a daemon that never answered.
	Host identifier.Host `json:"host,omitempty"`
	// Address is empty for a host of the configuration that no address led to.
	Address string `json:"address,omitempty"`
	// Reason says what is known of the daemon.
	Reason string `json:"reason"`
}

// waiter polls daemons until a change is in force.
type waiter struct {
	inspector *inspector.Inspector
	addresses []netip.AddrPort
	clock     clockwork.Clock
	pause     time.Duration
}

// wait polls until the version of result is in force at all daemons, for at
// most timeout, and returns those at which it is not.
func (w *waiter) wait(ctx context.Context, result outcome, timeout time.Duration) []Missing {
	end := w.clock.Now().Add(timeout)
	confirmed := map[identifier.Host]bool{}
	pending := w.addresses
	for {
		answers := askStatus(ctx, w.inspector, pending)
		pending = nil
		var missing []Missing
		for _, a := range answers {
			if a.Err == nil && a.status.ConfigVersion >= result.Version {
				confirmed[a.status.Host] = true
				continue
			}
			pending = append(pending, a.address)
			missing = append(missing, a.missing())
		}
		missing = append(missing, unasked(result, confirmed, missing)...)
		if len(missing) == 0 || len(pending) == 0 || !w.clock.Now().Before(end) || !w.sleep(ctx) {
			return missing
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

// unasked returns the hosts of the configuration that no daemon answered for.
func unasked(result outcome, confirmed map[identifier.Host]bool, missing []Missing) []Missing {
	known := maps.Clone(confirmed)
	for _, m := range missing {
		known[m.Host] = true
	}
	var hosts []Missing
	for _, host := range slices.Sorted(maps.Keys(result.fleet.Hosts)) {
		if !known[host] {
			hosts = append(hosts, Missing{Host: host, Reason: "no address of --daemons answered for it"})
		}
	}
	return hosts
}

// answer is the status of one daemon, or why there is none.
type answer struct {
	address netip.AddrPort
	status  describer.Status
	Err     error
}

func (a answer) missing() Missing {
	if a.Err != nil {
		return Missing{Address: a.address.String(), Reason: a.Err.Error()}
	}
	reason := fmt.Sprintf("version %d is in force", a.status.ConfigVersion)
	return Missing{Host: a.status.Host, Address: a.address.String(), Reason: reason}
}
