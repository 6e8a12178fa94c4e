package decider

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRevisionMarks bounds the remembered revisions of the platform's store. The lease
	// holder adds five a second, so they cover several seconds.
	maxRevisionMarks = 32
	// maxNamedVersions bounds the versions remembered for a model. Engines with weights that
	// an earlier one replaced count as expired.
	maxNamedVersions = 8
	// namingExchangeTime is how long a host that has just learned of a version waits for its
	// peers to tell when it was named.
	namingExchangeTime = broadcastInterval + maxMessageDelay
)

// naming holds the weight versions that operators named, and when.
//
// The platform doesn't say when a version was named, and a host may learn of it late: after a
// suspension, a restart or a lost connection. So each host keeps the latest time at which it
// knows the version not to have been named yet, and hosts exchange these times. Deadlines count
// from there, as a version may have been named at any time since. A host announces only times from
// its own answers: passed on, a time would move by the delay of each message.
type naming struct {
	// desiredWeights maps models to their newest versions.
	desiredWeights map[string]int
	// namedVersions maps models to their last versions, oldest first.
	namedVersions map[string][]namedVersion
	// revisionMarks are recent revisions of the platform's store, oldest first.
	revisionMarks []revisionMark
}

// revisionMark states that the changes after a revision of the platform's store were made after
// asOf. It tells nothing of changes in other eras, in which the same revisions are other changes.
type revisionMark struct {
	era      int64
	revision int64
	asOf     time.Time
	fromPeer bool
}

// precedes reports whether n was named after m.asOf.
func (m revisionMark) precedes(n namedVersion) bool {
	return m.era == n.era && m.revision < n.revision
}

// namedVersion is a version that operators named.
type namedVersion struct {
	version int
	// previous is the version that it replaced.
	previous int
	// era and revision are those of the platform's store when the version was named; 0 if
	// unknown.
	era, revision int64
	// notBefore is a time at which the version wasn't named yet, or zero if none is known.
	// ownNotBefore is the same from this host's answers only.
	notBefore, ownNotBefore time.Time
	// seenAt is the earliest time at which a host is known to have learned of the version.
	seenAt time.Time
}

// NamedVersion announces when a version of a model was named.
type NamedVersion struct {
	Model    string `cbor:"1,keyasint"`
	Version  int    `cbor:"2,keyasint"`
	Previous int    `cbor:"3,keyasint"`
	// NotBefore is the time since the version wasn't named yet, or 0 if the sender doesn't know.
	// Seen is the time since a host learned of it.
	NotBefore time.Duration `cbor:"4,keyasint"`
	Seen      time.Duration `cbor:"5,keyasint"`
}

func newNaming() naming {
	return naming{desiredWeights: map[string]int{}, namedVersions: map[string][]namedVersion{}}
}

func (s *State) onDesiredWeightsChanged(ev DesiredWeightsChanged) {
	before := s.desiredWeights[ev.Model]
	if ev.Version <= before {
		s.dateAnnouncedVersion(ev)
		return
	}
	named := namedVersion{version: ev.Version, previous: before, era: ev.Era, revision: ev.Revision, seenAt: s.now}
	if ev.Listed {
		named.previous = ev.Version - 1 // A list hides the versions that were replaced meanwhile.
	}
	for _, mark := range s.revisionMarks {
		named.apply(mark)
	}
	s.addNamedVersion(ev.Model, named)
	fields := []any{"model", ev.Model, "version", ev.Version, "era", ev.Era, "revision", ev.Revision}
	if !named.notBefore.IsZero() {
		fields = append(fields, "within", s.now.Sub(named.notBefore))
	}
	if !s.resumedAt.IsZero() {
		fields = append(fields, "since-resumed", s.now.Sub(s.resumedAt))
	}
	s.log("weights named", "", fields...)
}

// dateAnnouncedVersion applies the revisions that this host knows to a version that a peer has
// announced before the platform told it.
func (s *State) dateAnnouncedVersion(ev DesiredWeightsChanged) {
	list := s.namedVersions[ev.Model]
	for i := range list {
		if n := &list[i]; n.version == ev.Version && n.revision == 0 {
			n.era, n.revision = ev.Era, ev.Revision
			for _, mark := range s.revisionMarks {
				n.apply(mark)
			}
		}
	}
}

// apply applies a revision of the store. A mark of after the version was seen is wrong.
func (n *namedVersion) apply(mark revisionMark) {
	if !mark.precedes(*n) || mark.asOf.After(n.seenAt) {
		return
	}
	n.notBefore = latest(n.notBefore, mark.asOf)
	if !mark.fromPeer {
		n.ownNotBefore = latest(n.ownNotBefore, mark.asOf)
	}
}

// addNamedVersion adds a version, or what is known of it in addition.
func (s *State) addNamedVersion(model string, named namedVersion) {
	list := s.namedVersions[model]
	i, found := slices.BinarySearchFunc(list, named.version, func(n namedVersion, version int) int { return cmp.Compare(n.version, version) })
	if !found {
		list = slices.Insert(list, i, named)
	} else {
		n := &list[i]
		n.previous = min(n.previous, named.previous)
		if n.revision == 0 {
			n.era, n.revision = named.era, named.revision
		}
		n.seenAt = earliest(n.seenAt, named.seenAt)
		n.notBefore = earliest(latest(n.notBefore, named.notBefore), n.seenAt)
		n.ownNotBefore = earliest(latest(n.ownNotBefore, named.ownNotBefore), n.seenAt)
	}
	s.namedVersions[model] = list[max(0, len(list)-maxNamedVersions):]
	s.desiredWeights[model] = max(s.desiredWeights[model], named.version)
}

func (s *State) onRevisionConfirmed(ev RevisionConfirmed) {
	if !ev.FromPeer || s.messageAgesReliable(ev.ReceivedAt) {
		s.markRevision(revisionMark{ev.Era, ev.Revision, ev.AsOf, ev.FromPeer})
	}
}

// markRevision remembers a revision of the platform's store.
func (s *State) markRevision(mark revisionMark) {
	s.revisionMarks = append(s.revisionMarks, mark)
	s.revisionMarks = s.revisionMarks[max(0, len(s.revisionMarks)-maxRevisionMarks):]
	for _, list := range s.namedVersions {
		for i := range list {
			list[i].apply(mark)
		}
	}
}

// announcedVersions returns the newest version of each model, which a host that lost the platform
// may have missed, and those before it whose deadlines may lie ahead.
func (s *State) announcedVersions() []NamedVersion {
	var announced []NamedVersion
	for _, model := range slices.Sorted(maps.Keys(s.namedVersions)) {
		for _, n := range s.namedVersions[model] {
			a := NamedVersion{Model: model, Version: n.version, Previous: n.previous, Seen: s.now.Sub(n.seenAt)}
			notBefore := n.ownNotBefore
			if s.isAggregator() {
				notBefore = n.notBefore // Each receiver adds the greatest delay of a message to the age.
			}
			if !notBefore.IsZero() {
				a.NotBefore = s.now.Sub(notBefore)
			}
			if n.version == s.desiredWeights[model] || a.NotBefore > 0 && a.NotBefore < s.cfg.WeightsWithin {
				announced = append(announced, a)
			}
		}
	}
	return announced
}

// applyAnnouncedVersions applies the versions that a peer announced.
func (s *State) applyAnnouncedVersions(announced []NamedVersion, host string) {
	for _, a := range announced {
		named := namedVersion{version: a.Version, previous: a.Previous, seenAt: s.now.Add(-a.Seen)}
		if a.NotBefore > 0 && s.messageAgesReliable(s.now) {
			named.notBefore = s.now.Add(-a.NotBefore - maxMessageDelay)
		}
		if a.Version > s.desiredWeights[a.Model] {
			s.log("weights named", "", "model", a.Model, "version", a.Version, "peer", host, "within", a.NotBefore, "age-used", !named.notBefore.IsZero())
			s.passOn()
		}
		s.addNamedVersion(a.Model, named)
	}
}

func (s *State) hasOutdatedWeights(t *target, model string) bool {
	return t.Weights[model] < s.desiredWeights[model]
}

// replacement returns the version that replaced t's weights of a model. It is the zero value if
// t's weights are current or it is unknown which version that was.
func (s *State) replacement(t *target, model string) namedVersion {
	current := t.Weights[model]
	for _, n := range s.namedVersions[model] {
		if n.version > current {
			if n.previous > current {
				break
			}
			return n
		}
	}
	return namedVersion{}
}

// sinceReplaced returns the time since t's weights of a model were replaced, as far as is known
// to any host.
func (s *State) sinceReplaced(t *target, model string) time.Duration {
	if !s.hasOutdatedWeights(t, model) {
		return 0
	}
	return s.now.Sub(s.replacement(t, model).seenAt)
}

// sinceNamed returns the time since a version was named, as far as is known to any host.
func (s *State) sinceNamed(model string, version int) time.Duration {
	for _, n := range s.namedVersions[model] {
		if n.version == version {
			return s.now.Sub(n.seenAt)
		}
	}
	return 0
}

// weightsExpired reports whether t has had outdated weights for so long that a request sent now
// could start after the deadline for the new ones.
func (s *State) weightsExpired(t *target, model string) bool {
	return s.hasOutdatedWeights(t, model) && s.now.Sub(s.replacement(t, model).notBefore) > s.cfg.WeightsWithin-weightsDeadlineMargin
}
