package soaker

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// crashSeriesTime is how long requests with a part that crashes engines come.
	crashSeriesTime = 14 * time.Second
	// fatalShare is the share of long prompts that have the part then.
	fatalShare = 0.4
	// crashDowntime is how long an engine is away after a crash.
	crashDowntime = time.Second
	// maxFatalRuns is how many requests with the part may reach engines later than contactTime after
	// crashBound crashes.
	crashBound, maxFatalRuns = 5, 3
	// minSoundShare is the share of sound requests that must be answered from 2 x contactTime after the
	// crashes, if there are minSoundRequests: half of that in calm.
	minSoundShare    = minAnsweredShare / 2
	minSoundRequests = 20
)

// crashStream is the stream of random numbers of crashSeries.
const crashStream = 1 << 34

// fatalRecord records what became of the requests with one part that crashes engines.
type fatalRecord struct {
	part    string
	crashes []time.Time
	// runs holds the times at which requests with the part, sent by hosts in touch, reached engines.
	runs []time.Time
	// soundSent and soundAnswered count the sound requests that were checked.
	soundSent, soundAnswered int
}

// recordFatalRun records a run on the part that crashes engines; mu must be held.
func (c *checker) recordFatalRun(r imitator.Run, host string) {
	if c.fatal != nil && r.Holds(c.fatal.part) && c.hostInTouch(host, r.At) {
		c.fatal.runs = append(c.fatal.runs, r.At)
	}
}

// hostInTouch reports whether a host has run without faults for contactTime; mu must be held.
func (c *checker) hostInTouch(host string, at time.Time) bool {
	f := c.hostFaults[host]
	return !f.lasts && at.Sub(f.since) >= contactTime
}

// startFatalPart begins a record of a part that crashes engines.
func (c *checker) startFatalPart(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fatal = &fatalRecord{part: part}
}

// engineCrashed records the crash of an engine.
func (c *checker) engineCrashed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fatal != nil {
		c.fatal.crashes = append(c.fatal.crashes, time.Now())
	}
}

// checkFatalPart checks that few requests with the part reach engines, and that sound ones are answered.
func (c *checker) checkFatalPart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.fatal.crashes
	if len(crashes) == 0 {
		return
	}
	if len(crashes) >= crashBound {
		boundAt := crashes[crashBound-1].Add(contactTime)
		late := slices.DeleteFunc(slices.Clone(c.fatal.runs), func(at time.Time) bool { return !at.After(boundAt) })
		if len(late) > maxFatalRuns && c.clockReliable(crashes[0], time.Now()) {
			c.addViolationLocked("fatal parts", fmt.Sprintf("%d requests with %s reach engines later than %s after crash %d, %d crashes in all", len(late), c.fatal.part, contactTime, crashBound, len(crashes)))
		}
	}
	c.checkSoundRequests(crashes[min(len(crashes), crashBound)-1].Add(2 * contactTime))
}

// checkSoundRequests checks the share of long prompts that are answered of those sent after a time
// without the part, by hosts in touch; mu must be held.
func (c *checker) checkSoundRequests(from time.Time) {
	sent, answered := 0, 0
	for _, a := range c.attempts {
		if a.kind != "long" || a.fatal || !a.sent.After(from) || a.ended.IsZero() || !c.hostInTouch(a.host, a.sent) {
			continue
		}
		sent++
		if a.status == http.StatusOK && a.runs > 0 {
			answered++
		}
	}
	c.fatal.soundSent, c.fatal.soundAnswered = sent, answered
	if sent >= minSoundRequests && float64(answered) < minSoundShare*float64(sent) && c.clockReliable(from, time.Now()) {
		c.addViolationLocked("sound parts", fmt.Sprintf("%d of %d requests without the fatal part are answered", answered, sent))
	}
}

// crashSeries lets requests with one part crash engines while hosts are restarted. There are no other
// faults meanwhile, so that the bounds for such parts hold.
func (s *Soaker) crashSeries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, crashStream))
	cl, chk := s.cluster, s.checker
	part := fmt.Sprintf("fa7a1%03x", rng.IntN(math.MaxUint16))
	s.recordEvent("part crashes engines", "part", part)
	chk.startFatalPart(part)
	cl.setFatalPart(part)
	restartAt := time.Duration(rng.Float64() * float64(crashSeriesTime))
	restarted := [][]*host{nil, {cl.hosts[rng.IntN(len(cl.hosts))]}, cl.hosts}[rng.IntN(3)]
	sleep(ctx, restartAt)
	s.recordEvent(fmt.Sprintf("kill %d hosts beside crashes", len(restarted)))
	for _, h := range restarted {
		h.kill()
	}
	for _, h := range restarted {
		h.start(chk)
	}
	sleep(ctx, crashSeriesTime-restartAt)
	cl.setFatalPart("")
	sleep(ctx, crashDowntime+coldDuration)
	chk.checkFatalPart()
}

// setFatalPart makes engines crash on a part, and callers send it; "" ends that.
func (c *cluster) setFatalPart(part string) {
	for _, e := range c.engines {
		e.worker.SetFatalPart(part)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fatalPart = part
}

// addFatalPart adds the part that crashes engines to some prompts. It returns whether it did.
func (c *caller) addFatalPart(p *descriptor.Prompt) bool {
	c.cluster.mu.Lock()
	part := c.cluster.fatalPart
	c.cluster.mu.Unlock()
	if part == "" || c.rng.Float64() >= fatalShare {
		return false
	}
	p.Parts = slices.Insert(p.Parts, c.rng.IntN(len(p.Parts)), descriptor.Part{ID: part, Tokens: 100})
	return true
}

// crash ends the target's connections and refuses new ones until it starts again as another process.
func (t *target) crash() {
	if !t.down.CompareAndSwap(false, true) {
		return // Another request has crashed it.
	}
	t.cluster.checker.engineCrashed()
	refuse := true
	_ = t.link.Apply(proxier.Faults{Reset: true, Refuse: &refuse}) // All values are within range.
	t.cluster.group.Go(func() {
		sleep(t.cluster.ctx, crashDowntime)
		t.restart()
		t.link.Heal()
		t.down.Store(false)
	})
}
