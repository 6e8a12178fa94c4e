package exchanger

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// side is one of two peers whose messages may be lost.
type side struct {
	cfg     Config
	peer    *peer
	state   State
	session uint64
	// view holds the loads received from the other side.
	view map[identifier.Target]describer.TargetLoad
}

func newSide(session uint64) *side {
	s := &side{
		cfg:     Config{MaxEntries: 2, MinLoadChange: 1, MinTokenChange: 512, MaxUnchangedAge: time.Hour},
		session: session,
		view:    make(map[identifier.Target]describer.TargetLoad),
	}
	s.peer = &peer{trackers: newDeltaTrackers(&s.cfg)}
	return s
}

func (s *side) apply(content describer.Content) {
	for _, load := range content.Loads {
		s.view[load.Target] = load
	}
}

// exchange sends a heartbeat from s to other; either direction may be lost.
func (s *side) exchange(other *side, now time.Time, lost, replyLost bool) {
	sent := s.peer.buildContent(&s.state, now, &s.cfg, s.session)
	if lost {
		return
	}
	reply, fresh := other.peer.handleHeartbeat(&sent.content, &other.state, now, &other.cfg, other.session)
	if fresh {
		other.apply(sent.content)
	}
	if replyLost {
		return
	}
	if s.peer.handleReply(sent, &reply, &s.cfg) {
		s.apply(reply)
	}
}

// checkView checks that view contains all loads of state.
func checkView(t *rapid.T, state State, view map[identifier.Target]describer.TargetLoad) {
	for _, load := range state.Loads {
		got, ok := view[load.Target]
		if !ok || got.Running != load.Running || got.Incarnation != load.Incarnation || got.Cold != load.Cold {
			t.Fatalf("target %q: got %+v, want %+v", load.Target, got, load.TargetLoad)
		}
	}
}

func TestDeltasConvergeDespiteLossesAndRestarts(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	rapid.Check(t, func(t *rapid.T) {
		a, b := newSide(1), newSide(2)
		session := uint64(2)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			s, other := a, b
			if rapid.Bool().Draw(t, "from b") {
				s, other = b, a
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				session++
				restarted := newSide(session)
				restarted.state = s.state
				*s = *restarted
			case 1, 2, 3:
				s.state = State{Loads: drawLoads(t)}
			default:
				lost := rapid.Bool().Draw(t, "lost")
				replyLost := rapid.Bool().Draw(t, "reply lost")
				s.exchange(other, now, lost, replyLost)
			}
		}
		for range 8 {
			a.exchange(b, now, false, false)
		}
		checkView(t, a.state, b.view)
		checkView(t, b.state, a.view)
	})
}

func drawLoads(t *rapid.T) []Load {
	n := rapid.IntRange(0, 5).Draw(t, "targets")
	loads := make([]Load, 0, n)
	for i := range n {
		loads = append(loads, Load{TargetLoad: describer.TargetLoad{
			Target:      identifier.Target(fmt.Sprintf("t%d", i)),
			Incarnation: identifier.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Running:     int32(rapid.IntRange(0, 4).Draw(t, "running")),
			Cold:        rapid.Bool().Draw(t, "cold"),
		}})
	}
	return loads
}

func TestLateHeartbeatIsDropped(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	a, b := newSide(1), newSide(2)
	a.state = State{Loads: []Load{testLoad("t1", 1, 1, now)}}
	late := a.peer.buildContent(&a.state, now, &a.cfg, a.session)
	a.state = State{Loads: []Load{testLoad("t1", 1, 2, now)}}
	a.exchange(b, now, false, false)
	reply, fresh := b.peer.handleHeartbeat(&late.content, &b.state, now, &b.cfg, b.session)
	assert.Assert(t, !fresh && reply.Stale)
	assert.Equal(t, b.view["t1"].Running, int32(2))
}

// TestRevertedValueIsResentAfterLostReply guards against comparing with the last
// acknowledged value only: after a lost reply, the peer may hold a later value,
// so a load that reverts to the acknowledged value must still be sent.
func TestRevertedValueIsResentAfterLostReply(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	a, b := newSide(1), newSide(2)
	for _, step := range []struct {
		running   int32
		replyLost bool
	}{{1, false}, {2, true}, {1, false}} {
		a.state = State{Loads: []Load{testLoad("t1", 1, step.running, now)}}
		a.exchange(b, now, false, step.replyLost)
		assert.Equal(t, b.view["t1"].Running, step.running)
	}
}

// TestAckOfPreviousSessionIsIgnored guards against a restarted daemon taking the
// peer's acknowledgement of a content from its previous session for one of its
// own contents with the same sequence.
func TestAckOfPreviousSessionIsIgnored(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	a, b := newSide(1), newSide(2)
	b.exchange(a, now, false, false)

	// The restarted a gives its first reply the same sequence as the previous a did.
	a = newSide(3)
	a.state = State{Loads: []Load{testLoad("t1", 1, 1, now)}}
	b.exchange(a, now, false, true)
	b.exchange(a, now, false, false)
	assert.Equal(t, b.view["t1"].Running, int32(1))
}

// benchmarkContent returns a heartbeat of a daemon that reads twelve targets.
func benchmarkContent(change int32) describer.Heartbeat {
	content := describer.Content{From: "host-017", DataCentre: "dc-07", Session: 1 << 60, Sequence: 1000, Ack: 999, ConfigVersion: 123456}
	for i := range int32(12) {
		content.Loads = append(content.Loads, describer.TargetLoad{
			Target:          identifier.Target(fmt.Sprintf("target-%05d", i)),
			Incarnation:     1 << 40,
			Running:         i + change,
			Queued:          i,
			QueuedTokens:    100 * i * change,
			AgeMilliseconds: 120,
			Sequence:        100000 + uint64(change),
		})
	}
	return describer.Heartbeat{Content: content}
}

// BenchmarkHeartbeatSize compares the encoded sizes of a heartbeat on an
// established connection, on which gob has already sent its type definitions.
func BenchmarkHeartbeatSize(b *testing.B) {
	b.Run("gob", func(b *testing.B) {
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		assert.NilError(b, enc.Encode(benchmarkContent(0)))
		for i := range b.N {
			buf.Reset()
			assert.NilError(b, enc.Encode(benchmarkContent(int32(i&7))))
		}
		b.ReportMetric(float64(buf.Len()), "bytes/message")
	})
	b.Run("cbor", func(b *testing.B) {
		var size int
		for i := range b.N {
			data, err := cbor.Marshal(benchmarkContent(int32(i & 7)))
			assert.NilError(b, err)
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes/message")
	})
}
