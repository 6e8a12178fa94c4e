package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
)

// benchFleet returns a fleet whose teams make up most of its size.
func benchFleet(teams int) specifier.Fleet {
	fleet := specifier.DefaultFleet()
	fleet.Profiles["standard"] = specifier.DefaultProfile()
	fleet.Models["model"] = specifier.Model{Version: "v1", BlockBytes: 1 << 20}
	fleet.Services["assistant"] = specifier.Service{
		Kind: specifier.ServiceModel, Profile: "standard", Models: []identifier.Model{"model"}, Class: identifier.ClassStandard,
	}
	fleet.Services["orders"] = specifier.Service{Kind: specifier.ServicePlain, Profile: "standard", Class: identifier.ClassStandard}
	for i := range teams {
		name := identifier.Team(fmt.Sprintf("team-%05d", i))
		fleet.Teams[name] = specifier.Team{KeyHashes: []string{hasher.HashKey(string(name))}, Weight: 1, RequestsPerSecond: 100, TokensPerSecond: 1e6}
	}
	return fleet
}

// centre is one data centre with all its daemons in this process.
type centre struct {
	*assembler.Assembly
	client *http.Client
}

// startAttempts bounds the starts of a data centre. A start fails when another
// connection of the process has taken one of the chosen ports.
const startAttempts = 20

func newCentre(b *testing.B, daemons, engines, teams int) *centre {
	var err error
	for range startAttempts {
		var c *centre
		if c, err = startCentre(daemons, engines, teams); err == nil {
			b.Cleanup(c.Close)
			return c
		}
	}
	b.Fatal(err)
	return nil
}

func startCentre(daemons, engines, teams int) (*centre, error) {
	a, err := assembler.New(assembler.Config{Plan: assembler.Plan{
		Region: "region", DataCentres: []identifier.DataCentre{"dc"},
		Daemons: daemons, Engines: engines, Responders: 0, Stores: 1,
		Engine: engine.DefaultSettings(), Responder: responder.DefaultSettings(), Store: storer.DefaultSettings(),
		Fleet: benchFleet(teams), ModelService: "assistant", PlainService: "orders", WarmLimit: 32, PlainLimit: 32,
	}})
	if err != nil {
		return nil, err
	}
	ctx := context.Background()
	if err = a.Apply(ctx, a.Fleet); err == nil {
		err = a.StartDaemons(ctx)
	}
	if err != nil {
		a.Close()
		return nil, err
	}
	return &centre{Assembly: a, client: &http.Client{Timeout: time.Second}}, nil
}

// version returns the version in force at a daemon, or 0 when it does not answer.
func (c *centre) version(h *assembler.Host) uint64 {
	answer, err := c.client.Get("http://" + h.Operators.String() + describer.PathStatus)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	var status describer.Status
	if json.NewDecoder(answer.Body).Decode(&status) != nil {
		return 0
	}
	return status.ConfigVersion
}

// versionPoll is the time between two looks at a daemon's version.
const versionPoll = 10 * time.Millisecond

// change applies a configuration and returns how long it took until the first
// and the last daemon had it in force, from the platform's acceptance on.
func (c *centre) change(b *testing.B, n int) (first, last time.Duration) {
	fleet := c.Fleet.Clone()
	team := fleet.Teams["team-00000"]
	team.Weight = float64(1 + n)
	fleet.Teams["team-00000"] = team
	before := c.version(c.Hosts[c.HostNames()[0]])
	if err := c.Apply(context.Background(), fleet); err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, h := range c.Hosts {
		group.Go(func() {
			for c.version(h) <= before {
				time.Sleep(versionPoll)
			}
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if first == 0 || took < first {
				first = took
			}
			last = max(last, took)
		})
	}
	group.Wait()
	return first, last
}

// BenchmarkPropagation measures how soon one change is in force at all daemons
// of a data centre.
func BenchmarkPropagation(b *testing.B) {
	for _, daemons := range []int{5, 15, 45} {
		for _, teams := range []int{20, 1000, 4000} {
			b.Run(fmt.Sprintf("daemons=%d/teams=%d", daemons, teams), func(b *testing.B) {
				c := newCentre(b, daemons, 2, teams)
				time.Sleep(3 * time.Second)
				b.ResetTimer()
				var first, last time.Duration
				for i := range b.N {
					f, l := c.change(b, i)
					first, last = max(first, f), max(last, l)
				}
				b.ReportMetric(float64(first.Milliseconds()), "ms-to-first")
				b.ReportMetric(float64(last.Milliseconds()), "ms-to-last")
			})
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures what a data centre without requests spends. Its
// stand-ins run in the same process, so that the times and the heap are those
// of both.
func BenchmarkIdle(b *testing.B) {
	const settle, span = 4 * time.Second, 10 * time.Second
	for _, daemons := range []int{1, 5, 15} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				var empty, full runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&empty)
				c := newCentre(b, daemons, 3*daemons, 20)
				time.Sleep(settle)
				before, cpu, began := c.Registrar.Counters(), processorTime(b), time.Now()
				time.Sleep(span)
				after, used, seconds := c.Registrar.Counters(), processorTime(b)-cpu, time.Since(began).Seconds()
				runtime.GC()
				runtime.ReadMemStats(&full)
				n := float64(daemons)
				calls := func(ops ...rememberer.Op) float64 {
					sum := 0
					for _, op := range ops {
						sum += after.Of(op) - before.Of(op)
					}
					return float64(sum) / seconds / n
				}
				b.ReportMetric(calls(rememberer.OpPut, rememberer.OpDelete), "writes/daemon/s")
				b.ReportMetric(calls(rememberer.OpGet, rememberer.OpList, rememberer.OpWatch), "reads/daemon/s")
				b.ReportMetric(100*used.Seconds()/seconds/n, "%core/daemon")
				b.ReportMetric((float64(full.HeapAlloc)-float64(empty.HeapAlloc))/n, "B-heap/daemon")
				b.ReportMetric((float64(full.StackInuse)-float64(empty.StackInuse))/n, "B-stack/daemon")
				c.Close()
			}
		})
	}
}
