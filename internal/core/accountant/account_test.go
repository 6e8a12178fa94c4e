package accountant

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const (
	testBytes       = 1 << 20
	testConnections = 8
	testHeaderBytes = 16 << 10
)

type fixture struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	account *Account
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Now())
	limits := Limits{HeaderBytes: testHeaderBytes, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}
	return &fixture{t, clock, New(Config{Bytes: testBytes, MaxConnections: testConnections, Limits: func() Limits { return limits }, Clock: clock})}
}

// connect returns an admitted connection and its caller's end.
func (f *fixture) connect() (*Conn, net.Conn) {
	f.t.Helper()
	here, there := net.Pipe()
	f.t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
	c := &Conn{Conn: here, account: f.account, progressAt: f.clock.Now()}
	assert.Assert(f.t, f.account.tryAdmit(c))
	return c, there
}

// read makes the connection read text, and returns the error.
func read(c *Conn, there net.Conn, text string) error {
	go func() { _, _ = io.WriteString(there, text); _, _ = io.Copy(io.Discard, there) }()
	buf := make([]byte, readBytes)
	for total := 0; total < len(text); {
		n, err := c.Read(buf)
		if err != nil {
			return err
		}
		total += n
	}
	return nil
}

// fits reports whether a connection can take n bytes without an eviction.
func (f *fixture) fits(c *Conn, n int64) bool {
	share := largeShare
	if c.held+n <= smallBytes {
		share = smallShare
	}
	return f.account.Used()+n <= int64(share*testBytes)
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// TestHeadAboveLimit guards against heads that are larger than the configuration allows, and against a limit that turns
// away one that is just within it, read together with the beginning of its body.
func TestHeadAboveLimit(t *testing.T) {
	f := newFixture(t)
	c, there := f.connect()
	assert.NilError(t, read(c, there, strings.Repeat("a", testHeaderBytes+readBytes)))
	c, there = f.connect()
	assert.Equal(t, kindOf(read(c, there, strings.Repeat("a", testHeaderBytes+2*readBytes))), KindTooLong)
}

// TestLinesCountByTheirCost guards against heads whose many short lines cost more memory than their length.
func TestLinesCountByTheirCost(t *testing.T) {
	f := newFixture(t)
	head := strings.Repeat("a:\r\n", testHeaderBytes/4)
	c, there := f.connect()
	assert.Equal(t, kindOf(read(c, there, head)), KindExhausted)
	assert.Assert(t, f.account.Used() <= testBytes)
	assert.NilError(t, c.Close())
	assert.Equal(t, f.account.Used(), int64(0))
}

// TestStalledCallersMakeRoom guards against bodies that stop short of their end and keep others from being served.
func TestStalledCallersMakeRoom(t *testing.T) {
	f := newFixture(t)
	var stalled []*Conn
	for range 3 {
		c, there := f.connect()
		assert.NilError(t, read(c, there, "POST / HTTP/1.1\r\n"))
		ObserveState(c, http.StateActive)
		c.BeginBody()
		for f.fits(c, 64<<10) {
			assert.Assert(t, c.Reserve(64<<10))
		}
		stalled = append(stalled, c)
	}
	c, there := f.connect()
	assert.NilError(t, read(c, there, "POST / HTTP/1.1\r\n"))
	assert.Assert(t, !c.Reserve(256<<10), "a body fits although callers make progress")
	f.clock.Advance(stallTime)
	assert.Assert(t, c.Reserve(256<<10))
	assert.Assert(t, stalled[0].Evicted() && !stalled[0].EndBody(), "the largest one was kept")
	assert.Equal(t, f.account.Ended()[string(CauseStalled)], int64(1))
}

// TestRefusedBodiesRefuseOthers guards against bodies that are refused together although some of them fit: what a refused
// one has taken counted until its refusal was over, so that all that asked for more meanwhile were refused too.
func TestRefusedBodiesRefuseOthers(t *testing.T) {
	f := newFixture(t)
	const piece = 64 << 10
	conns := map[*Conn]int64{} // What each body has taken.
	for range 4 {
		c, there := f.connect()
		assert.NilError(t, read(c, there, "POST / HTTP/1.1\r\n"))
		ObserveState(c, http.StateActive)
		c.BeginBody()
		conns[c] = 0
	}
	refused := map[*Conn]int64{}
	for len(conns) > 1 {
		for c := range conns {
			if c.Reserve(piece) {
				conns[c] += piece
				continue
			}
			refused[c] = conns[c]
			delete(conns, c)
			assert.Assert(t, len(conns) > 0, "all bodies are refused")
		}
	}
	var bodies int64
	for c, taken := range conns {
		for taken < testBytes/2 {
			assert.Assert(t, c.Reserve(piece), "a body of %d bytes is refused beside bodies that are refused", taken)
			taken += piece
		}
		bodies += taken
	}
	assert.Equal(t, f.account.Bodies(), bodies)
	used := f.account.Used()
	for c, taken := range refused {
		c.Return(int(taken))
	}
	assert.Equal(t, f.account.Used(), used, "what a refused body has taken is given back twice")
	assert.Equal(t, f.account.Bodies(), bodies)
}

// TestServedRequestsAreKept guards against a request that is cut while a target works on it.
func TestServedRequestsAreKept(t *testing.T) {
	f := newFixture(t)
	for range testConnections {
		c, there := f.connect()
		assert.NilError(t, read(c, there, "GET / HTTP/1.1\r\n\r\n"))
		ObserveState(c, http.StateActive)
	}
	f.clock.Advance(time.Hour)
	assert.Assert(t, !f.account.tryAdmit(&Conn{account: f.account}))
	assert.Equal(t, len(f.account.Ended()), 0)
}

// TestNewConnectionsReplaceIdleOnes guards against connections without a request that keep other callers out.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	f := newFixture(t)
	first, there := f.connect()
	assert.NilError(t, read(first, there, "GET / HTTP/1.1\r\n\r\n"))
	ObserveState(first, http.StateActive)
	ObserveState(first, http.StateIdle)
	f.clock.Advance(stallTime)
	var silent []*Conn
	for range testConnections - 1 {
		c, _ := f.connect()
		silent = append(silent, c)
		f.clock.Advance(time.Millisecond)
	}
	f.connect()
	assert.Assert(t, silent[0].Evicted(), "the connection that has been silent for longest was kept")
	assert.Assert(t, !first.Evicted(), "a connection that was used is ended before those that never were")
	assert.Equal(t, f.account.Connections(), testConnections)
}

// TestHeadsReadTogetherWithEarlierRequests guards against pipelined heads that cost nothing as they were read before, and
// against their connections being evicted as idle while they are served.
func TestHeadsReadTogetherWithEarlierRequests(t *testing.T) {
	f := newFixture(t)
	c, _ := f.connect()
	ObserveState(c, http.StateIdle)
	header := http.Header{}
	for n := range 1000 {
		header[strings.Repeat("a", n%60+1)] = append(header[strings.Repeat("a", n%60+1)], "")
	}
	before := f.account.Used()
	assert.Assert(t, c.ReserveHeader(header))
	assert.Assert(t, f.account.Used()-before >= 1000*lineBytes-usualHeadBytes)
	for range testConnections - 1 {
		other, _ := f.connect()
		ObserveState(other, http.StateActive)
	}
	f.clock.Advance(time.Hour)
	assert.Assert(t, !f.account.tryAdmit(&Conn{account: f.account}))
	assert.Assert(t, !c.Evicted(), "a request that is being served was cut")
	held := f.account.Used()
	ObserveState(c, http.StateIdle)
	assert.Assert(t, f.account.Used() < held)
}

// BenchmarkUsualHead measures what the account adds to the reading of a usual head.
func BenchmarkUsualHead(b *testing.B) {
	a := New(Config{Bytes: testBytes, MaxConnections: testConnections, Limits: func() Limits { return Limits{HeaderBytes: testHeaderBytes} }, Clock: clockwork.NewRealClock()})
	c := &Conn{account: a}
	head := []byte("POST /pay/1 HTTP/1.1\r\n" + strings.Repeat("Some-Header: some value of a header\r\n", 9) + "\r\n")
	header := http.Header{"Host": {"h"}, "Request-Id": {"1"}, "Deadline-Ms": {"1000"}, "Authorization": {"Bearer key"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.receive(head); err != nil {
			b.Fatal(err)
		}
		ObserveState(c, http.StateActive)
		c.ReserveHeader(header)
		ObserveState(c, http.StateIdle)
	}
}
