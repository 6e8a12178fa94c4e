package reducer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// fleetSize is the size of a benchmark's fleet.
type fleetSize struct {
	// dataCentres are spread evenly over regions; hosts and targets are counted
	// per data centre.
	dataCentres int
	regions     int
	hosts       int
	targets     int
	teams       int
	services    int
}

const (
	benchWarmLimit = 64
	// benchPromptBlocks is the length of a benchmark's prompt, in blocks.
	benchPromptBlocks = 8
	// benchPrefixes is the number of different prompts.
	benchPrefixes = 512
)

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func benchKey(team int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "team-%d", team))
	return hex.EncodeToString(sum[:])
}

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000)
}

func benchFleet(size fleetSize) specifier.Fleet {
	fleet := specifier.DefaultFleet()
	fleet.Profiles["standard"] = specifier.DefaultProfile()
	for i := range size.services {
		model := identifier.Model(fmt.Sprintf("model-%02d", i))
		fleet.Models[model] = specifier.Model{Version: "v1", BlockBytes: 1 << 20}
		fleet.Services[identifier.Service(fmt.Sprintf("service-%02d", i))] = specifier.Service{
			Kind: specifier.ServiceModel, Profile: "standard", Models: []identifier.Model{model}, Class: identifier.ClassStandard,
		}
	}
	for i := range size.teams {
		fleet.Teams[identifier.Team(fmt.Sprintf("team-%05d", i))] = specifier.Team{
			KeyHashes: []string{benchKey(i)}, Weight: 1, RequestsPerSecond: 1e9, TokensPerSecond: 1e12,
		}
	}
	for i := range size.dataCentres {
		addBenchDataCentre(fleet, size, i)
	}
	return fleet
}

// addBenchDataCentre adds data centre number i with its hosts, targets and stores.
func addBenchDataCentre(fleet specifier.Fleet, size fleetSize, i int) {
	name := identifier.DataCentre(fmt.Sprintf("dc-%02d", i))
	region := identifier.Region(fmt.Sprintf("region-%d", i%size.regions))
	fleet.DataCentres[name] = specifier.DataCentre{Region: region, State: specifier.StateIn}
	for j := range size.hosts {
		n := i*size.hosts + j
		fleet.Hosts[identifier.Host(fmt.Sprintf("entry-%04d", n))] = specifier.Host{DataCentre: name, State: specifier.StateIn, Peer: benchAddress(n)}
	}
	for j := range size.targets {
		n := i*size.targets + j
		service := identifier.Service(fmt.Sprintf("service-%02d", j%size.services))
		fleet.Targets[identifier.Target(fmt.Sprintf("target-%05d", n))] = specifier.Target{
			Service: service, DataCentre: name, Address: benchAddress(1<<20 + n), State: specifier.StateIn,
			ColdLimit: 2, WarmLimit: benchWarmLimit,
		}
	}
	for j := range 4 {
		n := i*4 + j
		fleet.Stores[identifier.Store(fmt.Sprintf("store-%03d", n))] = specifier.Store{
			DataCentre: name, Address: benchAddress(1<<22 + n), LinkBytesPerSecond: 1 << 30, State: specifier.StateIn,
		}
	}
}

// benchState returns the State of a daemon in the first data centre, whose targets
// are all warm.
func benchState(size fleetSize) *State {
	s := New(Config{Host: "entry-0000", DataCentre: "dc-00", Seed: 1, BlockSecret: []byte("secret of 16 bytes")})
	var hosts []identifier.Host
	for i := range size.hosts {
		hosts = append(hosts, identifier.Host(fmt.Sprintf("entry-%04d", i)))
	}
	s.Reduce(PeersChanged{Hosts: hosts}, benchStart)
	s.Reduce(ConfigAdopted{Version: 1, Fleet: benchFleet(size)}, benchStart)
	for i := range size.targets {
		s.Reduce(benchLoad(i, 3), benchStart)
	}
	return s
}

func benchLoad(target, running int) LoadObserved {
	return LoadObserved{
		Target:      identifier.Target(fmt.Sprintf("target-%05d", target)),
		Incarnation: 7, Running: running, PrefillTokensPerSecond: 9000,
	}
}

// benchNow is a time after the end of the targets' ramp.
var benchNow = benchStart.Add(time.Hour)

// benchPrompts returns prompts that share no block, because they differ in the
// first one.
func benchPrompts() []Prompt {
	prompts := make([]Prompt, benchPrefixes)
	for i := range prompts {
		text := fmt.Sprintf("%08d", i) + strings.Repeat("x", benchPromptBlocks*hasher.BlockBytes-8)
		prompts[i] = Prompt{Model: "model-00", Tokens: hasher.Tokens(len(text)), MaxTokens: 256, Digests: hasher.Digests(text)}
	}
	return prompts
}

// runRequest reduces all events of one request from its arrival to its end.
func (s *State) runRequest(id identifier.Request, key string, p Prompt) {
	s.Reduce(RequestArrived{Request: id, KeyHash: key, Timeout: time.Minute, Work: p}, benchNow)
	s.Reduce(LookupDone{Request: id, Failed: true}, benchNow)
	attempt := identifier.Attempt{Request: id, Number: 1}
	s.Reduce(ResponseStarted{Attempt: attempt, Incarnation: 7}, benchNow)
	s.Reduce(AttemptDone{Attempt: attempt, Incarnation: 7, Tokens: 256}, benchNow)
}

// requireStart fails b if a request with the prompt p is not sent to a target.
func requireStart(b testing.TB, s *State, p Prompt) {
	b.Helper()
	s.Reduce(RequestArrived{Request: "check", KeyHash: benchKey(0), Timeout: time.Minute, Work: p}, benchNow)
	for _, effect := range s.Reduce(LookupDone{Request: "check", Failed: true}, benchNow) {
		if start, ok := effect.(Start); ok {
			s.Reduce(AttemptDone{Attempt: start.Attempt, Incarnation: 7}, benchNow)
			return
		}
	}
	b.Fatal("the request was not started")
}

// BenchmarkRequest measures all events of one request when one service has all
// targets of the data centre.
func BenchmarkRequest(b *testing.B) {
	prompts := benchPrompts()
	for _, targets := range []int{50, 150, 545} {
		for _, teams := range []int{1000, 5000, 14000} {
			b.Run(fmt.Sprintf("targets=%d/teams=%d", targets, teams), func(b *testing.B) {
				s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 45, targets: targets, teams: teams, services: 1})
				requireStart(b, s, prompts[0])
				keys := make([]string, teams)
				for i := range keys {
					keys[i] = benchKey(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					s.runRequest(identifier.Request(fmt.Sprint(i)), keys[i%teams], prompts[i%benchPrefixes])
				}
			})
		}
	}
}

// BenchmarkDecision measures the choice of a target alone.
func BenchmarkDecision(b *testing.B) {
	prompts := benchPrompts()
	for _, targets := range []int{50, 150, 545} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 45, targets: targets, teams: 14000, services: 1})
			requireStart(b, s, prompts[0])
			for i, p := range prompts {
				s.runRequest(identifier.Request(fmt.Sprint("warm-up-", i)), benchKey(0), p)
			}
			r, denied := s.admit(RequestArrived{Request: "r", KeyHash: benchKey(1), Timeout: time.Minute, Work: prompts[1]})
			if denied != nil {
				b.Fatal(denied.message)
			}
			s.now = benchNow
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, ok := s.choose(r); !ok {
					b.Fatal("no target was chosen")
				}
			}
		})
	}
}

// BenchmarkDecisionRegion measures the choice with the whole fleet configured.
func BenchmarkDecisionRegion(b *testing.B) {
	prompts := benchPrompts()
	for _, centres := range []int{1, 6, 22} {
		b.Run(fmt.Sprintf("data-centres=%d", centres), func(b *testing.B) {
			s := benchState(fleetSize{dataCentres: centres, regions: 6, hosts: 45, targets: 545, teams: 1000, services: 1})
			r, denied := s.admit(RequestArrived{Request: "r", KeyHash: benchKey(1), Timeout: time.Minute, Work: prompts[1]})
			if denied != nil {
				b.Fatal(denied.message)
			}
			s.now = benchNow
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, ok := s.choose(r); !ok {
					b.Fatal("no target was chosen")
				}
			}
		})
	}
}

// BenchmarkLoadObserved measures one load report while requests are queued.
func BenchmarkLoadObserved(b *testing.B) {
	prompts := benchPrompts()
	for _, targets := range []int{50, 150, 545} {
		for _, queued := range []int{0, 100} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 45, targets: targets, teams: 1000, services: 1})
				loads := make([]LoadObserved, targets)
				for i := range loads {
					loads[i] = benchLoad(i, benchWarmLimit)
					s.Reduce(loads[i], benchNow)
				}
				for i := range queued {
					id := identifier.Request(fmt.Sprint(i))
					s.Reduce(RequestArrived{Request: id, KeyHash: benchKey(i), Timeout: time.Minute, Work: prompts[i]}, benchNow)
					s.Reduce(LookupDone{Request: id, Failed: true}, benchNow)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					s.Reduce(loads[i%targets], benchNow)
				}
			})
		}
	}
}

// BenchmarkTick measures one tick with requests in the daemon.
func BenchmarkTick(b *testing.B) {
	prompts := benchPrompts()
	for _, running := range []int{64, 512, 4000} {
		b.Run(fmt.Sprintf("requests=%d", running), func(b *testing.B) {
			s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 45, targets: 545, teams: 1000, services: 38})
			for i := range running {
				id := identifier.Request(fmt.Sprint(i))
				p := prompts[i%benchPrefixes]
				p.Model = identifier.Model(fmt.Sprintf("model-%02d", i%38))
				s.Reduce(RequestArrived{Request: id, KeyHash: benchKey(i % 1000), Timeout: time.Minute, Work: p}, benchNow)
				s.Reduce(LookupDone{Request: id, Failed: true}, benchNow)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.Reduce(Tick{}, benchNow)
			}
		})
	}
}

// BenchmarkIncarnation measures a target's restart with a full prefix table.
func BenchmarkIncarnation(b *testing.B) {
	for _, prefixes := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			s := benchState(fleetSize{dataCentres: 1, regions: 1, hosts: 45, targets: 545, teams: 10, services: 1})
			fillPrefixes(s, prefixes)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Reduce(IncarnationObserved{Target: "target-00001", Incarnation: identifier.Incarnation(8 + i), Cold: true}, benchNow)
			}
		})
	}
}

func fillPrefixes(s *State, n int) {
	r := &request{}
	for i := range n {
		var key identifier.BlockKey
		key[0], key[1], key[2] = byte(i>>16), byte(i>>8), byte(i)
		r.keys = []identifier.BlockKey{key}
		for j := range maxHolders {
			t := s.targets[identifier.Target(fmt.Sprintf("target-%05d", (i*7+j*131)%545))]
			s.recordCached(r, t)
		}
	}
}

// BenchmarkAdopt measures the indexing of a decoded configuration.
func BenchmarkAdopt(b *testing.B) {
	for _, teams := range []int{1000, 5000, 14000} {
		for _, targets := range []int{50, 150, 545} {
			b.Run(fmt.Sprintf("teams=%d/targets=%d", teams, targets*22), func(b *testing.B) {
				size := fleetSize{dataCentres: 22, regions: 6, hosts: 45, targets: targets, teams: teams, services: 38}
				s := benchState(size)
				fleet := benchFleet(size)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					s.Reduce(ConfigAdopted{Version: uint64(2 + i), Fleet: fleet}, benchNow)
				}
			})
		}
	}
}

// measureHeap returns build's result and the growth of the live heap in bytes.
func measureHeap[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return result, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the live heap of a State and of its parts.
func BenchmarkMemory(b *testing.B) {
	base := fleetSize{dataCentres: 1, regions: 1, hosts: 8, targets: 24, teams: 20, services: 2}
	whole := fleetSize{dataCentres: 22, regions: 6, hosts: 45, targets: 545, teams: 14000, services: 38}
	for _, size := range []fleetSize{base, {1, 1, 45, 545, 20, 38}, {1, 1, 45, 545, 14000, 38}, whole} {
		name := fmt.Sprintf("state/data-centres=%d/targets=%d/teams=%d", size.dataCentres, size.targets, size.teams)
		b.Run(name, func(b *testing.B) {
			for range b.N {
				s, bytes := measureHeap(func() *State { return benchState(size) })
				b.ReportMetric(bytes, "B/state")
				runtime.KeepAlive(s)
			}
		})
	}
	for _, n := range []int{4096, 16384, 65536} {
		b.Run(fmt.Sprintf("prefixes=%d", n), func(b *testing.B) {
			for range b.N {
				s := benchState(fleetSize{1, 1, 45, 545, 10, 1})
				_, bytes := measureHeap(func() int { fillPrefixes(s, n); return n })
				b.ReportMetric(bytes/float64(n), "B/prefix")
				runtime.KeepAlive(s)
			}
		})
	}
	prompts := benchPrompts()
	for _, n := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for range b.N {
				s := benchState(fleetSize{1, 1, 45, 545, 1000, 1})
				_, bytes := measureHeap(func() int {
					for i := range n {
						id := identifier.Request(fmt.Sprintf("request-%d", i))
						s.Reduce(RequestArrived{Request: id, KeyHash: benchKey(i % 1000), Timeout: time.Minute, Work: prompts[i%benchPrefixes]}, benchNow)
						s.Reduce(LookupDone{Request: id, Failed: true}, benchNow)
					}
					return n
				})
				b.ReportMetric(bytes/float64(n), "B/request")
				runtime.KeepAlive(s)
			}
		})
	}
	for _, n := range []int{1000, 5000, 14000} {
		b.Run(fmt.Sprintf("buckets=%d", n), func(b *testing.B) {
			for range b.N {
				s := benchState(fleetSize{1, 1, 45, 50, n, 1})
				_, bytes := measureHeap(func() int {
					for i := range n {
						team := identifier.Team(fmt.Sprintf("team-%05d", i))
						s.chargeTeam(&request{team: team, call: &Call{}})
					}
					return n
				})
				b.ReportMetric(bytes/float64(n), "B/bucket")
				runtime.KeepAlive(s)
			}
		})
	}
}
