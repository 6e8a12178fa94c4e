// Package reserver hands out loopback ports that no other process using it is given, even while
// nothing listens on them.
package reserver

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// The default range lies below the kernel's ephemeral ports, so that no outgoing connection takes
// a reserved port.
const (
	DefaultFirst = 12_000
	DefaultLast  = 32_000
)

// maxAttempts is the number of random ports that are tried for one reservation.
const maxAttempts = 1000

var (
	// host is the address of all reserved ports.
	host = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	// lockHost is the address whose UDP socket locks a port across processes. Sockets at host
	// don't conflict with it.
	lockHost = netip.AddrFrom4([4]byte{127, 0, 0, 3})
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a range without ports.
	KindInvalid Kind = "invalid"
	// KindExhausted reports that no port of the range is free.
	KindExhausted Kind = "exhausted"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Reserver.
type Config struct {
	// First and Last are the first and last port of the range.
	First, Last uint16
}

// Reserver reserves ports. It is safe for concurrent use.
type Reserver struct {
	cfg Config

	mu    sync.Mutex
	locks []net.PacketConn
}

// New returns a Reserver without reservations, or an Error of KindInvalid.
func New(cfg Config) (*Reserver, error) {
	if cfg.First == 0 || cfg.Last < cfg.First {
		return nil, &Error{failer.Detail[Kind]{Op: "check range", Kind: KindInvalid, Err: errors.Newf("first port is %d and last port %d, want a range above 0", cfg.First, cfg.Last)}}
	}
	return &Reserver{cfg: cfg}, nil
}

// Reserve returns a loopback address with a port that is free for TCP and UDP. No other Reserver
// on this machine returns the port until Close. It returns an Error of KindExhausted if it finds
// none.
func (r *Reserver) Reserve() (netip.AddrPort, error) {
	var last error
	for range maxAttempts {
		port := r.cfg.First + uint16(rand.IntN(int(r.cfg.Last-r.cfg.First)+1))
		lock, err := lockPort(port)
		if err != nil {
			last = err
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.locks = append(r.locks, lock)
		return netip.AddrPortFrom(host, port), nil
	}
	return netip.AddrPort{}, &Error{failer.Detail[Kind]{Op: "reserve a port", Kind: KindExhausted, Err: last}}
}

// Close ends all reservations.
func (r *Reserver) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, lock := range r.locks {
		_ = lock.Close() // A socket that received nothing has nothing to lose.
	}
	r.locks = nil
}

// lockPort returns the socket that locks a port, or an error if the port is locked or in use.
func lockPort(port uint16) (net.PacketConn, error) {
	lock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(lockHost, port)))
	if err != nil {
		return nil, err
	}
	address := netip.AddrPortFrom(host, port)
	tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.CombineErrors(err, lock.Close())
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(tcp.Close(), lock.Close()))
	}
	if err := errors.CombineErrors(tcp.Close(), udp.Close()); err != nil {
		return nil, errors.CombineErrors(err, lock.Close())
	}
	return lock, nil
}
