package specifier

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// benchSize is the number of entries of each kind.
type benchSize struct{ teams, hosts, targets, stores, models int }

func benchFleet(size benchSize) Fleet {
	fleet := DefaultFleet()
	fleet.Profiles["standard"] = DefaultProfile()
	for i := range 22 {
		fleet.DataCentres[benchDataCentre(i)] = DataCentre{Region: identifier.Region(fmt.Sprintf("region-%d", i%6)), State: StateIn}
	}
	for i := range size.models {
		model := identifier.Model(fmt.Sprintf("model-%02d", i))
		fleet.Models[model] = Model{Version: "2026-11-30", MaxPromptTokens: 32768, MaxOutputTokens: 2048, BlockBytes: 4 << 20}
		fleet.Services[identifier.Service(fmt.Sprintf("service-%02d", i))] = Service{
			Kind: ServiceModel, Profile: "standard", Models: []identifier.Model{model}, Class: identifier.ClassStandard,
		}
	}
	for i := range size.teams {
		sum := sha256.Sum256(fmt.Appendf(nil, "team-%d", i))
		fleet.Teams[identifier.Team(fmt.Sprintf("team-%05d", i))] = Team{
			KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1, RequestsPerSecond: 20, TokensPerSecond: 50000,
		}
	}
	for i := range size.hosts {
		fleet.Hosts[identifier.Host(fmt.Sprintf("entry-%04d", i))] = Host{DataCentre: benchDataCentre(i % 22), State: StateIn, Peer: benchAddress(i)}
	}
	for i := range size.targets {
		fleet.Targets[identifier.Target(fmt.Sprintf("target-%05d", i))] = Target{
			Service: identifier.Service(fmt.Sprintf("service-%02d", i%max(1, size.models))), DataCentre: benchDataCentre(i % 22),
			Address: benchAddress(1<<20 + i), State: StateIn, ColdLimit: 2, WarmLimit: 32,
		}
	}
	for i := range size.stores {
		fleet.Stores[identifier.Store(fmt.Sprintf("store-%03d", i))] = Store{
			DataCentre: benchDataCentre(i % 22), Address: benchAddress(1<<22 + i), LinkBytesPerSecond: defaultLinkBytesPerSecond, State: StateIn,
		}
	}
	return fleet
}

func benchDataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("dc-%02d", i))
}

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000)
}

func benchDocument(b *testing.B, size benchSize) []byte {
	raw, err := json.Marshal(Document{Change: Change{Author: "operator", Token: "t"}, Fleet: benchFleet(size)})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkSize measures the encoded size of each kind of entry and the cost of
// encoding it.
func BenchmarkSize(b *testing.B) {
	kinds := []struct {
		name string
		size func(n int) benchSize
	}{
		{"team", func(n int) benchSize { return benchSize{teams: n} }},
		{"host", func(n int) benchSize { return benchSize{hosts: n} }},
		{"target", func(n int) benchSize { return benchSize{targets: n, models: 38} }},
		{"store", func(n int) benchSize { return benchSize{stores: n} }},
	}
	for _, kind := range kinds {
		for _, n := range []int{100, 1000, 5000, 14000} {
			b.Run(fmt.Sprintf("%s=%d", kind.name, n), func(b *testing.B) {
				empty := len(benchDocument(b, kind.size(0)))
				var raw []byte
				for range b.N {
					raw = benchDocument(b, kind.size(n))
				}
				b.ReportMetric(float64(len(raw)-empty)/float64(n), "B/entry")
				b.ReportMetric(float64(len(raw)), "B")
			})
		}
	}
	b.Run("whole", func(b *testing.B) {
		var raw []byte
		for range b.N {
			raw = benchDocument(b, benchSize{teams: 14000, hosts: 1000, targets: 12000, stores: 88, models: 38})
		}
		b.ReportMetric(float64(len(raw)), "B")
	})
}

// BenchmarkDecodeDocument measures decoding of documents up to
// MaxDocumentBytes.
func BenchmarkDecodeDocument(b *testing.B) {
	sizes := []benchSize{
		{teams: 20, hosts: 8, targets: 24, stores: 3, models: 2},
		{teams: 500, models: 2}, {teams: 1500, models: 2}, {teams: 5000, models: 2},
		{hosts: 8, targets: 500, models: 38}, {hosts: 8, targets: 1500, models: 38}, {hosts: 8, targets: 5000, models: 38},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("teams=%d/targets=%d", size.teams, size.targets), func(b *testing.B) {
			raw := benchDocument(b, size)
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := DecodeDocument("fleet", bytes.NewReader(raw)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B")
		})
	}
}
