package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

var (
	errClosed  = errors.New("connection is closed")
	errTimeout = errors.New("timeout waiting for the reply")
)

// lazyConn is the outbound connection to one peer. It is made on demand, and
// replaced after a call timed out or failed.
type lazyConn struct {
	clock      clockwork.Clock
	dial       func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	tls        *tls.Config
	host       identifier.Host
	hostOf     func(tls.ConnectionState) identifier.Host
	maxMessage uint64
	counters   *counters

	mu     sync.Mutex
	addr   netip.AddrPort
	client *client
	closed bool
	// pending is closed when the current dial ends; nil when there is none.
	pending chan struct{}
}

// setAddr sets the peer's address, and drops the connection if it changed.
func (l *lazyConn) setAddr(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	l.addr = addr
	l.dropLocked(l.client)
}

// close drops the connection and prevents new ones.
func (l *lazyConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.dropLocked(l.client)
}

// drop closes client, and removes it unless it has been replaced already.
func (l *lazyConn) drop(client *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked(client)
}

func (l *lazyConn) dropLocked(client *client) {
	if client == nil {
		return
	}
	// Close fails only if the connection has already ended.
	_ = client.Close()
	if l.client == client {
		l.client = nil
	}
}

// call runs a remote method with a timeout. When ctx ends, the call is
// abandoned. A timeout closes the connection, which may be dead, unless another
// reply arrived in the meantime.
func (l *lazyConn) call(ctx context.Context, method describer.Method, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.clock.NewTimer(timeout)
	defer timer.Stop()
	op := "call " + string(method)
	client, err := l.connect(ctx, timer.Chan())
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	replies := client.replies.Load()
	done := make(chan error, 1)
	// Call may block writing to a dead connection, so it runs in its own goroutine.
	go func() { done <- client.Call(describer.Service+"."+string(method), args, reply) }()
	select {
	case err = <-done:
		return l.handleCallError(op, client, err)
	case <-timer.Chan():
		if client.replies.Load() == replies {
			l.drop(client)
		}
		return newError(op, KindTimeout, errTimeout)
	case <-ctx.Done():
		return newError(op, KindCancelled, ctx.Err())
	}
}

// handleCallError converts the error of a call, and drops the connection unless
// the peer itself replied with the error.
func (l *lazyConn) handleCallError(op string, client *client, err error) error {
	if err == nil {
		return nil
	}
	var refusal rpc.ServerError
	if errors.As(err, &refusal) {
		return newError(op, KindRefused, err)
	}
	l.drop(client)
	return newError(op, KindBroken, err)
}

// connect returns the connection and dials if there is none. Of several
// concurrent callers only one dials.
func (l *lazyConn) connect(ctx context.Context, expired <-chan time.Time) (*client, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, errClosed
		}
		if l.client != nil && l.client.ended.Load() {
			l.dropLocked(l.client)
		}
		if l.client != nil {
			defer l.mu.Unlock()
			return l.client, nil
		}
		wait := l.pending
		if wait == nil {
			wait = make(chan struct{})
			l.pending = wait
			l.mu.Unlock()
			return l.open(ctx, expired, wait)
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-expired:
			return nil, errTimeout
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// client is the RPC client of one connection.
type client struct {
	*rpc.Client
	addr netip.AddrPort
	// replies counts the replies received.
	replies atomic.Uint64
	// ended is set when nothing more can be read from the connection.
	ended atomic.Bool
}

type dialResult struct {
	client *client
	err    error
}

// open dials in a goroutine and installs the connection. It returns when the
// dial ends, on expired, or when ctx ends.
func (l *lazyConn) open(ctx context.Context, expired <-chan time.Time, pending chan struct{}) (*client, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan dialResult, 1)
	go func() {
		client, err := l.establish(ctx)
		client, err = l.install(client, err, pending)
		result <- dialResult{client, err}
	}()
	select {
	case r := <-result:
		return r.client, r.err
	case <-expired:
		return nil, errTimeout
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// install ends a dial and keeps its connection, unless the lazyConn was closed
// or the peer's address changed in the meantime.
func (l *lazyConn) install(client *client, err error, pending chan struct{}) (*client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
	close(pending)
	if err != nil {
		return nil, err
	}
	if l.closed || l.addr != client.addr {
		return nil, errors.CombineErrors(errClosed, client.Close())
	}
	l.client = client
	return client, nil
}

// checkHost returns an error if the certificate names another host than the peer.
func (l *lazyConn) checkHost(state tls.ConnectionState) error {
	if l.hostOf == nil {
		return nil
	}
	if host := l.hostOf(state); host != l.host {
		return errors.Newf("certificate is for host %q, want %q", host, l.host)
	}
	return nil
}

// establish dials the peer, completes the TLS handshake if any, and checks the
// peer's host name.
func (l *lazyConn) establish(ctx context.Context) (*client, error) {
	l.mu.Lock()
	addr := l.addr
	l.mu.Unlock()
	conn, err := l.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn, count: &l.counters.wire}
	if l.tls != nil {
		secured := tls.Client(conn, l.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
		if err := l.checkHost(secured.ConnectionState()); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
		conn = &tlsConn{Conn: secured, raw: conn}
	}
	c := &client{addr: addr}
	codec := newCodec(conn, l.maxMessage, l.counters, func() { c.replies.Add(1) })
	c.Client = rpc.NewClientWithCodec(&clientCodec{codec: codec, ended: &c.ended})
	return c, nil
}
