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

// newBenchFleet returns a fleet. Its teams make up most of the encoded size.
func newBenchFleet(teams int) specifier.Fleet {
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

// benchDataCentre is one data centre with all its daemons in this process.
type benchDataCentre struct {
	*assembler.Assembly
	client *http.Client
}

// startAttempts limits the attempts to start a data centre. A start fails if
// another connection of the process has taken one of the chosen ports.
const startAttempts = 20

func newBenchDataCentre(b *testing.B, daemons, engines, teams int) *benchDataCentre {
	var err error
	for range startAttempts {
		var c *benchDataCentre
		if c, err = startBenchDataCentre(daemons, engines, teams); err == nil {
			b.Cleanup(c.Close)
			return c
		}
	}
	b.Fatal(err)
	return nil
}

func startBenchDataCentre(daemons, engines, teams int) (*benchDataCentre, error) {
	a, err := assembler.New(assembler.Config{Plan: assembler.Plan{
		Region: "region", DataCentres: []identifier.DataCentre{"dc"},
		Daemons: daemons, Engines: engines, Responders: 0, Stores: 1,
		Engine: engine.DefaultSettings(), Responder: responder.DefaultSettings(), Store: storer.DefaultSettings(),
		Fleet: newBenchFleet(teams), ModelService: "assistant", PlainService: "orders", WarmLimit: 32, PlainLimit: 32,
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
	return &benchDataCentre{Assembly: a, client: &http.Client{Timeout: time.Second}}, nil
}

// configVersion returns a daemon's current configuration version, or 0 if it does
// not respond.
func (c *benchDataCentre) configVersion(h *assembler.Host) uint64 {
	answer, err := c.client.Get("http://" + h.OperatorAddress.String() + describer.PathStatus)
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

// versionPollInterval is the interval at which a daemon's version is read.
const versionPollInterval = 10 * time.Millisecond

// changeConfig applies a configuration and returns the times from its acceptance by
// the platform until the first and until the last daemon used it.
func (c *benchDataCentre) changeConfig(b *testing.B, n int) (first, last time.Duration) {
	fleet := c.Fleet.Clone()
	team := fleet.Teams["team-00000"]
	team.Weight = float64(1 + n)
	fleet.Teams["team-00000"] = team
	before := c.configVersion(c.Hosts[c.HostNames()[0]])
	if err := c.Apply(context.Background(), fleet); err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, h := range c.Hosts {
		group.Go(func() {
			for c.configVersion(h) <= before {
				time.Sleep(versionPollInterval)
			}
			took := time.Since(start)
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

// BenchmarkPropagation measures how long a change of the configuration takes to
// reach all daemons of a data centre.
func BenchmarkPropagation(b *testing.B) {
	for _, daemons := range []int{5, 15, 45} {
		for _, teams := range []int{20, 1000, 4000} {
			b.Run(fmt.Sprintf("daemons=%d/teams=%d", daemons, teams), func(b *testing.B) {
				c := newBenchDataCentre(b, daemons, 2, teams)
				time.Sleep(3 * time.Second)
				b.ResetTimer()
				var first, last time.Duration
				for i := range b.N {
					f, l := c.changeConfig(b, i)
					first, last = max(first, f), max(last, l)
				}
				b.ReportMetric(float64(first.Milliseconds()), "ms-to-first")
				b.ReportMetric(float64(last.Milliseconds()), "ms-to-last")
			})
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures the resources that a data centre uses without requests.
// CPU time and heap include the stand-ins, which run in the same process.
func BenchmarkIdle(b *testing.B) {
	const settleTime, period = 4 * time.Second, 10 * time.Second
	for _, daemons := range []int{1, 5, 15} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				var memBefore, memAfter runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&memBefore)
				c := newBenchDataCentre(b, daemons, 3*daemons, 20)
				time.Sleep(settleTime)
				before, cpu, start := c.Registrar.Counters(), cpuTime(b), time.Now()
				time.Sleep(period)
				after, used, seconds := c.Registrar.Counters(), cpuTime(b)-cpu, time.Since(start).Seconds()
				runtime.GC()
				runtime.ReadMemStats(&memAfter)
				n := float64(daemons)
				calls := func(ops ...rememberer.Op) float64 {
					sum := 0
					for _, op := range ops {
						sum += after.Total(op) - before.Total(op)
					}
					return float64(sum) / seconds / n
				}
				b.ReportMetric(calls(rememberer.OpPut, rememberer.OpDelete), "writes/daemon/s")
				b.ReportMetric(calls(rememberer.OpGet, rememberer.OpList, rememberer.OpWatch), "reads/daemon/s")
				b.ReportMetric(100*used.Seconds()/seconds/n, "%core/daemon")
				b.ReportMetric((float64(memAfter.HeapAlloc)-float64(memBefore.HeapAlloc))/n, "B-heap/daemon")
				b.ReportMetric((float64(memAfter.StackInuse)-float64(memBefore.StackInuse))/n, "B-stack/daemon")
				c.Close()
			}
		})
	}
}
