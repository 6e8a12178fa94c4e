package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/certifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
	"cardamomscale.example/cardamomscale/internal/standin/issuer"
	"cardamomscale.example/cardamomscale/internal/testing/piper"
	"cardamomscale.example/cardamomscale/internal/testing/sampler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testStep is how far the fake clock advances between two checks of a condition.
const testStep = 20 * time.Millisecond

// network connects exchangers through in-memory pipes.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*piper.Listener
	conns     []*silentConn
}

func newNetwork() *network {
	return &network{listeners: make(map[netip.AddrPort]*piper.Listener)}
}

func (n *network) listen(addr netip.AddrPort) net.Listener {
	l := piper.New(addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("no listener at the address")
	}
	near, err := l.Dial(ctx)
	if err != nil {
		return nil, err
	}
	conn := &silentConn{Conn: near}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return conn, nil
}

// silence makes all current connections drop all data.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.silent.Store(true)
	}
}

func (n *network) dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// silentConn can drop all data while it stays open.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// recorder is a Handler that records heartbeats and peer changes.
type recorder struct {
	mu       sync.Mutex
	contents []describer.Content
	changes  []PeerChange
}

func (h *recorder) OnHeartbeat(content describer.Content) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents = append(h.contents, content)
}

func (h *recorder) OnPeerChange(change PeerChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, change)
}

func (h *recorder) OnPushConfig(msg describer.PushConfig) (describer.PushConfigReply, error) {
	if msg.Version == 0 {
		return describer.PushConfigReply{}, errors.New("version 0")
	}
	return describer.PushConfigReply{Version: msg.Version}, nil
}

func (h *recorder) OnFetchConfig(msg describer.FetchConfig) (describer.FetchConfigReply, error) {
	return describer.FetchConfigReply{Version: msg.Above + 1, Raw: []byte("raw")}, nil
}

func (h *recorder) OnPermit(msg describer.Permit) (describer.PermitReply, error) {
	return describer.PermitReply{Granted: msg.Term == time.Second, Fence: 9}, nil
}

func (h *recorder) OnRelease(msg describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	return describer.ReleasePermitReply{Released: msg.Request == "r1"}, nil
}

func (*recorder) OnLink(describer.Link) (describer.LinkReply, error) {
	return describer.LinkReply{Granted: true}, nil
}

func (*recorder) OnReturnLink(describer.ReturnLink) (describer.ReturnLinkReply, error) {
	return describer.ReturnLinkReply{Returned: true}, nil
}

func (h *recorder) OnExplain(msg describer.Explain) (describer.ExplainReply, error) {
	return describer.ExplainReply{Found: true, JSON: []byte(`"` + msg.Request + `"`)}, nil
}

// loads returns all entries received from a host for a target, in order.
func (h *recorder) loads(from identifier.Host, target identifier.Target) []describer.TargetLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	var loads []describer.TargetLoad
	for _, content := range h.contents {
		for _, load := range content.Loads {
			if content.From == from && load.Target == target {
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// contentCount returns the number of contents received from a host.
func (h *recorder) contentCount(from identifier.Host) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, content := range h.contents {
		if content.From == from {
			n++
		}
	}
	return n
}

func (h *recorder) lastHealth(host identifier.Host) Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range slices.Backward(h.changes) {
		if change.Host == host {
			return change.Health
		}
	}
	return ""
}

// member is a running exchanger with its recorder.
type member struct {
	*Exchanger
	recorder *recorder
	stop     func()
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

func host(i int) identifier.Host { return identifier.Host(fmt.Sprintf("host-%d", i)) }

// fleet is a network of members with a common fake clock.
type fleet struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	network   *network
	peers     []Peer
	configure func(*Config)
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, clock: clockwork.NewFakeClock(), network: newNetwork(), configure: func(*Config) {}}
	for i := 1; i <= size; i++ {
		f.peers = append(f.peers, Peer{Host: host(i), Address: address(i)})
	}
	return f
}

// start starts member i.
func (f *fleet) start(i int, seed uint64) *member {
	f.t.Helper()
	m := &member{recorder: &recorder{}}
	cfg := Config{
		Self:       host(i),
		DataCentre: "dc-1",
		Clock:      f.clock,
		Listener:   f.network.listen(address(i)),
		Dial:       f.network.dial,
		Peers:      func() []Peer { return f.peers },
		Handler:    m.recorder,
		Seed:       seed,
	}
	f.configure(&cfg)
	x, err := New(cfg)
	assert.NilError(f.t, err)
	m.Exchanger = x
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(f.t, <-done)
	})
	f.t.Cleanup(m.stop)
	return m
}

// await advances the clock until condition holds.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	check := func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		f.clock.Advance(testStep)
		return poll.Continue("%s", what)
	}
	poll.WaitOn(f.t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

// advance moves the clock by d in small steps.
func (f *fleet) advance(d time.Duration) {
	f.t.Helper()
	end := f.clock.Now().Add(d)
	f.await("time passes", func() bool { return !f.clock.Now().Before(end) })
}

func testLoad(target identifier.Target, incarnation identifier.Incarnation, running int32, asOf time.Time) Load {
	return Load{
		TargetLoad: describer.TargetLoad{Target: target, Incarnation: incarnation, Running: running},
		AsOf:       asOf,
	}
}

func TestHeartbeatsCarryOnlyChanges(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start(1, 1), f.start(2, 2)
	asOf := f.clock.Now()
	a.Publish(State{ConfigVersion: 3, Loads: []Load{testLoad("t1", 1, 4, asOf), testLoad("t2", 1, 5, asOf)}})
	f.await("first loads", func() bool { return len(b.recorder.loads(host(1), "t2")) > 0 })

	// Member a may send the loads again until b's acknowledgement arrives.
	before := a.recorder.contentCount(host(2))
	f.await("acknowledgement", func() bool { return a.recorder.contentCount(host(2)) >= before+2 })
	sent := len(b.recorder.loads(host(1), "t2"))
	a.Publish(State{ConfigVersion: 3, Loads: []Load{testLoad("t1", 1, 6, asOf), testLoad("t2", 1, 5, asOf)}})
	f.await("changed load", func() bool {
		loads := b.recorder.loads(host(1), "t1")
		return loads[len(loads)-1].Running == 6
	})
	before = b.recorder.contentCount(host(1))
	f.await("five more contents", func() bool { return b.recorder.contentCount(host(1)) >= before+5 })
	assert.Equal(t, len(b.recorder.loads(host(1), "t2")), sent)
	assert.Equal(t, b.recorder.lastHealth(host(1)), HealthLive)
	assert.Equal(t, a.recorder.lastHealth(host(2)), HealthLive)
	in, out := a.WireBytes()
	assert.Assert(t, in > 0 && out > 0)
	assert.Equal(t, a.Traffic()[0].Method, describer.MethodHeartbeat)
	assert.Assert(t, a.Traffic()[0].Out > 0)
}

// TestOneHeartbeatPerPairAndInterval guards against both sides sending every
// interval, which would double the traffic: a reply carries the same content.
func TestOneHeartbeatPerPairAndInterval(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start(1, 1), f.start(2, 2)
	f.await("first contents", func() bool {
		return a.recorder.contentCount(host(2)) > 0 && b.recorder.contentCount(host(1)) > 0
	})
	before := b.recorder.contentCount(host(1))
	const intervals = 20
	f.advance(intervals * time.Second)
	got := b.recorder.contentCount(host(1)) - before
	assert.Assert(t, got >= intervals/2 && got <= intervals*3/2, "%d contents in %d intervals", got, intervals)
}

func TestUrgentChangeIsSentAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(*State)
	}{
		{"cold", func(s *State) { s.Loads[0].Cold = true }},
		{"incarnation", func(s *State) { s.Loads[0].Incarnation = 2 }},
		{"unreachable", func(s *State) { s.Loads[0].Unreachable = true }},
		{"configuration", func(s *State) { s.ConfigVersion = 8 }},
		{"leaving", func(s *State) { s.Leaving = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 2)
			a, b := f.start(1, 1), f.start(2, 2)
			state := State{ConfigVersion: 7, Loads: []Load{testLoad("t1", 1, 0, f.clock.Now())}}
			a.Publish(state)
			f.await("first load", func() bool { return len(b.recorder.loads(host(1), "t1")) > 0 })
			before := b.recorder.contentCount(host(1))

			changed := State{ConfigVersion: 7, Loads: slices.Clone(state.Loads)}
			test.change(&changed)
			a.Publish(changed)
			// The clock doesn't advance, so only an urgent heartbeat can arrive.
			check := func(poll.LogT) poll.Result {
				if b.recorder.contentCount(host(1)) > before {
					return poll.Success()
				}
				return poll.Continue("urgent heartbeat")
			}
			poll.WaitOn(t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
		})
	}
}

// TestSilentConnectionIsReplaced guards against heartbeats that stay on a
// connection which drops all data without closing.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start(1, 1), f.start(2, 2)
	f.await("first contents", func() bool {
		return a.recorder.contentCount(host(2)) > 0 && b.recorder.contentCount(host(1)) > 0
	})
	dials := f.network.dials()
	f.network.silence()
	countA, countB := a.recorder.contentCount(host(2)), b.recorder.contentCount(host(1))
	f.await("contents on new connections", func() bool {
		return a.recorder.contentCount(host(2)) > countA && b.recorder.contentCount(host(1)) > countB
	})
	assert.Assert(t, f.network.dials() > dials)
}

func TestTimedOutCallReplacesConnection(t *testing.T) {
	f := newFleet(t, 2)
	// The long interval keeps heartbeats and the idle limit of the other side from
	// replacing the connection.
	f.configure = func(cfg *Config) { cfg.Interval = time.Hour }
	a := f.start(1, 1)
	f.start(2, 2)
	f.await("peer is known", func() bool { return a.findPeer(host(2)) != nil })
	assert.NilError(t, f.explain(a, host(2)))
	f.network.silence()
	assertKind(t, f.explain(a, host(2)), KindTimeout)
	assert.NilError(t, f.explain(a, host(2)))
}

// explain calls a peer while the clock advances.
func (f *fleet) explain(from *member, to identifier.Host) error {
	f.t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := from.Explain(context.Background(), to, describer.Explain{Request: "r1"})
		done <- err
	}()
	var err error
	f.await("call ends", func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

func TestSilentPeerBecomesSuspectAndRecovers(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start(1, 1), f.start(2, 2)
	f.await("live", func() bool { return a.recorder.lastHealth(host(2)) == HealthLive })
	b.stop()
	f.await("suspect", func() bool { return a.recorder.lastHealth(host(2)) == HealthSuspect })

	state := State{Loads: []Load{testLoad("t1", 1, 4, f.clock.Now())}}
	a.Publish(state)
	b = f.start(2, 99)
	f.await("live again", func() bool { return a.recorder.lastHealth(host(2)) == HealthLive })
	f.await("load in the new session", func() bool { return len(b.recorder.loads(host(1), "t1")) > 0 })
}

// TestRestartedPeerReceivesFullState guards against sending only changes to a
// peer whose restart lost the acknowledged entries.
func TestRestartedPeerReceivesFullState(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start(1, 1), f.start(2, 2)
	a.Publish(State{Loads: []Load{testLoad("t1", 1, 4, f.clock.Now())}})
	f.await("load", func() bool { return len(b.recorder.loads(host(1), "t1")) > 0 })
	b.stop()
	b = f.start(2, 77)
	f.await("load after the restart", func() bool { return len(b.recorder.loads(host(1), "t1")) > 0 })
}

func TestCalls(t *testing.T) {
	f := newFleet(t, 2)
	f.configure = func(cfg *Config) {
		if cfg.Self == host(2) {
			cfg.MaxMessage = 1 << 16
		}
	}
	a := f.start(1, 1)
	f.start(2, 2)
	f.await("live", func() bool { return a.recorder.lastHealth(host(2)) == HealthLive })
	ctx := context.Background()

	pushed, err := a.PushConfig(ctx, host(2), describer.PushConfig{Version: 5, Raw: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, pushed.Version, uint64(5))
	fetched, err := a.FetchConfig(ctx, host(2), describer.FetchConfig{Above: 5})
	assert.NilError(t, err)
	assert.DeepEqual(t, fetched, describer.FetchConfigReply{Version: 6, Raw: []byte("raw")})
	permit, err := a.Permit(ctx, host(2), describer.Permit{Term: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, permit, describer.PermitReply{Granted: true, Fence: 9})
	released, err := a.Release(ctx, host(2), describer.ReleasePermit{Request: "r1"})
	assert.NilError(t, err)
	assert.Assert(t, released.Released)
	explained, err := a.Explain(ctx, host(2), describer.Explain{Request: "r1"})
	assert.NilError(t, err)
	assert.Equal(t, string(explained.JSON), `"r1"`)

	_, err = a.PushConfig(ctx, host(2), describer.PushConfig{})
	assertKind(t, err, KindRefused)
	_, err = a.PushConfig(ctx, "host-9", describer.PushConfig{Version: 1})
	assertKind(t, err, KindUnknownPeer)
	_, err = a.PushConfig(ctx, host(2), describer.PushConfig{Version: 1, Raw: make([]byte, DefaultMaxMessage)})
	assertKind(t, err, KindTooLarge)
	_, err = a.PushConfig(ctx, host(2), describer.PushConfig{Version: 1, Raw: make([]byte, 1<<17)})
	assertKind(t, err, KindBroken)
	_, err = a.Explain(ctx, host(2), describer.Explain{Request: "r2"})
	assert.NilError(t, err, "the connection is replaced after an oversized message")
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	var failure *Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Kind, want)
}

func TestUnreachablePeer(t *testing.T) {
	f := newFleet(t, 2)
	a := f.start(1, 1)
	f.await("peer is known", func() bool { return a.findPeer(host(2)) != nil })
	_, err := a.Permit(context.Background(), host(2), describer.Permit{})
	assertKind(t, err, KindUnreachable)
}

func TestMalformedInputDoesNotStopServer(t *testing.T) {
	f := newFleet(t, 2)
	a := f.start(1, 1)
	rng := rand.New(rand.NewPCG(5, 5))
	for range 50 {
		conn, err := f.network.dial(context.Background(), address(1))
		assert.NilError(t, err)
		garbage := make([]byte, 1+rng.IntN(200))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		go func() {
			_, _ = conn.Write(garbage)
			_, _ = io.Copy(io.Discard, conn)
		}()
		f.await("one step", func() bool { return true })
		conn.Close()
	}
	b := f.start(2, 2)
	f.await("heartbeats continue", func() bool { return a.recorder.contentCount(host(2)) > 0 && b.recorder.contentCount(host(1)) > 0 })
}

// TestEndlessMessageOfPeerEnds guards against a connection of a peer that sends a message without
// end, fast or a byte at a time.
func TestEndlessMessageOfPeerEnds(t *testing.T) {
	// A gob message that announces 1 GB less a byte, of a length in four bytes.
	long := []byte{0xfc, 0x3f, 0xff, 0xff, 0xff}
	for name, c := range map[string]struct {
		begin []byte
		step  time.Duration
	}{
		"fast": {long, 0}, "slow": {long, testStep}, "no message": {[]byte("bytes "), 0},
	} {
		f := newFleet(t, 1)
		f.configure = func(cfg *Config) { cfg.MaxMessage = 1 << 16 }
		f.start(1, 1)
		conn, err := f.network.dial(context.Background(), address(1))
		assert.NilError(t, err)
		var ended atomic.Bool
		heapGrowth := sampler.StartHeap()
		go func() {
			_, err := conn.Write(c.begin)
			for err == nil {
				if c.step > 0 {
					time.Sleep(time.Millisecond) // The clock of the fleet advances meanwhile.
					_, err = conn.Write(make([]byte, 1))
					continue
				}
				_, err = conn.Write(make([]byte, 1<<12))
			}
			ended.Store(true)
		}()
		f.await(name, ended.Load)
		grown := heapGrowth()
		assert.Check(t, grown < 64<<16, "%s: the heap grew by %d KiB", name, grown>>10)
		assert.NilError(t, conn.Close())
	}
}

func TestInboundConnectionsAreLimited(t *testing.T) {
	f := newFleet(t, 1)
	f.configure = func(cfg *Config) { cfg.MaxConnections = 2 }
	f.start(1, 1)
	var conns []net.Conn
	for range 2 {
		conn, err := f.network.dial(context.Background(), address(1))
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	third, err := f.network.dial(context.Background(), address(1))
	assert.NilError(t, err)
	_, err = third.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	// The first two are idle and are closed later.
	var ended atomic.Int32
	for _, conn := range conns {
		go func() {
			if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				ended.Add(1)
			}
		}()
	}
	f.await("idle connections end", func() bool { return ended.Load() == 2 })
}

func TestRemovedPeerIsReportedGone(t *testing.T) {
	f := newFleet(t, 2)
	var gone atomic.Bool
	f.configure = func(cfg *Config) {
		all := cfg.Peers
		cfg.Peers = func() []Peer {
			if gone.Load() {
				return nil
			}
			return all()
		}
	}
	a := f.start(1, 1)
	f.start(2, 2)
	f.await("live", func() bool { return a.recorder.lastHealth(host(2)) == HealthLive })
	gone.Store(true)
	f.await("gone", func() bool { return a.recorder.lastHealth(host(2)) == HealthGone })
}

func TestMutualTLS(t *testing.T) {
	f := newFleet(t, 3)
	authority, err := issuer.New(f.clock.Now(), time.Hour)
	assert.NilError(t, err)
	roles := map[identifier.Host]string{host(1): "daemon", host(2): "daemon", host(3): "read"}
	f.configure = func(cfg *Config) {
		bundle, err := authority.Issue(issuer.Request{
			Name:      string(cfg.Self),
			Roles:     []string{roles[cfg.Self]},
			NotBefore: f.clock.Now(),
			Validity:  time.Hour,
		})
		assert.NilError(t, err)
		dir := t.TempDir()
		assert.NilError(t, bundle.Write(dir))
		c, err := certifier.New(certifier.Config{
			Clock:           f.clock,
			CAFile:          dir + "/" + issuer.CAFile,
			CertificateFile: dir + "/" + issuer.CertificateFile,
			KeyFile:         dir + "/" + issuer.KeyFile,
		})
		assert.NilError(t, err)
		cfg.ClientTLS = c.ClientConfig(certifier.RoleDaemon)
		cfg.ServerTLS = c.ServerConfig(certifier.RoleDaemon)
	}
	a, b, c := f.start(1, 1), f.start(2, 2), f.start(3, 3)
	f.await("contents of daemons", func() bool {
		return a.recorder.contentCount(host(2)) > 1 && b.recorder.contentCount(host(1)) > 1
	})
	assert.Equal(t, a.recorder.contentCount(host(3)), 0)
	assert.Equal(t, b.recorder.contentCount(host(3)), 0)
	assert.Equal(t, c.recorder.contentCount(host(1)), 0)
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{})
	assertKind(t, err, KindInvalid)
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte{0xff, 0x81, 0x03, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &bufferConn{Reader: bytes.NewReader(data)}
		c := newCodec(conn, 1<<10, newCounters(), func() {})
		var msg describer.Heartbeat
		for c.readHeader(&msg) == nil && c.readBody(&msg) == nil {
			assert.Assert(t, c.reader.consumed <= 1<<10)
		}
	})
}

type bufferConn struct{ *bytes.Reader }

func (bufferConn) Write(p []byte) (int, error) { return len(p), nil }

func (bufferConn) Close() error { return nil }
