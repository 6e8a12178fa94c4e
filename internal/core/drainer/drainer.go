// Package drainer ends the connections of an HTTP server that stops, without dropping requests that it has read.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// checkInterval is the interval between passes over the connections.
const checkInterval = 20 * time.Millisecond

// Drainer holds the connections of an HTTP server. http.Server.Shutdown closes connections whose next request
// it may have read, so that callers can't know whether it ran. A Drainer is safe for concurrent use.
type Drainer struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection.
type connState struct {
	// active is true from the end of a request's headers to that of the response.
	active bool
	// ended is true if the connection was ended as it had no request.
	ended bool
}

// New returns a Drainer without connections.
func New() *Drainer { return &Drainer{conns: map[net.Conn]connState{}} }

// ObserveState is the ConnState hook of the server.
func (d *Drainer) ObserveState(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	case http.StateActive:
		if d.conns[conn].ended {
			// The headers had been read when the connection was ended. Its body may be yet to come.
			_ = conn.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
		}
		d.conns[conn] = connState{active: true}
	default:
		d.conns[conn] = connState{}
	}
}

// Drain waits until all requests are answered and all connections closed. Requests that come on open connections
// are answered until the given time; from then on, connections without a request are ended. The server must accept
// no connections any more. Drain returns the error of ctx if that ends before.
func (d *Drainer) Drain(ctx context.Context, until time.Time) error {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for d.endIdle(until) > 0 {
		select {
		case <-check.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// endIdle ends the connections without a request if the given time has come. It returns the number of connections
// that are left.
func (d *Drainer) endIdle(from time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(from) {
		return len(d.conns)
	}
	for conn, state := range d.conns {
		if !state.active {
			// Unlike a close, this drops no request that is being read: the server sets another deadline then.
			_ = conn.SetReadDeadline(time.Now()) // Fails only if the connection is closed.
			d.conns[conn] = connState{ended: true}
		}
	}
	return len(d.conns)
}
