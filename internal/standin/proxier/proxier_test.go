package proxier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/standin/server"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startProxy starts a proxy in front of an echo server and returns its address.
func startProxy(t *testing.T, clock clockwork.Clock) (*Proxier, string) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	echoed := make(chan struct{})
	go func() {
		defer close(echoed)
		serveEcho(echo)
	}()
	p, err := New(Config{Target: netip.MustParseAddrPort(echo.Addr().String()), Clock: clock})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		echo.Close()
		<-echoed
	})
	return p, ln.Addr().String()
}

func serveEcho(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, c)
		}()
	}
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{Conn: c, r: bufio.NewReader(c)}
}

// echo sends a line and checks that it comes back.
func (c *client) echo(t *testing.T, line string) {
	t.Helper()
	_, err := io.WriteString(c, line+"\n")
	assert.NilError(t, err)
	got, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, line+"\n")
}

func waitFor(t *testing.T, p *Proxier, what string, check func(Stats) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check(p.Stats()) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

func TestForwardsDataAndHalfClose(t *testing.T) {
	p, address := startProxy(t, clockwork.NewRealClock())
	c := dial(t, address)
	c.echo(t, "one")
	assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	waitFor(t, p, "the connection ends", func(s Stats) bool { return s.Open == 0 })
	assert.Equal(t, p.Stats().BytesUp, int64(4))
	assert.Equal(t, p.Stats().BytesDown, int64(4))
}

func TestSilencedConnectionsStayOpenWhileNewOnesWork(t *testing.T) {
	p, address := startProxy(t, clockwork.NewRealClock())
	old := dial(t, address)
	old.echo(t, "before")
	assert.NilError(t, p.Apply(Faults{SilenceUp: true, SilenceDown: true}))
	_, err := io.WriteString(old, "lost\n")
	assert.NilError(t, err)
	waitFor(t, p, "the bytes are discarded", func(s Stats) bool { return s.Discarded == 5 })
	dial(t, address).echo(t, "new")
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = old.r.ReadByte()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Equal(t, p.Stats().Open, 2)
}

func TestHalfOpenDiscardsOneDirection(t *testing.T) {
	p, address := startProxy(t, clockwork.NewRealClock())
	c := dial(t, address)
	c.echo(t, "before")
	assert.NilError(t, p.Apply(Faults{Down: &Direction{Silent: true}}))
	_, err := io.WriteString(c, "up\n")
	assert.NilError(t, err)
	waitFor(t, p, "the answer is discarded", func(s Stats) bool { return s.Discarded == 3 })
	assert.Equal(t, p.Stats().BytesUp, int64(len("before\nup\n")))
	p.Heal()
	// A TCP stream cannot continue after lost bytes.
	_, err = io.WriteString(c, "after\n")
	assert.NilError(t, err)
	waitFor(t, p, "the connection stays silent", func(s Stats) bool { return s.Discarded == int64(len("up\nafter\n")) })
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.r.ReadByte()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	dial(t, address).echo(t, "new")
}

func TestCutAndResetAndRefuse(t *testing.T) {
	p, address := startProxy(t, clockwork.NewRealClock())
	c := dial(t, address)
	c.echo(t, "x")
	assert.NilError(t, p.Apply(Faults{Cut: true}))
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	c = dial(t, address)
	c.echo(t, "x")
	assert.NilError(t, p.Apply(Faults{Reset: true}))
	_, err = c.r.ReadByte()
	assert.ErrorContains(t, err, "reset")
	refuse := true
	assert.NilError(t, p.Apply(Faults{Refuse: &refuse}))
	assert.ErrorContains(t, readRefused(address), "reset")
	p.Heal()
	dial(t, address).echo(t, "healed")
}

// readRefused returns the error of a connection that is reset as soon as it
// opens, which occurs either in the dial or in the first read.
func readRefused(address string) error {
	c, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	return err
}

// TestResetIsNotSeenAsEndOfAnswer guards against a reset that reaches the client as the end of the
// stream, which completes an answer that ends with its connection. The end of the connection's
// context closes it; here it does so before reset goes on.
func TestResetIsNotSeenAsEndOfAnswer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	accept := func() (near, far net.Conn) {
		far, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		near, err = ln.Accept()
		assert.NilError(t, err)
		return near, far
	}
	client, caller := accept()
	target, worker := accept()
	c := &connection{client: client, target: target}
	c.cancel = func() {
		_ = client.Close()
		_ = target.Close()
	}
	c.reset()
	for _, far := range []net.Conn{caller, worker} {
		_, err := far.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.NilError(t, far.Close())
	}
}

func TestDelayAndRateLimit(t *testing.T) {
	tests := map[string]Direction{
		"delay": {Delay: server.Duration{Duration: time.Second}},
		"rate":  {BytesPerSecond: 2},
	}
	for name, direction := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p, address := startProxy(t, clock)
			assert.NilError(t, p.Apply(Faults{Up: &direction}))
			c := dial(t, address)
			_, err := io.WriteString(c, "x\n")
			assert.NilError(t, err)
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(999 * time.Millisecond)
			assert.Equal(t, p.Stats().BytesUp, int64(0))
			clock.Advance(time.Millisecond)
			got, err := c.r.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, got, "x\n")
		})
	}
}
