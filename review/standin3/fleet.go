package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	metricsPort  = 9464
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// recorder writes the record of a run. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// printf writes one line with the seconds since the start of the run.
func (r *recorder) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// network hands out addresses of a loopback network that no other process uses.
type network struct {
	second, third byte
	last          byte
}

func newNetwork() *network {
	return &network{second: byte(64 + rand.IntN(128)), third: byte(rand.IntN(256))}
}

// address returns the next free address.
func (n *network) address() netip.Addr {
	n.last++
	return netip.AddrFrom4([4]byte{127, n.second, n.third, n.last})
}

// freePorts returns two ports of ip that are free.
func freePorts(ip netip.Addr) (ports [2]netip.AddrPort, err error) {
	for i := range ports {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
		if err != nil {
			return ports, err
		}
		defer func() { _ = l.Close() }() // Both stay taken until the end, so that they differ.
		ports[i] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return ports, nil
}

// serve serves a handler on a free port of ip until the context ends, and returns the address.
func serve(ctx context.Context, ip netip.Addr, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// relay is one process of the project, with the settings of a host.
type relay struct {
	name     string
	zone     string
	ip       netip.Addr
	callers  netip.AddrPort
	ready    netip.AddrPort
	settings string
	daemon   string
	dir      string
	record   *recorder

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool
	starts int
}

// newRelay returns a host that isn't running yet. Its settings are those of a small deployment.
func newRelay(name, zone, daemon, dir string, ip netip.Addr, platform netip.AddrPort, record *recorder) (*relay, error) {
	r := &relay{name: name, zone: zone, ip: ip, daemon: daemon, dir: dir, record: record}
	ports, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	r.callers, r.ready = ports[0], ports[1]
	r.settings = filepath.Join(dir, name+".conf")
	return r, r.writeSettings(platform)
}

// writeSettings writes the settings file, as the platform does.
func (r *relay) writeSettings(platform netip.AddrPort) error {
	lines := []string{
		"node=" + r.name, "role=relay", "class=front", "serves=front", "ip=" + r.ip.String(), "zone=" + r.zone, "region=r",
		"zones.a=r", "zones.b=r", "zones.c=r", "listen.front=" + r.callers.String(), "listen.ready=" + r.ready.String(), "portRange=7580,7595",
		"firstStart=" + strconv.FormatBool(r.starts == 0), "limits.cpuShare=0.4", "limits.cores=1", fmt.Sprint("limits.ramMb=", hostMemoryMB), "limits.maxFds=4100",
		"tolerate.machines=2", "tolerate.zones=1", "bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200",
		"bounds.applyMs=2000", "bounds.strictRevoke=true", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=54",
		"bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000", "bounds.requireFence=false", "bounds.leaseTtlMs=3000", "bounds.versionMs=8000",
		"bounds.versionAllMs=11000", "platform.addr=" + platform.String(), "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576",
	}
	return os.WriteFile(r.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (r *relay) start() error {
	log, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.daemon, "relay", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMSCALE_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended, r.killed = cmd, ended, false
	r.starts++
	r.mu.Unlock()
	r.record.printf("%s started, process %d, callers at %s", r.name, cmd.Process.Pid, r.callers)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.killed {
			r.record.printf("%s ended by itself: %v: %s", r.name, err, lastLine(log.Name()))
		}
		close(ended)
	}()
	return nil
}

// lastLine returns the last line of a file, or why it can't be read.
func lastLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process, and whether it is to end it.
func (r *relay) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	r.killed = r.killed || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	_ = r.cmd.Process.Signal(sig) // The process may have ended meanwhile.
	r.record.printf("%s gets signal %v", r.name, sig)
}

// stop ends the process and waits for that.
func (r *relay) stop() {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-ended
}

// running reports whether the process runs.
func (r *relay) running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		return false
	}
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// rss returns the resident memory of the process in bytes, or 0 if it doesn't run.
func (r *relay) rss() int64 {
	r.mu.Lock()
	cmd := r.cmd
	r.mu.Unlock()
	if cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// errNotReady reports a host that isn't ready in time.
var errNotReady = errors.New("a host isn't ready in time")

// awaitReady waits until the host says that it is ready.
func (r *relay) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + r.ready.String() + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
