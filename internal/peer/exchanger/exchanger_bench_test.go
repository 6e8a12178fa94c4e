package exchanger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// mesh is a set of exchangers that all exchange heartbeats over loopback.
type mesh struct {
	exchangers []*Exchanger
	rng        *rand.Rand
	loads      [][]Load
	// receivedLoads counts the load entries received.
	receivedLoads atomic.Int64
	pushed        atomic.Int64
	stop          func()
	wait          sync.WaitGroup
}

type meshHandler struct{ m *mesh }

func (h meshHandler) OnHeartbeat(c describer.Content) { h.m.receivedLoads.Add(int64(len(c.Loads))) }
func (h meshHandler) OnPeerChange(PeerChange)         {}
func (h meshHandler) OnPushConfig(msg describer.PushConfig) (describer.PushConfigReply, error) {
	h.m.pushed.Add(1)
	return describer.PushConfigReply{Version: msg.Version}, nil
}

func (h meshHandler) OnFetchConfig(describer.FetchConfig) (describer.FetchConfigReply, error) {
	return describer.FetchConfigReply{}, nil
}

func (h meshHandler) OnPermit(describer.Permit) (describer.PermitReply, error) {
	return describer.PermitReply{Granted: true}, nil
}

func (h meshHandler) OnRelease(describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	return describer.ReleasePermitReply{Released: true}, nil
}

func (h meshHandler) OnLink(describer.Link) (describer.LinkReply, error) {
	return describer.LinkReply{Granted: true}, nil
}

func (h meshHandler) OnReturnLink(describer.ReturnLink) (describer.ReturnLinkReply, error) {
	return describer.ReturnLinkReply{Returned: true}, nil
}

func (h meshHandler) OnExplain(describer.Explain) (describer.ExplainReply, error) {
	return describer.ExplainReply{}, nil
}

// meshSize holds the size of a mesh and its update rates.
type meshSize struct {
	peers   int
	targets int
	// interval is the time between two heartbeats.
	interval time.Duration
	// loadChange and tokenChange are the smallest changes in requests and in
	// queued tokens that are sent.
	loadChange  int32
	tokenChange int32
	// readInterval is the time between two reads of a target; 0 means that the
	// loads don't change.
	readInterval time.Duration
}

func dialLoopback(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

func newMesh(b *testing.B, size meshSize) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{rng: rand.New(rand.NewPCG(1, 1)), stop: cancel}
	var peers []Peer
	var listeners []net.Listener
	for i := range size.peers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, ln)
		peers = append(peers, Peer{Host: identifier.Host(fmt.Sprintf("entry-%04d", i)), Address: ln.Addr().(*net.TCPAddr).AddrPort()})
	}
	for i := range size.peers {
		x, err := New(Config{
			Self: peers[i].Host, DataCentre: "dc-00", Clock: clockwork.NewRealClock(), Listener: listeners[i],
			Dial: dialLoopback, Peers: func() []Peer { return peers }, Handler: meshHandler{m}, Seed: uint64(i),
			Interval: size.interval, MinLoadChange: size.loadChange, MinTokenChange: size.tokenChange,
		})
		if err != nil {
			b.Fatal(err)
		}
		m.exchangers = append(m.exchangers, x)
		m.loads = append(m.loads, newLoads(i, size.targets))
		m.wait.Go(func() { _ = x.Run(ctx) })
	}
	b.Cleanup(func() { cancel(); m.wait.Wait() })
	return m
}

func newLoads(owner, targets int) []Load {
	loads := make([]Load, targets)
	for i := range loads {
		name := identifier.Target(fmt.Sprintf("target-%05d", owner*targets+i))
		loads[i] = Load{TargetLoad: describer.TargetLoad{Target: name, Incarnation: 1767225600000000000, Running: 24}, AsOf: time.Now()}
	}
	return loads
}

// meanRunning is the mean number of requests on a target.
const meanRunning = 24

// change moves each load by one step of a random walk around its mean, like one
// read of the targets, and publishes the loads.
func (m *mesh) change(sequence uint64) {
	for i, x := range m.exchangers {
		loads := append([]Load(nil), m.loads[i]...)
		for j := range loads {
			l := &loads[j]
			l.Running = max(0, l.Running+int32(m.rng.IntN(5)-2)+(meanRunning-l.Running)/8)
			l.QueuedTokens = int32(m.rng.IntN(4096))
			l.Sequence, l.AsOf = sequence, time.Now()
		}
		m.loads[i] = loads
		x.Publish(State{ConfigVersion: 1, Loads: loads})
	}
}

// usage holds the resources used by the process since its start.
type usage struct {
	cpu           time.Duration
	bytes         uint64
	receivedLoads int64
}

func (m *mesh) usage() usage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	result := usage{cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), receivedLoads: m.receivedLoads.Load()}
	for _, x := range m.exchangers {
		_, out := x.WireBytes()
		result.bytes += out
	}
	return result
}

const (
	meshWarmUp  = 2 * time.Second
	meshMeasure = 4 * time.Second
	// meshStep is the interval of the check whether a read is due.
	meshStep = 250 * time.Millisecond
)

// measure changes loads every interval for a while and reports the usage per daemon.
func (m *mesh) measure(b *testing.B, interval time.Duration) {
	ticker := time.NewTicker(meshStep)
	defer ticker.Stop()
	sequence, changed := uint64(1), time.Now()
	m.change(sequence)
	run := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
			if interval > 0 && time.Since(changed) >= interval-meshStep/2 {
				sequence++
				changed = time.Now()
				m.change(sequence)
			}
		}
	}
	run(meshWarmUp)
	before, began := m.usage(), time.Now()
	run(meshMeasure)
	after, seconds := m.usage(), time.Since(began).Seconds()
	n := float64(len(m.exchangers))
	bytes := float64(after.bytes-before.bytes) / seconds / n
	b.ReportMetric(bytes, "B-out/daemon/s")
	b.ReportMetric(bytes/max(1, n-1), "B-out/peer/s")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds/n, "%core/daemon")
	b.ReportMetric(float64(after.receivedLoads-before.receivedLoads)/seconds/n, "loads-in/daemon/s")
}

// BenchmarkMesh measures heartbeats between the daemons of one data centre, each
// of which reads twelve targets. It runs in real time.
func BenchmarkMesh(b *testing.B) {
	const targets = 12
	sizes := []meshSize{
		{interval: 500 * time.Millisecond},
		{interval: 500 * time.Millisecond, readInterval: 250 * time.Millisecond, loadChange: 1},
		{interval: 500 * time.Millisecond, readInterval: 250 * time.Millisecond, loadChange: 4},
		{interval: time.Second, readInterval: time.Second, loadChange: 1},
		{interval: time.Second, readInterval: time.Second, loadChange: 4},
		{interval: 2 * time.Second, readInterval: time.Second, loadChange: 1},
	}
	for _, size := range sizes {
		for _, peers := range []int{5, 15, 45} {
			size.peers, size.targets, size.tokenChange = peers, targets, size.loadChange*DefaultMinTokenChange
			name := fmt.Sprintf("interval=%s/reading=%s/least=%d/peers=%d", size.interval, size.readInterval, size.loadChange, peers)
			b.Run(name, func(b *testing.B) {
				for range b.N {
					newMesh(b, size).measure(b, size.readInterval)
				}
			})
		}
	}
}

// BenchmarkPush measures pushing a configuration to all peers.
func BenchmarkPush(b *testing.B) {
	for _, peers := range []int{5, 15, 45} {
		for _, kilobytes := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("peers=%d/KB=%d", peers, kilobytes), func(b *testing.B) {
				m := newMesh(b, meshSize{peers: peers, interval: time.Second})
				time.Sleep(meshWarmUp)
				msg := describer.PushConfig{Version: 2, Raw: make([]byte, kilobytes<<10)}
				before := m.usage()
				b.ResetTimer()
				for range b.N {
					m.pushAll(b, msg)
				}
				after := m.usage()
				pushes := float64(b.N * (peers - 1))
				b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/pushes, "cpu-us/push")
				b.ReportMetric(float64(after.bytes-before.bytes)/pushes, "B/push")
			})
		}
	}
}

// pushAll sends msg from the first exchanger to all others concurrently.
func (m *mesh) pushAll(b *testing.B, msg describer.PushConfig) {
	var group sync.WaitGroup
	for _, x := range m.exchangers[1:] {
		group.Go(func() {
			if _, err := m.exchangers[0].PushConfig(context.Background(), x.cfg.Self, msg); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
}
