package estimator

import "time"

const (
	// usualPercent is the pace of a machine on which work takes as long as usual. minPercent and maxPercent
	// bound what is believed.
	usualPercent = 100
	minPercent   = 25
	maxPercent   = 1000
	// maxRequests bounds the counts of requests and slots.
	maxRequests = 1 << 20
	// paceHalfLife is the time in which a pace loses half of its value: it changes many times a second.
	paceHalfLife = 150 * time.Millisecond
	// paceMeanHalfLife is that of the mean that an old pace tends to.
	paceMeanHalfLife = 5 * time.Second
	// paceWindow is the time over which fluctuating paces are averaged.
	paceWindow = 60 * time.Millisecond
	// keptPaces is how many paces of a target are kept to weigh its answers by.
	keptPaces = 8
)

// Pace is a target's own statement.
type Pace struct {
	Running, Waiting, Slots int
	// Percent is how long work takes, where 100 means as usual; 0 if unstated.
	Percent int
}

// paceAt is a pace as a factor, with its time.
type paceAt struct {
	factor float64
	at     time.Time
}

// paces holds what a target said recently.
type paces struct {
	ring [keptPaces]paceAt
	next int
	// mean is the mean over seconds, recent that of the last statements.
	mean, recent float64
	slots        int
}

func (p *paces) latest() paceAt { return p.ring[(p.next+keptPaces-1)%keptPaces] }

func (p *paces) observe(said Pace, now time.Time) {
	if said.Slots > 0 {
		p.slots = min(said.Slots, maxRequests)
	}
	if said.Percent <= 0 {
		return
	}
	factor := clamp(float64(said.Percent)/usualPercent, minPercent/float64(usualPercent), maxPercent/float64(usualPercent))
	if last := p.latest(); !last.at.IsZero() {
		p.mean = p.slowMean(now) + (factor-p.slowMean(now))*max(0.02, 1-decay(now.Sub(last.at), paceMeanHalfLife))
	} else {
		p.mean = 1 + (factor-1)/keptPaces
	}
	p.ring[p.next] = paceAt{factor, now}
	p.next = (p.next + 1) % keptPaces
	p.recent = p.recentMean()
}

// slowMean returns the mean pace, which tends to the usual one without statements.
func (p *paces) slowMean(now time.Time) float64 {
	last := p.latest()
	if last.at.IsZero() {
		return 1
	}
	return 1 + (p.mean-1)*decay(now.Sub(last.at), memoryHalfLife)
}

// at returns the expected pace: that of the last statements, which tends to the mean with their age.
func (p *paces) at(now time.Time) float64 {
	last := p.latest()
	if last.at.IsZero() {
		return 1
	}
	mean := p.slowMean(now)
	return mean + (p.recent-mean)*decay(now.Sub(last.at), paceHalfLife)
}

// recentMean returns the mean of the last statements, weighted by their age at the last one.
func (p *paces) recentMean() float64 {
	last := p.latest().at
	sum, weight := 0.0, 0.0
	for _, s := range p.ring {
		if !s.at.IsZero() {
			w := decay(last.Sub(s.at), paceWindow)
			sum += w * s.factor
			weight += w
		}
	}
	return sum / weight
}

// between returns the expected mean pace over a time that has passed. Few statements in a long time say little of it,
// so that the mean counts too; otherwise chance differences would look like slowness.
func (p *paces) between(from, to, now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, s := range p.ring {
		if !s.at.IsZero() && !s.at.Before(from.Add(-paceWindow)) && !s.at.After(to.Add(paceWindow)) {
			sum += s.factor
			weight++
		}
	}
	if weight == 0 {
		return p.at(now)
	}
	const toldBy = paceHalfLife // How long a time one statement tells as much of as the mean.
	prior := float64(to.Sub(from)) / float64(toldBy)
	return (sum + prior*p.slowMean(now)) / (weight + prior)
}

// waitFactor returns how many times longer a plain request takes because it waits for a slot.
func (p *paces) waitFactor(running int) float64 {
	if p.slots == 0 || running < p.slots {
		return 1
	}
	return 1 + float64(running+1-p.slots)/float64(p.slots)
}
