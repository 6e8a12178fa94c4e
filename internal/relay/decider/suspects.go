package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// maxRecentAnswers bounds the suspects whose last answer is known, in each of two generations.
const maxRecentAnswers = 1024

// sharedParts returns the parts of a prompt that may be at fault when an engine crashes.
func sharedParts(p *descriptor.Prompt) []descriptor.Suspect {
	if p == nil {
		return nil
	}
	var parts []descriptor.Suspect
	for _, part := range p.Shared() {
		parts = append(parts, descriptor.Suspect{Model: p.Model, Part: part.ID})
	}
	return parts
}

// suspect returns r as a suspect, or false if it has no fingerprint.
func (r *request) suspect() (descriptor.Suspect, bool) {
	x := descriptor.Suspect{Fingerprint: r.fingerprint}
	if r.team != nil {
		x.Team = r.team.Name
	}
	return x, x.IsRequest()
}

// recentAnswers holds when suspects were last answered. Once it is full, the newer generation replaces the
// older one.
type recentAnswers struct {
	newer, older map[descriptor.Suspect]time.Time
}

func newRecentAnswers() recentAnswers {
	return recentAnswers{map[descriptor.Suspect]time.Time{}, map[descriptor.Suspect]time.Time{}}
}

// last returns when x was last answered, or zero if unknown.
func (a *recentAnswers) last(x descriptor.Suspect) time.Time { return latest(a.newer[x], a.older[x]) }

func (a *recentAnswers) record(x descriptor.Suspect, at time.Time) {
	if len(a.newer) >= maxRecentAnswers {
		a.newer, a.older = map[descriptor.Suspect]time.Time{}, a.newer
	}
	a.newer[x] = at
}
