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

// membership keeps the newest membership list that this daemon has read from the
// platform or received from a peer. It is published to peers, so that a
// daemon without access to the platform receives it too.
type membership struct {
	effects *effectHandler
	exec    *executor.Executor

	mu     sync.Mutex
	latest describer.Membership
}

func newMembership(effects *effectHandler, exec *executor.Executor, p *peerHandler) *membership {
	m := &membership{effects: effects, exec: exec}
	p.membership = m
	return m
}

// leavingTargets returns the time of list and the sorted names of the targets in
// it that are leaving.
func leavingTargets(list messenger.Members) describer.Membership {
	m := describer.Membership{AsOf: list.AsOf}
	for _, member := range list.Members {
		if member.Role == messenger.RoleTarget && member.State == messenger.MemberLeaving {
			m.Leaving = append(m.Leaving, identifier.Target(member.Name))
		}
	}
	slices.Sort(m.Leaving)
	return m
}

// adopt replaces the list unless the current one is newer.
func (m *membership) adopt(next describer.Membership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.AsOf.Before(m.latest.AsOf) {
		return
	}
	changed := !slices.Equal(next.Leaving, m.latest.Leaving)
	m.latest = next
	if !changed {
		return
	}
	m.exec.Post(reducer.MembersChanged{Leaving: next.Leaving})
	m.effects.setMembership(next)
}

// offer adopts a peer's list if it is newer than the current one.
func (m *membership) offer(next describer.Membership) {
	m.mu.Lock()
	newer := next.AsOf.After(m.latest.AsOf)
	m.mu.Unlock()
	if newer {
		m.adopt(next)
	}
}
