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

// ledger holds the entries of one sort that a peer has acknowledged.
type ledger[K comparable, V any] struct {
	acked map[K]V
	key   func(V) K
	// changed says whether now differs enough from old to be sent again.
	changed func(old, now V) bool
}

func newLedger[K comparable, V any](key func(V) K, changed func(old, now V) bool) *ledger[K, V] {
	return &ledger[K, V]{acked: make(map[K]V), key: key, changed: changed}
}

// delta returns up to limit entries of current that the peer lacks.
func (l *ledger[K, V]) delta(current []V, limit int) []V {
	var delta []V
	for _, now := range current {
		old, ok := l.acked[l.key(now)]
		if ok && !l.changed(old, now) {
			continue
		}
		if delta = append(delta, now); len(delta) == limit {
			break
		}
	}
	return delta
}

// commit records that the peer has entries.
func (l *ledger[K, V]) commit(entries []V) {
	for _, entry := range entries {
		l.acked[l.key(entry)] = entry
	}
}

// retain forgets the entries that are no longer current, so that the ledger
// does not outgrow what is sent.
func (l *ledger[K, V]) retain(current []V) {
	if len(l.acked) <= len(current) {
		return
	}
	known := make(map[K]struct{}, len(current))
	for _, entry := range current {
		known[l.key(entry)] = struct{}{}
	}
	for key := range l.acked {
		if _, ok := known[key]; !ok {
			delete(l.acked, key)
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

// ledgers hold all that one peer has acknowledged.
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

// pack returns the entries of state that the peer lacks as of now.
func (l *ledgers) pack(state *State, now time.Time, cfg *Config) parcel {
	p := parcel{loads: l.loads.delta(state.Loads, cfg.MaxEntries)}
	p.content = describer.Content{
		From:          cfg.Self,
		DataCentre:    cfg.DataCentre,
		ConfigVersion: state.ConfigVersion,
		Leaving:       state.Leaving,
		Membership:    state.Membership,
		Summaries:     l.summaries.delta(state.Summaries, cfg.MaxEntries),
		Teams:         l.teams.delta(state.Teams, cfg.MaxEntries),
		Links:         l.links.delta(state.Links, cfg.MaxEntries),
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
	l.loads.commit(p.loads)
	l.summaries.commit(p.content.Summaries)
	l.teams.commit(p.content.Teams)
	l.links.commit(p.content.Links)
}
