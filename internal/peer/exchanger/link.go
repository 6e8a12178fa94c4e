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
	errClosed = errors.New("link to the address is closed")
	errSilent = errors.New("no answer in time")
)

// link is the outbound connection to one peer. It is made on demand, and
// replaced after a call that timed out or broke.
type link struct {
	clock    clockwork.Clock
	dial     func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	tls      *tls.Config
	host     identifier.Host
	hostOf   func(tls.ConnectionState) identifier.Host
	limit    uint64
	counters *counters

	mu     sync.Mutex
	addr   netip.AddrPort
	client *client
	closed bool
	// pending is closed when the dial that is under way has ended.
	pending chan struct{}
}

// setAddr drops the connection when the peer has moved.
func (l *link) setAddr(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	l.addr = addr
	l.dropLocked(l.client)
}

// close drops the connection and permits no other.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.dropLocked(l.client)
}

// drop closes client and forgets it, unless it has been replaced already.
func (l *link) drop(client *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked(client)
}

func (l *link) dropLocked(client *client) {
	if client == nil {
		return
	}
	// Close only repeats that the connection has ended.
	_ = client.Close()
	if l.client == client {
		l.client = nil
	}
}

// call runs one remote method within timeout. The context's end abandons the
// call. The timeout also closes the connection if no other answer arrived in
// the meantime, since it may have gone silent.
func (l *link) call(ctx context.Context, method describer.Method, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.clock.NewTimer(timeout)
	defer timer.Stop()
	op := "call " + string(method)
	client, err := l.connect(ctx, timer.Chan())
	if err != nil {
		return newError(op, KindUnreachable, err)
	}
	answers := client.answers.Load()
	done := make(chan error, 1)
	// A write to a silent connection may block, so that the call has its own goroutine.
	go func() { done <- client.Call(describer.Service+"."+string(method), args, reply) }()
	select {
	case err = <-done:
		return l.settle(op, client, err)
	case <-timer.Chan():
		if client.answers.Load() == answers {
			l.drop(client)
		}
		return newError(op, KindTimeout, errSilent)
	case <-ctx.Done():
		return newError(op, KindCancelled, ctx.Err())
	}
}

// settle classifies the end of a call.
func (l *link) settle(op string, client *client, err error) error {
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

// connect returns the present connection or makes one; of several callers one dials.
func (l *link) connect(ctx context.Context, expired <-chan time.Time) (*client, error) {
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
			return nil, errSilent
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// client is one connection's calling side.
type client struct {
	*rpc.Client
	addr netip.AddrPort
	// answers counts the answers that arrived.
	answers atomic.Uint64
	// ended is set once the connection has ended.
	ended atomic.Bool
}

type dialled struct {
	client *client
	err    error
}

// open dials in a goroutine and installs the connection. It returns when the
// dial, the time or the context ends.
func (l *link) open(ctx context.Context, expired <-chan time.Time, pending chan struct{}) (*client, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan dialled, 1)
	go func() {
		client, err := l.establish(ctx)
		client, err = l.install(client, err, pending)
		result <- dialled{client, err}
	}()
	select {
	case r := <-result:
		return r.client, r.err
	case <-expired:
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// install ends a dial and keeps its connection unless the link was closed.
func (l *link) install(client *client, err error, pending chan struct{}) (*client, error) {
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

// checkHost refuses a connection that another host than the wanted one answers.
func (l *link) checkHost(state tls.ConnectionState) error {
	if l.hostOf == nil {
		return nil
	}
	if host := l.hostOf(state); host != l.host {
		return errors.Newf("the certificate is of host %q, want %q", host, l.host)
	}
	return nil
}

// establish makes a connection with its encryption.
func (l *link) establish(ctx context.Context) (*client, error) {
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
		conn = &securedConn{Conn: secured, raw: conn}
	}
	c := &client{addr: addr}
	codec := newCodec(conn, l.limit, l.counters, func() { c.answers.Add(1) })
	c.Client = rpc.NewClientWithCodec(&clientCodec{codec: codec, ended: &c.ended})
	return c, nil
}
