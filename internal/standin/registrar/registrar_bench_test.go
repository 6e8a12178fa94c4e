package registrar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// BenchmarkWatchers measures how long a change takes to reach all waiting
// watches over HTTP on loopback.
func BenchmarkWatchers(b *testing.B) {
	for _, watchers := range []int{4, 16, 44} {
		for _, kilobytes := range []int{1, 64, 1000} {
			b.Run(fmt.Sprintf("watchers=%d/KB=%d", watchers, kilobytes), func(b *testing.B) {
				measureWatchers(b, watchers, make([]byte, kilobytes<<10))
			})
		}
	}
}

func measureWatchers(b *testing.B, watchers int, value []byte) {
	clock := clockwork.NewRealClock()
	r, err := New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = r.Serve(ctx, ln) })
	b.Cleanup(func() { cancel(); serving.Wait() })
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	var clients []*client.HTTPClient
	for range watchers {
		c, err := client.NewHTTPClient(client.HTTPConfig{Address: address, Clock: clock})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(c.Close)
		clients = append(clients, c)
	}
	version := uint64(0)
	var longest time.Duration
	b.ResetTimer()
	for range b.N {
		took, next := timeNotification(b, r, clients, version, value)
		version = next
		longest = max(longest, took)
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms-longest")
}

// watchSettle is the time allowed for all watches to start waiting.
const watchSettle = 50 * time.Millisecond

// timeNotification starts a watch from each client and writes value. It returns
// the time from the write until all watches have returned, and the new version.
func timeNotification(b *testing.B, r *Registrar, clients []*client.HTTPClient, version uint64, value []byte) (time.Duration, uint64) {
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() {
			objects, err := c.Watch(context.Background(), "config/fleet", version)
			if err != nil || len(objects) != 1 {
				b.Errorf("watch returned %d objects: %v", len(objects), err)
			}
		})
	}
	time.Sleep(watchSettle)
	began := time.Now()
	o, err := r.Store().Put(context.Background(), "config/fleet", value, version)
	if err != nil {
		b.Fatal(err)
	}
	group.Wait()
	return time.Since(began), o.Version
}
