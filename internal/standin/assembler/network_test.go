package assembler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortWait is how long a test waits for bytes that must not arrive.
const shortWait = 30 * time.Millisecond

// startEchoServer starts a server that sends back what it receives, and returns its
// address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return addressOf(ln)
}

func dial(t *testing.T, n *Network, address netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := n.dialer("north")(t.Context(), address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends a byte over conn and waits for its echo.
func roundTrip(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

func TestPartitionBlocksOldAndNewConnections(t *testing.T) {
	n, near, far, platform := newNetwork(), startEchoServer(t), startEchoServer(t), startEchoServer(t)
	n.setLocation(near, "north")
	n.setLocation(far, "south")
	local, remote, outside := dial(t, n, near), dial(t, n, far), dial(t, n, platform)
	assert.NilError(t, roundTrip(t, remote, time.Minute))

	n.Isolate("south", false)
	assert.NilError(t, roundTrip(t, local, time.Minute))
	assert.NilError(t, roundTrip(t, outside, time.Minute))
	assert.Assert(t, errors.Is(roundTrip(t, remote, shortWait), os.ErrDeadlineExceeded))
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := n.dialer("north")(ctx, far)
	assert.ErrorContains(t, err, "deadline exceeded")

	n.Heal()
	assert.Assert(t, roundTrip(t, remote, time.Minute) != nil)
	assert.NilError(t, roundTrip(t, dial(t, n, far), time.Minute))
}

func TestPartitionFromPlatform(t *testing.T) {
	n, near, platform := newNetwork(), startEchoServer(t), startEchoServer(t)
	n.setLocation(near, "north")
	local, outside := dial(t, n, near), dial(t, n, platform)
	n.Isolate("north", true)
	assert.NilError(t, roundTrip(t, local, time.Minute))
	assert.Assert(t, errors.Is(roundTrip(t, outside, shortWait), os.ErrDeadlineExceeded))
}

func TestSilenceLeavesNewConnectionsWorking(t *testing.T) {
	n, near := newNetwork(), startEchoServer(t)
	n.setLocation(near, "north")
	old := dial(t, n, near)
	n.Silence()
	assert.Assert(t, errors.Is(roundTrip(t, old, shortWait), os.ErrDeadlineExceeded))
	assert.NilError(t, roundTrip(t, dial(t, n, near), time.Minute))
}
