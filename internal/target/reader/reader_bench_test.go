package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newBenchTarget serves the load and the events of one target.
func newBenchTarget(b *testing.B, name identifier.Target) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == messenger.PathLoad {
			_ = json.NewEncoder(w).Encode(messenger.LoadReport{Target: name, Incarnation: 1767225600000000000, Running: 24, PrefillTokensPerSecond: 9000})
			return
		}
		_ = json.NewEncoder(w).Encode(messenger.CacheEvents{Incarnation: 1767225600000000000})
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReader measures reading targets at the default intervals. The CPU time
// includes that of the targets. It runs in real time.
func BenchmarkReader(b *testing.B) {
	const settle, span = time.Second, 4 * time.Second
	for _, targets := range []int{4, 12, 48} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var bytes, observed atomic.Int64
			r, err := New(Config{
				Self: "entry-0000", Clock: clockwork.NewRealClock(),
				Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
					var d net.Dialer
					conn, err := d.DialContext(ctx, "tcp", addr.String())
					return countedConn{conn, &bytes}, err
				},
				OnObservation: func(Observation) { observed.Add(1) },
			})
			if err != nil {
				b.Fatal(err)
			}
			var list []Assignment
			for i := range targets {
				name := identifier.Target(fmt.Sprintf("target-%05d", i))
				list = append(list, Assignment{Target: name, Address: newBenchTarget(b, name), Events: true})
			}
			r.SetTargets(list)
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = r.Run(ctx) })
			time.Sleep(settle)
			for range b.N {
				reports, sent, cpu, began := observed.Load(), bytes.Load(), cpuTime(b), time.Now()
				time.Sleep(span)
				seconds := time.Since(began).Seconds()
				b.ReportMetric(float64(observed.Load()-reports)/seconds, "reports/s")
				b.ReportMetric(float64(bytes.Load()-sent)/seconds/float64(targets), "B/target/s")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds/float64(targets), "%core/target")
			}
			cancel()
			running.Wait()
		})
	}
}
