package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// modelTarget is the process behind a target's entry.
type modelTarget struct {
	descriptor.Target
	listed  bool
	leaving bool
	// told is true once the host has an answer that says that the process is leaving.
	told bool
	// quietUntil is when the process wants requests again, by its answers that the host has.
	quietUntil time.Time
}

// modelAnswer is an answer that is under way to the host.
type modelAnswer struct {
	number  int64
	target  *modelTarget
	refused bool
	notice  descriptor.Notice
}

// noticeModel runs one host with targets that leave, refuse, restart, and whose entries lapse.
type noticeModel struct {
	*host
	rng     *rand.Rand
	targets []*modelTarget
	answers []modelAnswer
	sent    int
}

func newNoticeModel(t *testing.T, seed uint64) *noticeModel {
	const targets = 4
	m := &noticeModel{host: newHost(t, "a", 0, targets), rng: rand.New(rand.NewPCG(seed, 0))}
	for n := range targets {
		m.targets = append(m.targets, &modelTarget{Target: plainTarget(n + 1), listed: true})
	}
	return m
}

// step runs one random event.
func (m *noticeModel) step() {
	n := m.rng.IntN(len(m.targets))
	t := m.targets[n]
	switch m.rng.IntN(12) {
	case 0:
		t.leaving = true
	case 1:
		t.listed = false
		m.handle(TargetsListed{Removed: []string{t.ID}, ReturnUntil: m.clock.Add(time.Duration(m.rng.IntN(2)) * 2 * time.Second)})
	case 2, 3:
		t.listed = true
		m.handle(TargetsListed{Targets: []descriptor.Target{t.Target}})
	case 4:
		restarted := &modelTarget{Target: t.Target, listed: true}
		restarted.StartedAt = t.StartedAt.Add(time.Millisecond)
		m.targets[n] = restarted
		m.handle(TargetsListed{Targets: []descriptor.Target{restarted.Target}})
	case 5:
		m.advance(time.Duration(m.rng.IntN(1000)) * time.Millisecond)
		m.handle(Tick{})
	case 6, 7:
		m.deliver()
	default:
		number, effect := m.request("/look/", key, nil)
		m.observe(number, effect)
	}
}

// observe checks the effect on a request, and lets the target that gets it answer.
func (m *noticeModel) observe(number int64, effect Effect) {
	send, ok := effect.(Send)
	if !ok {
		return
	}
	m.sent++
	for _, t := range m.targets {
		if t.ID != send.Target {
			continue
		}
		assert.Assert(m.t, !t.told, "%s got a request after it said that it is leaving", t.ID)
		assert.Assert(m.t, !m.clock.Before(t.quietUntil), "%s got a request %s before the end of its Retry-After", t.ID, t.quietUntil.Sub(m.clock))
		a := modelAnswer{number: number, target: t, notice: descriptor.Notice{Leaving: t.leaving}}
		if a.refused = m.rng.IntN(3) == 0; a.refused {
			a.notice.RetryAfter = time.Duration(m.rng.IntN(4000)) * time.Millisecond
		}
		m.answers = append(m.answers, a)
	}
}

// deliver passes one of the answers on to the host.
func (m *noticeModel) deliver() {
	if len(m.answers) == 0 {
		return
	}
	i := m.rng.IntN(len(m.answers))
	a := m.answers[i]
	m.answers = append(m.answers[:i], m.answers[i+1:]...)
	if a.notice != (descriptor.Notice{}) {
		m.noticeFrom(a.target.Target, a.notice)
		a.target.told = a.target.told || a.notice.Leaving
		a.target.quietUntil = latest(a.target.quietUntil, m.clock.Add(a.notice.RetryAfter))
	}
	if a.refused {
		m.observe(a.number, requestEffect(m.handle(AttemptFailed{Number: a.number, Reason: FailureRefused, NotRun: true})))
		return
	}
	m.handle(AttemptDone{Number: a.number, Status: 200})
}

// TestNoticesHoldUnderChanges guards against requests to a process after it said that it is
// leaving, or during its Retry-After, whatever the list says and in whatever order answers arrive.
func TestNoticesHoldUnderChanges(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newNoticeModel(t, seed)
			for range 1000 {
				m.step()
			}
			assert.Assert(t, m.sent > 50, "only %d requests were sent", m.sent)
		})
	}
}
