package reserver

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestPortOfStoppedProcessIsNotGivenAway guards against two processes that reserve the same port
// while nothing listens on it. Reservers share nothing in memory, so two of them stand for two
// processes.
func TestPortOfStoppedProcessIsNotGivenAway(t *testing.T) {
	cfg := Config{First: 11_000, Last: 11_003}
	first, err := New(cfg)
	assert.NilError(t, err)
	defer first.Close()
	second, err := New(cfg)
	assert.NilError(t, err)
	defer second.Close()
	for range 4 {
		addr, err := first.Reserve()
		assert.NilError(t, err)
		ln, err := net.Listen("tcp4", addr.String())
		assert.NilError(t, err)
		assert.NilError(t, ln.Close()) // The process has stopped.
	}
	_, err = second.Reserve()
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindExhausted, "%v", err)

	first.Close()
	_, err = second.Reserve()
	assert.NilError(t, err)
}

// TestPortInUseIsNotReserved checks ports that another program uses, for TCP or UDP.
func TestPortInUseIsNotReserved(t *testing.T) {
	const tcpPort, udpPort = "127.0.0.1:11010", "127.0.0.1:11011"
	tcp, err := net.Listen("tcp4", tcpPort)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, tcp.Close()) }()
	udp, err := net.ListenPacket("udp4", udpPort)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, udp.Close()) }()
	r, err := New(Config{First: 11_010, Last: 11_012})
	assert.NilError(t, err)
	defer r.Close()
	addr, err := r.Reserve()
	assert.NilError(t, err)
	assert.Equal(t, addr.Port(), uint16(11_012))
}

// TestNewRejectsEmptyRange checks that the error names the range.
func TestNewRejectsEmptyRange(t *testing.T) {
	_, err := New(Config{First: 2, Last: 1})
	assert.ErrorContains(t, err, "last port 1")
}
