package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// The bounds of the deployment, as on the sheet of the farm shop.
const (
	revokeTime    = 5 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	graceTime     = 8 * time.Second
)

// Ports of the hosts. Each host has a loopback address of its own.
const (
	callerPort  = 8749
	readyPort   = 8741
	peerPort    = 7580
	lastPort    = 7595
	metricsPort = 9464
	storePort   = 8744
	workerPort  = 8080
)

// stage holds the stand-ins and the processes of one case.
type stage struct {
	binary, dir, logs string
	began             time.Time
	recordFile        *os.File
	// subnet is the prefix 127.A.B. of all addresses.
	subnet  string
	store   *imitator.Store
	gate    *gate
	hosts   []*host
	workers []*worker
	servers []*http.Server
	runs    runLog

	mu     sync.Mutex
	record *bufio.Writer
	closed chan struct{}
	// closeOnce guards closed.
	closeOnce sync.Once
}

// zones are the data centres of hosts and workers, in turn.
var zones = []string{"zona-norte", "zona-centro", "zona-sur"}

func newStage(binary, record, logs string) (*stage, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-stage-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{
		binary: path, dir: dir, logs: logs, began: time.Now(), recordFile: file, record: bufio.NewWriter(file),
		store: imitator.NewStore(), closed: make(chan struct{}),
	}
	s.runs.stage, s.runs.sent = s, map[string]time.Time{}
	if s.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	s.gate = newGate()
	return s, s.serve(s.address(250, storePort), s.store, s.gate)
}

// freeSubnet returns a prefix of loopback addresses on which nothing listens on the ports of a case.
func freeSubnet() (string, error) {
	var err error
	for range 20 {
		subnet := fmt.Sprintf("127.%d.%d.", 60+rand.IntN(120), 1+rand.IntN(250))
		var l net.Listener
		if l, err = net.Listen("tcp4", fmt.Sprintf("%s250:%d", subnet, storePort)); err == nil {
			return subnet, l.Close()
		}
	}
	return "", err
}

// address returns an address of this case.
func (s *stage) address(last int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("%s%d", s.subnet, last)), port)
}

// serve serves a handler on an address, behind a gate if that isn't nil.
func (s *stage) serve(addr netip.AddrPort, handler http.Handler, g *gate) error {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return err
	}
	if g != nil {
		l = &gatedListener{l, g}
	}
	srv := &http.Server{Handler: handler}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }() // Serve returns after Close.
	return nil
}

// note writes a line to the record, with the time since the start of the case.
func (s *stage) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Flush reports a failure.
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and stand-ins.
func (s *stage) close() { s.closeOnce.Do(s.closeAll) }

func (s *stage) closeAll() {
	close(s.closed)
	for _, h := range s.hosts {
		h.kill()
	}
	s.gate.open()
	for _, srv := range s.servers {
		_ = srv.Close() // Nothing is served any more.
	}
	for _, w := range s.workers {
		w.crash()
	}
}

// run is a request that a worker began to work on, at a time. Its caller had sent it at sentAt.
type run struct {
	id, tenant, worker string
	at, sentAt         time.Time
}

// runLog holds the runs of all workers.
type runLog struct {
	stage *stage
	mu    sync.Mutex
	list  []run
	// sent holds when callers sent their requests.
	sent map[string]time.Time
}

func (l *runLog) setSent(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = at
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	r.sentAt = l.sent[r.id]
	l.list = append(l.list, r)
	l.mu.Unlock()
	l.stage.note("%s runs %s of tenant %q", r.worker, r.id, r.tenant)
}

// lostOnKept counts the requests on kept connections that were passed on to a worker and whose connection was closed
// without an answer. An answer that had begun doesn't count, and neither does a request whose caller left.
func (l *runLog) lostOnKept(answers []answer) int {
	ran := map[string]bool{}
	for _, r := range l.of(func(run) bool { return true }) {
		ran[r.id] = true
	}
	lost := 0
	for _, a := range answers {
		if a.kept && a.closedUnanswered() && ran[a.id] {
			lost++
		}
	}
	return lost
}

// maxLost is how many such requests the rule LOST allows.
const maxLost = 3

// of returns the runs for which keep returns true.
func (l *runLog) of(keep func(run) bool) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []run
	for _, r := range l.list {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}
