package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// minTrialInterval is the time from the last crash to the first request that may try what is in
	// quarantine, and trialBackoff the factor from each trial to the next, up to maxTrialInterval.
	minTrialInterval = 10 * time.Second
	trialBackoff     = 4
	maxTrialInterval = time.Hour
	// trialStagger is the time after which one host more may try a part, as no request with it may come
	// to the first ones. It exceeds the time in which hosts learn of a trial.
	trialStagger = time.Second
	// trialNewsTime is how long a host that has started or resumed waits for news of others before it
	// tries a part.
	trialNewsTime = 2*broadcastInterval + maxMessageDelay
	// maxRequestTrials bounds the trials of a whole request by all hosts together. The platform allows three
	// runs, one of which is left to a host that learns of the quarantine late.
	maxRequestTrials = 2
	// claimInterval is the shortest interval between attempts to claim a trial.
	claimInterval = time.Second
)

// trialClaim is the right of this host to let one request through. The platform's store counts the claims of
// a whole request, so that there are few in all, whichever hosts are cut off or restart.
type trialClaim struct {
	// claimedUntil is until when the claim may be used; zero if this host has none.
	claimedUntil time.Time
	claimTriedAt time.Time
}

// ClaimTrial claims the next trial of a suspect in the platform's store, of which Trials were claimed
// before.
type ClaimTrial struct{ descriptor.KeptSuspect }

func (ClaimTrial) isEffect() {}

// TrialClaimed reports whether a trial was claimed for this host.
type TrialClaimed struct {
	// KeptSuspect has the number of trials that the store counts; 0 if unknown.
	descriptor.KeptSuspect
	// Err is why the store didn't grant the trial, or nil.
	Err error
}

func (TrialClaimed) isEvent() {}

// waitForTrial returns how long this host must wait until it may send a request with suspects that are in
// quarantine, or 0 if it may now. Others may do so before.
func (s *State) waitForTrial(suspects []descriptor.Suspect) time.Duration {
	var wait time.Duration
	for _, x := range suspects {
		q := s.quarantined[x]
		due := q.lastAt.Add(trialInterval(q.trials)).Sub(s.now)
		switch {
		case x.IsRequest() && s.now.Before(q.claimedUntil):
		case x.IsRequest() && q.trials >= maxRequestTrials:
			wait = max(wait, maxTrialInterval)
		case x.IsRequest():
			wait = max(wait, due, q.claimTriedAt.Add(claimInterval).Sub(s.now))
		default:
			rank := s.rankIn(s.orderFor("trial|"+x.String()), peerTimeout)
			if due+time.Duration(rank)*trialStagger > 0 {
				wait = max(wait, due, trialStagger)
			}
		}
	}
	if sinceNews := s.now.Sub(latest(s.startedAt, s.resumedAt)); len(suspects) > 0 && sinceNews < trialNewsTime {
		wait = max(wait, trialNewsTime-sinceNews) // Others may have made a trial meanwhile.
	}
	return wait
}

// trialInterval returns the time from the last crash or trial to the next trial.
func trialInterval(trials int) time.Duration {
	interval := minTrialInterval
	for range trials {
		interval = min(trialBackoff*interval, maxTrialInterval)
	}
	return interval
}

// claimTrials reports whether this host may send a request with suspects for which a trial is due. If the
// trial of a whole request isn't claimed, it claims it.
func (s *State) claimTrials(suspects []descriptor.Suspect) bool {
	claimed := true
	for _, x := range suspects {
		q := s.quarantined[x]
		if !x.IsRequest() || s.now.Before(q.claimedUntil) {
			continue
		}
		claimed = false
		q.claimTriedAt = s.now
		s.emit(ClaimTrial{descriptor.KeptSuspect{Suspect: x, Trials: q.trials}})
	}
	return claimed
}

// onTrialClaimed lets the requests that wait for a claim try again.
func (s *State) onTrialClaimed(ev TrialClaimed) {
	if q := s.quarantined[ev.Suspect]; q != nil {
		s.learnTrials(q, ev.Trials, s.now)
		if ev.Err == nil {
			q.claimedUntil = s.now.Add(minTrialInterval)
		}
	}
	if ev.Err != nil {
		s.log("no trial of a quarantined "+ev.Kind(), "", ev.Kind(), ev.String(), "trials", ev.Trials, "error", ev.Err.Error())
	}
	s.dispatchWaiting()
}

// learnTrials records that others know of trials, the last of which was at a time.
func (s *State) learnTrials(q *quarantinedSuspect, trials int, lastAt time.Time) {
	if trials > q.trials {
		q.trials, q.lastAt = trials, latest(q.lastAt, lastAt)
		s.passOn()
	}
}

// claimedTrials returns the trials of x that the platform's store counts.
func (q *quarantinedSuspect) claimedTrials(x descriptor.Suspect) int {
	if !x.IsRequest() {
		return 0
	}
	return q.trials
}

// recordTrial records that r is sent although it has suspects in quarantine.
func (s *State) recordTrial(r *request, suspects []descriptor.Suspect) {
	for _, x := range suspects {
		q := s.quarantined[x]
		if !x.IsRequest() {
			q.trials++
		}
		q.lastAt, q.claimedUntil = s.now, time.Time{}
		s.log("trial of a quarantined "+x.Kind(), r.id, x.Kind(), x.String(), "trials", q.trials)
	}
	if len(suspects) > 0 {
		s.broadcast()
	}
}
