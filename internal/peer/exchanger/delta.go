package exchanger

import (
	"math"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// minDemandChange is the fraction by which a team's demand or a link's use must
// change before it is sent again.
const minDemandChange = 0.1

// sentValue is the last value of an entry that was sent to a peer.
type sentValue[V any] struct {
	value V
	// sequence is that of the Content that carried the value.
	sequence uint64
	acked    bool
}

// deltaTracker records which entries of one kind were sent to a peer, so that
// only changes are sent again. Until a value is acknowledged, the peer may hold
// it or any earlier one.
type deltaTracker[K comparable, V any] struct {
	sent map[K]sentValue[V]
	key  func(V) K
	// changed reports whether now differs enough from old to be sent again.
	changed func(old, now V) bool
}

func newDeltaTracker[K comparable, V any](key func(V) K, changed func(old, now V) bool) *deltaTracker[K, V] {
	return &deltaTracker[K, V]{sent: make(map[K]sentValue[V]), key: key, changed: changed}
}

// delta returns up to limit entries of current that the peer may not have, to be
// sent in the Content with the given sequence. It starts at a different entry
// each time, so that no entry starves.
func (t *deltaTracker[K, V]) delta(current []V, limit int, sequence uint64) []V {
	var delta []V
	for i := range current {
		now := current[(uint64(i)+sequence*uint64(limit))%uint64(len(current))]
		old, ok := t.sent[t.key(now)]
		if ok && old.acked && !t.changed(old.value, now) {
			continue
		}
		t.sent[t.key(now)] = sentValue[V]{value: now, sequence: sequence}
		if delta = append(delta, now); len(delta) == limit {
			break
		}
	}
	return delta
}

// acknowledge records that the peer accepted entries in the Content with the
// given sequence. Entries that were sent again since stay unacknowledged.
func (t *deltaTracker[K, V]) acknowledge(entries []V, sequence uint64) {
	for _, entry := range entries {
		key := t.key(entry)
		if last, ok := t.sent[key]; ok && last.sequence == sequence {
			last.acked = true
			t.sent[key] = last
		}
	}
}

// prune removes entries that are no longer current, which bounds the memory used.
func (t *deltaTracker[K, V]) prune(current []V) {
	if len(t.sent) <= len(current) {
		return
	}
	known := make(map[K]struct{}, len(current))
	for _, entry := range current {
		known[t.key(entry)] = struct{}{}
	}
	for key := range t.sent {
		if _, ok := known[key]; !ok {
			delete(t.sent, key)
		}
	}
}

// Load is the load of a target that this daemon reads.
type Load struct {
	describer.TargetLoad
	// AsOf is the time of the report. AgeMilliseconds is derived from it when sending.
	AsOf time.Time
}

// State is the state that a daemon sends to its peers. Before an entry is left
// out, it must be published once with zeros, since deltas don't carry removals.
type State struct {
	ConfigVersion uint64
	Leaving       bool
	Membership    describer.Membership
	Loads         []Load
	Summaries     []describer.Summary
	Teams         []describer.TeamShare
	Links         []describer.StoreLink
}

// urgent reports whether the change from old to s must be sent immediately.
func (s State) urgent(old State) bool {
	if s.ConfigVersion != old.ConfigVersion || s.Leaving != old.Leaving {
		return true
	}
	if !slices.Equal(s.Membership.Leaving, old.Membership.Leaving) {
		return true
	}
	known := make(map[identifier.Target]Load, len(old.Loads))
	for _, load := range old.Loads {
		known[load.Target] = load
	}
	return slices.ContainsFunc(s.Loads, func(now Load) bool {
		was, ok := known[now.Target]
		return ok && statusChanged(was, now)
	})
}

// statusChanged reports whether the target has a new incarnation, changed
// between cold and warm, or changed between reachable and unreachable.
func statusChanged(old, now Load) bool {
	return old.Incarnation != now.Incarnation ||
		old.Cold != now.Cold ||
		old.Unreachable != now.Unreachable
}

// loadChanged returns a function that reports whether the status of a load
// changed, its requests by at least minRequests, its queued tokens by at least
// minTokens, or whether the new report is newer by at least maxAge.
func loadChanged(minRequests, minTokens int32, maxAge time.Duration) func(old, now Load) bool {
	return func(old, now Load) bool {
		return statusChanged(old, now) ||
			differsBy(old.Running, now.Running, minRequests) ||
			differsBy(old.Queued, now.Queued, minRequests) ||
			differsBy(old.QueuedTokens, now.QueuedTokens, minTokens) ||
			now.AsOf.Sub(old.AsOf) >= maxAge
	}
}

func differsBy(a, b, least int32) bool { return max(a, b)-min(a, b) >= least }

func teamShareChanged(old, now describer.TeamShare) bool {
	return changedByShare(old.RequestsPerSecond, now.RequestsPerSecond) ||
		changedByShare(old.TokensPerSecond, now.TokensPerSecond)
}

func linkUseChanged(old, now describer.StoreLink) bool {
	return changedByShare(float64(old.BytesPerSecond), float64(now.BytesPerSecond))
}

// changedByShare reports whether the values differ by more than minDemandChange
// of the larger one.
func changedByShare(old, now float64) bool {
	return math.Abs(old-now) > minDemandChange*max(math.Abs(old), math.Abs(now))
}

// outgoing is a Content to send, with the loads that its entries were built
// from. They are needed when the peer acknowledges it.
type outgoing struct {
	content describer.Content
	loads   []Load
}

// deltaTrackers holds the trackers for all kinds of entries sent to one peer.
type deltaTrackers struct {
	loads     *deltaTracker[identifier.Target, Load]
	summaries *deltaTracker[identifier.DataCentre, describer.Summary]
	teams     *deltaTracker[identifier.Team, describer.TeamShare]
	links     *deltaTracker[identifier.Store, describer.StoreLink]
}

func newDeltaTrackers(cfg *Config) *deltaTrackers {
	return &deltaTrackers{
		loads: newDeltaTracker(
			func(load Load) identifier.Target { return load.Target },
			loadChanged(cfg.MinLoadChange, cfg.MinTokenChange, cfg.MaxUnchangedAge),
		),
		summaries: newDeltaTracker(
			func(summary describer.Summary) identifier.DataCentre { return summary.DataCentre },
			func(old, now describer.Summary) bool { return old != now },
		),
		teams: newDeltaTracker(
			func(share describer.TeamShare) identifier.Team { return share.Team },
			teamShareChanged,
		),
		links: newDeltaTracker(
			func(link describer.StoreLink) identifier.Store { return link.Store },
			linkUseChanged,
		),
	}
}

// buildContent returns a Content with the entries of state that the peer may not have.
func (t *deltaTrackers) buildContent(state *State, now time.Time, cfg *Config, sequence uint64) outgoing {
	limit := cfg.MaxEntries
	out := outgoing{loads: t.loads.delta(state.Loads, limit, sequence)}
	out.content = describer.Content{
		From:          cfg.Self,
		DataCentre:    cfg.DataCentre,
		Sequence:      sequence,
		ConfigVersion: state.ConfigVersion,
		Leaving:       state.Leaving,
		Membership:    state.Membership,
		Summaries:     t.summaries.delta(state.Summaries, limit, sequence),
		Teams:         t.teams.delta(state.Teams, limit, sequence),
		Links:         t.links.delta(state.Links, limit, sequence),
	}
	for _, load := range out.loads {
		entry := load.TargetLoad
		entry.AgeMilliseconds = uint32(max(0, now.Sub(load.AsOf)).Milliseconds())
		out.content.Loads = append(out.content.Loads, entry)
	}
	t.loads.prune(state.Loads)
	t.summaries.prune(state.Summaries)
	t.teams.prune(state.Teams)
	t.links.prune(state.Links)
	return out
}

// acknowledge records that the peer accepted out.
func (t *deltaTrackers) acknowledge(out outgoing) {
	sequence := out.content.Sequence
	t.loads.acknowledge(out.loads, sequence)
	t.summaries.acknowledge(out.content.Summaries, sequence)
	t.teams.acknowledge(out.content.Teams, sequence)
	t.links.acknowledge(out.content.Links, sequence)
}
