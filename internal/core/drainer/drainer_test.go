package drainer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lingerTime is how long the servers take requests while they drain.
const lingerTime = 500 * time.Millisecond

// drainedServer is a server that answers each request after a pause and closes the connection.
type drainedServer struct {
	*Drainer
	http.Server
	l net.Listener
}

func newServer(t *testing.T, pause time.Duration) *drainedServer {
	t.Helper()
	s := &drainedServer{Drainer: New()}
	s.ConnState = s.ObserveState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(pause)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "answer")
	})
	s.start(t)
	return s
}

// start starts the server, whose hook and handler are set.
func (s *drainedServer) start(t *testing.T) {
	t.Helper()
	var err error
	s.l, err = net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(s.l) }()
	t.Cleanup(func() { _ = s.Close() })
}

func (s *drainedServer) connect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// drain closes the listener and drains the connections.
func (s *drainedServer) drain(t *testing.T, within time.Duration) chan error {
	t.Helper()
	time.Sleep(50 * time.Millisecond) // Lets the server accept all connections.
	assert.NilError(t, s.l.Close())
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), within)
	go func() { defer cancel(); done <- s.Drain(ctx, time.Now().Add(lingerTime)) }()
	return done
}

// TestRequestIsDroppedWhileDraining guards against requests that are read and get no answer: of a connection
// that is open when the server stops accepting others, and of one whose headers come in pieces.
func TestRequestIsDroppedWhileDraining(t *testing.T) {
	s := newServer(t, lingerTime+200*time.Millisecond)
	whole, pieces := s.connect(t), s.connect(t)
	done := s.drain(t, 5*time.Second)
	_, err := io.WriteString(whole, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for _, piece := range []string{"GET / HTTP", "/1.1\r\nHo", "st: h\r\n", "\r\n"} {
		_, err := io.WriteString(pieces, piece)
		assert.NilError(t, err)
		time.Sleep(lingerTime / 10)
	}
	for name, conn := range map[string]net.Conn{"whole": whole, "pieces": pieces} {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, name)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err, name)
		assert.Equal(t, string(body), "answer", name)
	}
	assert.NilError(t, <-done)
}

// TestDrainWaitsForSilentConnections guards against servers that wait for connections without a request, or for
// ever for a request that isn't answered.
func TestDrainWaitsForSilentConnections(t *testing.T) {
	s := newServer(t, 0)
	silent, half := s.connect(t), s.connect(t)
	_, err := io.WriteString(half, "GET / HT")
	assert.NilError(t, err)
	assert.NilError(t, <-s.drain(t, 5*time.Second))
	_, err = silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	slow := newServer(t, 3*time.Second)
	_, err = fmt.Fprint(slow.connect(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	err = <-slow.drain(t, 300*time.Millisecond)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// TestRequestIsDroppedAfterItsHead guards against a request whose head has been read as the connections without
// a request are ended: its connection doesn't count as active yet, but it must be answered, whether its body follows
// or there is none.
func TestRequestIsDroppedAfterItsHead(t *testing.T) {
	for name, rest := range map[string][]string{
		"no body":     {"GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"length":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
		"late length": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"},
		"late chunk":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &drainedServer{Drainer: New()}
			s.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateActive {
					s.endIdle(time.Now()) // The pass that comes between the head and the state.
				}
				s.ObserveState(conn, state)
			}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				assert.Check(t, err)
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler) // As for a caller that has left.
				case <-time.After(50 * time.Millisecond):
				}
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, "answer")
			})
			s.start(t)
			conn := s.connect(t)
			for _, part := range rest {
				_, err := io.WriteString(conn, part)
				assert.NilError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "answer")
		})
	}
}
