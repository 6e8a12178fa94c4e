package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// frontPort, readyPort and metricsPort are the ports of each relay, on an address of its own.
	frontPort   = 8749
	readyPort   = 8741
	metricsPort = 9464
	// graceTime is bounds.graceS of the sheet.
	graceTime = 8 * time.Second
	// readyTimeout bounds the start of all relays.
	readyTimeout = 15 * time.Second
)

// zones are those of the sheet of etlc-labels.
var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// deployment is a small deployment on loopback addresses: relays as processes, and stand-ins of
// the platform's store, workers and clients in this process.
type deployment struct {
	record *record
	dir    string
	// network is the second byte of all loopback addresses.
	network int
	store   *platformStore
	relays  []*relay
	closers []func()
}

// newDeployment starts the platform's store.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, network: 20 + os.Getpid()%200}
	d.store = newPlatformStore(rec)
	if err := d.serve(d.addr(200, 1, 8744), d.store); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// addr returns the address of a process.
func (d *deployment) addr(group, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.network, group, n, port)
}

// serve serves a stand-in until the deployment is closed.
func (d *deployment) serve(addr string, h http.Handler) error {
	_, err := d.serveUntilClosed(addr, h)
	return err
}

// serveUntilClosed is like serve, and returns a function that ends the server and its connections.
func (d *deployment) serveUntilClosed(addr string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(l) }()  // Ends with Close.
	end := func() { _ = srv.Close() } // The stand-in is over.
	d.closers = append(d.closers, end)
	return end, nil
}

// relay is a process of the deploy file's role.
type relay struct {
	name, zone, ip string
	ramMB          int
	cmd            *exec.Cmd
	log            *os.File

	mu sync.Mutex
	// exit is how the process ended; empty while it runs.
	exit string
	done chan struct{}
}

func (r *relay) front() string { return fmt.Sprintf("%s:%d", r.ip, frontPort) }

// ended returns how the process ended, or "" while it runs.
func (r *relay) ended() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exit
}

// startRelays starts n relays, one in each zone in turn, and waits until all are ready.
func (d *deployment) startRelays(n, ramMB int) error {
	for i := range n {
		r := &relay{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
			ip: fmt.Sprintf("127.%d.%d.1", d.network, i+1), ramMB: ramMB, done: make(chan struct{}),
		}
		d.relays = append(d.relays, r)
	}
	for _, r := range d.relays {
		if err := d.startRelay(r); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, r := range d.relays {
		for !isReady(r) {
			if time.Now().After(deadline) || r.ended() != "" {
				return fmt.Errorf("%s isn't ready", r.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// startRelay starts the program of the deploy file with a settings file like that of the pages.
func (d *deployment) startRelay(r *relay) error {
	path := filepath.Join(d.dir, r.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(r)), 0o600); err != nil {
		return err
	}
	var err error
	if r.log, err = os.Create(filepath.Join(d.dir, r.name+".log")); err != nil {
		return err
	}
	r.cmd = exec.Command("target/cardamomd", "relay", "--metrics-port", fmt.Sprint(metricsPort))
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMSCALE_SETTINGS=" + path}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go func() {
		err := r.cmd.Wait()
		r.mu.Lock()
		r.exit = fmt.Sprintf("ended: %v", err)
		r.mu.Unlock()
		close(r.done)
	}()
	return nil
}

// settings returns the settings file of a relay, with the bounds of the sheet of etlc-labels.
func (d *deployment) settings(r *relay) string {
	lines := []string{
		"node=" + r.name, "role=relay", "class=front", "serves=front", "ip=" + r.ip, "zone=" + r.zone, "region=khomas",
		fmt.Sprintf("listen.front=%s:%d", r.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", r.ip, readyPort),
		fmt.Sprintf("listen.control=%s:8745", r.ip), "portRange=7580,7595", "firstStart=true", "countsAsLoss=false",
		"limits.cpuShare=0.4", "limits.cores=1", fmt.Sprintf("limits.ramMb=%d", r.ramMB), "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000",
		"bounds.ackMs=4000", "bounds.catchupS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.applyMs=2000",
		"bounds.downgradeMs=250", "bounds.maxSkewMs=5000", "bounds.strictRevoke=true", "bounds.revokeMs=5000", "bounds.retryRatio=0.2",
		"bounds.retryWindowS=10", "bounds.retrySlack=54", "bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000",
		"bounds.recoverS=12", "bounds.transitMs=120", "bounds.againS=20", "bounds.requireFence=false", "bounds.leaseTtlMs=3000",
		"bounds.thawMs=300", "bounds.versionMs=8000", "bounds.versionAllMs=11000", "platform.addr=" + d.addr(200, 1, 8744),
		"platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576",
		"platform.ttlMinMs=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=khomas")
	}
	return strings.Join(lines, "\n") + "\n"
}

// isReady asks a relay as the platform's balancer does.
func isReady(r *relay) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", r.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // Only the status counts.
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins. It keeps the logs of the relays if KEEP is set.
func (d *deployment) close() {
	for _, r := range d.relays {
		if r.cmd == nil || r.cmd.Process == nil {
			continue
		}
		_ = r.cmd.Process.Signal(syscall.SIGTERM) // It may have ended.
	}
	for _, r := range d.relays {
		if r.cmd == nil || r.cmd.Process == nil {
			continue
		}
		select {
		case <-r.done:
		case <-time.After(graceTime):
			_ = r.cmd.Process.Kill() // It may have ended.
			<-r.done
		}
		_ = r.log.Close() // The process wrote through its own descriptor.
	}
	for _, end := range d.closers {
		end()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir) // A leftover does no harm.
}

// platformStore is the project's fake of the platform's store, which may be down and silent.
type platformStore struct {
	*imitator.Store
	record *record

	mu sync.Mutex
	// down is true while calls get no answer: those that arrive, and those whose answer is due.
	down bool
	// calls counts the calls without an answer by their kind of object.
	calls map[string]int
}

func newPlatformStore(rec *record) *platformStore {
	return &platformStore{Store: imitator.NewStore(), record: rec, calls: map[string]int{}}
}

// setSilent takes the store down, or up again.
func (s *platformStore) setSilent(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.record.write("store", "down and silent", "down", down, "calls-without-answer", s.calls)
}

// isSilent reports whether the store is down, and counts a call that gets no answer.
func (s *platformStore) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
		s.calls[kind]++
	}
	return s.down
}

// ServeHTTP answers a call. The connection of a call without an answer returns nothing further.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent(r) {
		s.swallow(r)
	}
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	s.Store.ServeHTTP(answer, r)
	if s.isSilent(r) {
		s.swallow(r)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // Fails only when the caller has disconnected.
}

// swallow keeps a connection open and silent until its caller gives up.
func (s *platformStore) swallow(r *http.Request) {
	s.record.write("store", "gives no answer", "call", r.Method+" "+r.URL.RequestURI())
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// heldAnswer holds an answer until it is known whether it is lost.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

// put writes an object as the operator or a worker does.
func (s *platformStore) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Can't happen: specs are maps of plain values.
	}
	s.Put(kind, name, string(raw))
	s.record.write("store", "acknowledged", "object", kind+"/"+name, "spec", string(raw))
	return time.Now()
}

// sleep waits for d unless ctx ends before.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
