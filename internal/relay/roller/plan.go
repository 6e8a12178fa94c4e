package roller

import "time"

const (
	// minHold and maxHold bound how long a share is kept before the next one, which is holdPart of the time of
	// the order. Counts of a new share arrive up to 1.5 s after the decision.
	minHold, maxHold, holdPart = 1500 * time.Millisecond, 5 * time.Second, 40
	// holdsLeft is the least number of holds that the rest of the time should suffice for.
	holdsLeft = 6
	// canaryPart is the part of the exposure bound that the first share uses, and maxCanaryPart is that at low
	// rates, at which canarySlackPart of the slack is used for earlier evidence.
	canaryPart, maxCanaryPart, canarySlackPart = 0.2, 0.6, 0.4
	// planPart and planSlackPart are the parts of the exposure bound that the plan uses. The rest is for changes of
	// the rate.
	planPart, planSlackPart = 0.97, 0.65
	// keepPart and keepSlackPart are those at which the share is lowered again. At 20 requests a second, a rollout that
	// used all of the slack exceeded the bound by one request.
	keepPart, keepSlackPart = 0.99, 0.85
	// minAnswers is how many answers of each route are enough to increase the share.
	minAnswers = 20
	// settleTime is how long a share of 1 is in force at least before the rollout can be complete.
	settleTime = 1500 * time.Millisecond
	// minGrace is how long after the deadline a rollout without a fault may go on.
	minGrace = 30 * time.Second
	// maxLoad is the part of the slots of the new version that requests may occupy.
	maxLoad = 0.9
)

// shares returns the shares of the plan. The last but one leaves some requests to the old version, which the
// answers of the new one are compared with at almost full load.
func (r *Roller) shares(in Input, m Memory) []float64 {
	return []float64{r.canary(in, m), r.cfg.CanaryShare, max(0.3, r.cfg.CanaryShare), max(0.7, r.cfg.CanaryShare), 1}
}

// lastControlled is the index of the last share that leaves requests to the old version.
const lastControlled = 3

// canary returns the share of the first step.
func (r *Roller) canary(in Input, m Memory) float64 {
	share := canaryPart * r.cfg.CanaryShare
	if expected := m.Rate * in.Order.Over.Seconds() / 2; expected > 0 && in.Elapsed >= minHold {
		share += canarySlackPart * float64(r.cfg.CanarySlack) / expected
	}
	return min(share, maxCanaryPart*r.cfg.CanaryShare)
}

// hold returns how long a share is kept. After a loss of all targets, little time may be left.
func hold(in Input, m Memory) time.Duration {
	part := in.Order.Over / holdPart
	if m.Interrupted {
		part = min(part, max(in.Order.Over-in.Elapsed, 0)/holdsLeft)
	}
	return min(max(part, minHold), maxHold)
}

// schedule returns the next share or the end of the rollout.
func (r *Roller) schedule(in Input, now Status) Status {
	overdue := in.Elapsed - in.Order.Over
	switch {
	case in.NewSlots == 0 && overdue >= 0:
		return now.reverted("no usable targets of the version at the deadline")
	case in.NewSlots == 0:
		now.Memory.Reached = 0
		now.Memory.Interrupted = now.Memory.Interrupted || now.Share > 0
		return now.step(in, 0, 0, "no usable targets of the version")
	case overdue >= 0 && now.Memory.Step == 0 && !r.proven(now):
		return now.reverted("too few answers of the version by the deadline")
	case overdue >= 0 && now.Memory.suspicious():
		return now.reverted("a fault is suspected at the deadline")
	case overdue >= max(minGrace, in.Order.Over/4):
		return now.reverted("not complete long after the deadline")
	}
	shares := r.shares(in, now.Memory)
	held := in.Elapsed - now.Memory.Since
	last := len(shares) - 1
	switch step := now.Memory.Step; {
	case now.Share == 0:
		return now.step(in, 0, shares[0], "canary")
	case now.Memory.suspicious():
		if step > lastControlled {
			return now.step(in, lastControlled, shares[lastControlled], "a fault is suspected")
		}
		return now
	case step > 1 && r.spent(in, now.Memory, step, keepPart, keepSlackPart):
		now.Memory.LoweredAt = in.Elapsed
		return now.step(in, step-1, shares[step-1], "the exposure bound is near")
	case step == last:
		if held >= settleTime && in.Unheard == 0 && in.Lagging == 0 && in.OldRunning == 0 {
			now.Phase, now.Reason = Complete, "all requests run on the version"
		}
		return now
	case held < hold(in, now.Memory) && step >= now.Memory.Reached || in.Unheard > 0:
	case r.mayTake(in, now, step+1):
		return now.step(in, step+1, shares[step+1], "no fault found")
	case step == 0 && (shares[0] > 1.3*now.Share || shares[0] < now.Share/1.3):
		return now.step(in, 0, shares[0], "canary")
	}
	return now
}

// mayTake reports whether a step may be taken.
func (r *Roller) mayTake(in Input, now Status, step int) bool {
	return r.proven(now) && fits(in, now.Share, r.shares(in, now.Memory)[step]) && !r.spent(in, now.Memory, step, planPart, planSlackPart)
}

// step changes the share. The time of the step counts anew only if the step changes.
func (s Status) step(in Input, step int, share float64, reason string) Status {
	if step != s.Memory.Step || s.Share == 0 {
		s.Memory.Since = in.Elapsed
	}
	s.Memory.Step, s.Share, s.Reason = step, share, reason
	s.Memory.Reached = max(s.Memory.Reached, step)
	return s
}

// spent reports whether requests to the version exceed parts of the exposure bound at the deadline if the
// shares from a step on follow each other from now on and the last one stays in force. A rollout that is
// complete can't be undone, so the bound must hold for a version that turns bad just then.
func (r *Roller) spent(in Input, m Memory, step int, part, slackPart float64) bool {
	left := in.Order.Over - in.Elapsed
	if left <= 0 {
		return false
	}
	exposed, requests := float64(m.Exposed), float64(m.Requests)
	rate := max(m.Rate, m.ShortRate)
	shares := r.shares(in, m)
	for ; step < len(shares); step++ {
		span := min(hold(in, m), left)
		if step == len(shares)-1 {
			span = left
		} else if step < m.Reached {
			span = 0
		}
		exposed += rate * shares[step] * span.Seconds()
		requests += rate * span.Seconds()
		left -= span
	}
	return exposed > part*r.cfg.CanaryShare*requests+slackPart*float64(r.cfg.CanarySlack)
}

// proven reports whether the version has answered as much as can be expected on each route.
func (r *Roller) proven(now Status) bool {
	m := now.Memory
	if m.Requests == 0 {
		return true
	}
	part := float64(m.Exposed) / float64(m.Requests)
	least := canaryPart * r.cfg.CanaryShare
	if part < least/8 && least*float64(m.Requests) >= minAnswers {
		return false // The hosts don't send requests to the version.
	}
	for _, route := range m.Seen.routes() {
		// The tenth of what can be expected allows for chance.
		want := min(minAnswers, part*float64(m.Seen.Old[route].Answers)/10)
		if float64(m.Seen.New[route].Answers) < want {
			return false
		}
	}
	return true
}

// fits reports whether the slots of the version suffice for a share.
func fits(in Input, now, next float64) bool {
	if in.NewSlots >= in.OldSlots || now >= 1 {
		return true
	}
	return float64(in.OldRunning)/(1-now)*next <= maxLoad*float64(in.NewSlots)
}
