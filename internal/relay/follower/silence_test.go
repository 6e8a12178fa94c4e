package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/testing/piper"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// virtualClock is the clock of a synctest bubble.
type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

// startVirtual starts a follower in a synctest bubble, behind a handler. It returns the function that stops it.
func startVirtual(t *testing.T, handler http.Handler, watches func() bool, send func([]WatchUpdate)) (*Follower, *eventLog, func()) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	l := piper.New(addr)
	srv := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = srv.Serve(l) // Ends when the test closes it.
	}()
	c, err := caller.New(caller.Config{
		Platform: addr, Timeout: time.Second,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return l.Dial(ctx) },
	})
	assert.NilError(t, err)
	events := &eventLog{}
	f := New(Config{
		Host: hostName, Caller: c, Clock: virtualClock{}, Logger: hclog.NewNullLogger(), Post: events.post, WatchesPlatform: watches, SendUpdates: send,
		Stores: func() []netip.AddrPort { return nil }, FollowsStore: func(netip.AddrPort) bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	return f, events, func() {
		cancel()
		assert.NilError(t, <-done)
		_ = srv.Close() // Ends the connections in memory.
		c.CloseIdle()
		<-served
	}
}

// sendToNone drops the updates of a follower.
func sendToNone([]WatchUpdate) {}

// awaitEvents waits until each log has an event that matches, in virtual time.
func awaitEvents[E decider.Event](logs []*eventLog, matches func(E) bool) {
	for _, log := range logs {
		for !log.contains(func(ev decider.Event) bool {
			e, ok := ev.(E)
			return ok && matches(e)
		}) {
			time.Sleep(time.Millisecond)
		}
	}
}

// contains reports whether an event matches.
func (l *eventLog) contains(matches func(decider.Event) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.events, matches)
}

// TestSilentOutageHidesChanges guards against a watch that was sent, or answered, while the platform's store was
// silent for a moment: it gets no answer, and no other call of the host fails. The bounds are the times after the
// outage from which targets may get no requests once they leave, and from which a host counts as in contact again.
func TestSilentOutageHidesChanges(t *testing.T) {
	const rounds = 6 // Rounds of each case, as watches wait random times.
	for _, length := range []time.Duration{50, 120, 420, 1000, 2500, 8000} {
		for _, begin := range []time.Duration{0, 1, 100, 250, 400, 700, 1500, 3000} {
			length, begin := length*time.Millisecond, begin*time.Millisecond
			t.Run(fmt.Sprintf("%v, %v after a change", length, begin), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(rounds) {
					synctest.Test(t, func(t *testing.T) { checkSilentOutage(t, begin, length, seed) })
				}
			})
		}
	}
}

func checkSilentOutage(t *testing.T, begin, length time.Duration, seed uint64) {
	store := imitator.NewStore()
	silencer := &imitator.Silencer{Handler: store}
	put := func(version int) {
		store.Put(caller.KindConfig, caller.ConfigName, fmt.Sprintf(`{"version":%d}`, version))
		store.Put(caller.KindTargets, fmt.Sprint("target-", version), targetSpec)
		store.Put(caller.KindWeights, "m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
		store.Put(caller.KindEvacuations, fmt.Sprint("dc-", version), `{}`)
		store.Put(caller.KindHosts, fmt.Sprint("host-", version), `{"address":"10.0.0.2:7000","data-centre":"a"}`)
	}
	put(1)
	_, events, stop := startVirtual(t, silencer, always, sendToNone)
	defer stop()
	// A host that relies on updates of the other one learns of changes as soon.
	receiver, received, stopReceiver := startVirtual(t, silencer, never, sendToNone)
	defer stopReceiver()
	_, _, stopWatcher := startVirtual(t, silencer, always, receiver.Receive)
	defer stopWatcher()
	rng := rand.New(rand.NewPCG(seed, uint64(begin)))
	time.Sleep(3*time.Second + time.Duration(rng.Int64N(int64(time.Second))))
	put(2)
	time.Sleep(begin)
	silencer.SetSilent(true)
	time.Sleep(length)
	silencer.SetSilent(false)
	returned := time.Now()
	time.Sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
	put(3)
	check := func(what string, within time.Duration) {
		assert.Check(t, time.Since(returned) <= within, "seed %d: %s known %v after the outage", seed, what, time.Since(returned))
	}
	logs := []*eventLog{events, received}
	awaitEvents(logs, func(ev decider.TargetsListed) bool {
		return slices.ContainsFunc(ev.Targets, func(target descriptor.Target) bool { return target.ID == "target-3" })
	})
	check("target", defaultDrainTime)
	awaitEvents(logs, func(ev decider.ConfigListed) bool { return ev.Config.Version == 3 })
	check("configuration", defaultContactTime)
	awaitEvents(logs, func(ev decider.DesiredWeightsChanged) bool { return ev.Version == 3 })
	check("weights", defaultContactTime)
	awaitEvents(logs, func(ev decider.EvacuationsListed) bool { return len(ev.DataCentres) == 3 })
	check("evacuation", defaultContactTime)
	awaitEvents(logs, func(ev decider.HostsListed) bool { return len(ev.Hosts) == 3 })
	check("host", 2*defaultContactTime)
}
