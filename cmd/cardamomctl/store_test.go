package main

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/operator/commander"
)

// TestPlatformTimeoutIsIgnored guards against calls to a silent platform that last longer than
// --timeout says, at each of its addresses.
func TestPlatformTimeoutIsIgnored(t *testing.T) {
	var addrs []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp4", "127.0.0.1:0") // It accepts connections and never answers.
		assert.NilError(t, err)
		defer func() { assert.Check(t, l.Close()) }()
		addrs = append(addrs, l.Addr().(*net.TCPAddr).AddrPort())
	}
	store, err := openStore(commander.Connection{Platform: addrs, Timeout: 50 * time.Millisecond})
	assert.NilError(t, err)
	began := time.Now()
	_, err = store.Get(t.Context(), "a")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < time.Second, "the call ended after %v", time.Since(began))
}
