package exchanger

import (
	"math"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// demandChange is the share by which a team's demand or a link's use must
// change before it is sent again.
const demandChange = 0.1

// record is the last value of an entry that was sent to a peer.
type record[V any] struct {
	value V
	// sequence is that of the content which carried the value.
	sequence uint64
	acked    bool
}

// ledger holds what one peer was sent of one sort of entries. Until a value is
// acknowledged, the peer may have it or any earlier one.
type ledger[K comparable, V any] struct {
	sent map[K]record[V]
	key  func(V) K
	// changed says whether now differs enough from old to be sent again.
	changed func(old, now V) bool
}

func newLedger[K comparable, V any](key func(V) K, changed func(old, now V) bool) *ledger[K, V] {
	return &ledger[K, V]{sent: make(map[K]record[V]), key: key, changed: changed}
}

// delta returns up to limit entries of current that the peer may lack, to be
// sent in the content with the given sequence. It begins elsewhere each time,
// so that every entry has its turn.
func (l *ledger[K, V]) delta(current []V, limit int, sequence uint64) []V {
	var delta []V
	for i := range current {
		now := current[(uint64(i)+sequence*uint64(limit))%uint64(len(current))]
		old, ok := l.sent[l.key(now)]
		if ok && old.acked && !l.changed(old.value, now) {
			continue
		}
		l.sent[l.key(now)] = record[V]{value: now, sequence: sequence}
		if delta = append(delta, now); len(delta) == limit {
			break
		}
	}
	return delta
}

// commit records that the peer has taken entries with the content of the given
// sequence. An entry that was sent again since stays unacknowledged.
func (l *ledger[K, V]) commit(entries []V, sequence uint64) {
	for _, entry := range entries {
		key := l.key(entry)
		if r, ok := l.sent[key]; ok && r.sequence == sequence {
			r.acked = true
			l.sent[key] = r
		}
	}
}

// retain forgets the entries that are no longer current, so that the ledger
// does not outgrow what is sent.
func (l *ledger[K, V]) retain(current []V) {
	if len(l.sent) <= len(current) {
		return
	}
	known := make(map[K]struct{}, len(current))
	for _, entry := range current {
		known[l.key(entry)] = struct{}{}
	}
	for key := range l.sent {
		if _, ok := known[key]; !ok {
			delete(l.sent, key)
		}
	}
}

// Load is the load of a target that this daemon reads.
type Load struct {
	describer.TargetLoad
	// AsOf is the time of the report; AgeMilliseconds is computed from it.
	AsOf time.Time
}

// State is what a daemon tells its peers. An entry that ends is published with
// zeros before it is left out.
type State struct {
	ConfigVersion uint64
	Leaving       bool
	Membership    describer.Membership
	Loads         []Load
	Summaries     []describer.Summary
	Teams         []describer.TeamShare
	Links         []describer.StoreLink
}

// urgent reports whether peers must learn of the change from old to s at once.
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
		return ok && lifeChanged(was, now)
	})
}

// lifeChanged reports a new incarnation, a change between cold and warm, or
// between reachable and unreachable.
func lifeChanged(old, now Load) bool {
	return old.Incarnation != now.Incarnation ||
		old.Cold != now.Cold ||
		old.Unreachable != now.Unreachable
}

// loadChanged returns the test for loads: requests by at least change, tokens
// by at least tokens, or a report that is refresh newer.
func loadChanged(change, tokens int32, refresh time.Duration) func(old, now Load) bool {
	return func(old, now Load) bool {
		return lifeChanged(old, now) ||
			apart(old.Running, now.Running, change) ||
			apart(old.Queued, now.Queued, change) ||
			apart(old.QueuedTokens, now.QueuedTokens, tokens) ||
			now.AsOf.Sub(old.AsOf) >= refresh
	}
}

func apart(a, b, least int32) bool { return max(a, b)-min(a, b) >= least }

func shareChanged(old, now describer.TeamShare) bool {
	return moved(old.RequestsPerSecond, now.RequestsPerSecond) ||
		moved(old.TokensPerSecond, now.TokensPerSecond)
}

func linkChanged(old, now describer.StoreLink) bool {
	return moved(float64(old.BytesPerSecond), float64(now.BytesPerSecond))
}

// moved reports a change by more than demandChange of the larger value.
func moved(old, now float64) bool {
	return math.Abs(old-now) > demandChange*max(math.Abs(old), math.Abs(now))
}

// parcel is a content with the entries that it carries, to be committed once
// the peer has acknowledged it.
type parcel struct {
	content describer.Content
	loads   []Load
}

// ledgers hold all that one peer was sent.
type ledgers struct {
	loads     *ledger[identifier.Target, Load]
	summaries *ledger[identifier.DataCentre, describer.Summary]
	teams     *ledger[identifier.Team, describer.TeamShare]
	links     *ledger[identifier.Store, describer.StoreLink]
}

func newLedgers(cfg *Config) *ledgers {
	return &ledgers{
		loads: newLedger(
			func(load Load) identifier.Target { return load.Target },
			loadChanged(cfg.LoadChange, cfg.TokenChange, cfg.Refresh),
		),
		summaries: newLedger(
			func(summary describer.Summary) identifier.DataCentre { return summary.DataCentre },
			func(old, now describer.Summary) bool { return old != now },
		),
		teams: newLedger(
			func(share describer.TeamShare) identifier.Team { return share.Team },
			shareChanged,
		),
		links: newLedger(
			func(link describer.StoreLink) identifier.Store { return link.Store },
			linkChanged,
		),
	}
}

// pack returns the entries of state that the peer may lack as of now.
func (l *ledgers) pack(state *State, now time.Time, cfg *Config, sequence uint64) parcel {
	limit := cfg.MaxEntries
	p := parcel{loads: l.loads.delta(state.Loads, limit, sequence)}
	p.content = describer.Content{
		From:          cfg.Self,
		DataCentre:    cfg.DataCentre,
		Sequence:      sequence,
		ConfigVersion: state.ConfigVersion,
		Leaving:       state.Leaving,
		Membership:    state.Membership,
		Summaries:     l.summaries.delta(state.Summaries, limit, sequence),
		Teams:         l.teams.delta(state.Teams, limit, sequence),
		Links:         l.links.delta(state.Links, limit, sequence),
	}
	for _, load := range p.loads {
		entry := load.TargetLoad
		entry.AgeMilliseconds = uint32(max(0, now.Sub(load.AsOf)).Milliseconds())
		p.content.Loads = append(p.content.Loads, entry)
	}
	l.loads.retain(state.Loads)
	l.summaries.retain(state.Summaries)
	l.teams.retain(state.Teams)
	l.links.retain(state.Links)
	return p
}

// commit records that the peer has taken p.
func (l *ledgers) commit(p parcel) {
	sequence := p.content.Sequence
	l.loads.commit(p.loads, sequence)
	l.summaries.commit(p.content.Summaries, sequence)
	l.teams.commit(p.content.Teams, sequence)
	l.links.commit(p.content.Links, sequence)
}
