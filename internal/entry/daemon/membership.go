package daemon

import (
	"slices"
	"sync"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// membership keeps the newest membership list that this daemon has read or that
// a peer has passed on, so that a daemon without the platform hears of targets
// that leave.
type membership struct {
	around *surroundings
	exec   *executor.Executor

	mu   sync.Mutex
	last describer.Membership
}

func newMembership(around *surroundings, exec *executor.Executor, p *peers) *membership {
	m := &membership{around: around, exec: exec}
	p.members = m
	return m
}

// membershipOf picks the targets that are leaving.
func membershipOf(list messenger.Members) describer.Membership {
	m := describer.Membership{AsOf: list.AsOf}
	for _, member := range list.Members {
		if member.Role == messenger.RoleTarget && member.State == messenger.MemberLeaving {
			m.Leaving = append(m.Leaving, identifier.Target(member.Name))
		}
	}
	slices.Sort(m.Leaving)
	return m
}

// adopt takes over a list unless a newer one is known.
func (m *membership) adopt(next describer.Membership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.AsOf.Before(m.last.AsOf) {
		return
	}
	changed := !slices.Equal(next.Leaving, m.last.Leaving)
	m.last = next
	if !changed {
		return
	}
	m.exec.Post(reducer.MembersChanged{Leaving: next.Leaving})
	m.around.setMembership(next)
}

// offer takes over a peer's list if it is newer than the own one.
func (m *membership) offer(next describer.Membership) {
	m.mu.Lock()
	newer := next.AsOf.After(m.last.AsOf)
	m.mu.Unlock()
	if newer {
		m.adopt(next)
	}
}
