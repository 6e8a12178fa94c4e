package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// readyInterval is the interval of readiness probes, and maxReadyMisses the number
	// of failed probes in a row that takes a host out of rotation.
	readyInterval  = 250 * time.Millisecond
	maxReadyMisses = 2
	// minReloadDelay is several times what a busy machine needs to load a program.
	minReloadDelay = 100 * time.Millisecond
)

// host is a relay process and the settings it runs with.
type host struct {
	name         string
	index        int
	settingsFile string
	callerAddr   netip.AddrPort
	readyURL     string
	platformLink *link
	cluster      *cluster

	mu sync.Mutex
	// cmd is nil while no process runs; exited is closed when the process has exited.
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when the process was started; stopping is true when the soak ends it.
	startedAt time.Time
	stopping  bool
	paused    bool
	// misses counts the failed readiness probes in a row.
	misses int
}

func (c *cluster) newHost(n int, platform netip.AddrPort) (*host, error) {
	h := &host{name: fmt.Sprint("host-", n), index: n, cluster: c, misses: maxReadyMisses}
	var ports [3]netip.AddrPort
	for i := range ports {
		var err error
		if ports[i], err = c.ports.Reserve(); err != nil {
			return nil, err
		}
	}
	var err error
	if h.platformLink, err = c.newLink(h.name+"-platform", platform); err != nil {
		return nil, err
	}
	h.callerAddr, h.readyURL = ports[0], "http://"+ports[1].String()+"/v1/readyz"
	h.settingsFile = filepath.Join(c.cfg.Dir, h.name+".conf")
	raw := imitator.SettingsFile(descriptor.Settings{
		Host: h.name, Address: ports[0].Addr(), DataCentre: dataCentres[n%len(dataCentres)], Regions: map[string]string{"a": "r", "b": "r"},
		Callers: ports[0], Ready: ports[1], FirstPort: ports[2].Port(), LastPort: ports[2].Port(), Platform: h.platformLink.address, MemoryMB: memoryMB,
		GracePeriod: gracePeriod, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, LeaseTerm: leaseTerm, RevokeAfter: maxRevokeTime, WeightsWithin: maxWeightsTime,
	})
	if err := os.WriteFile(h.settingsFile, raw, 0o600); err != nil {
		return nil, newError("write settings", KindStart, err)
	}
	c.group.Go(func() { h.pollReady(c.ctx) })
	return h, nil
}

// start starts the process unless it is running. It returns false if that fails.
func (h *host) start(chk *checker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return true
	}
	log, err := os.OpenFile(h.cluster.logFile(h.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		chk.addViolation("soak", err.Error())
		return false
	}
	cmd := exec.Command(h.cluster.cfg.Binary, "relay")
	cmd.Env = append(os.Environ(), decoder.SettingsVariable+"="+h.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		chk.addViolation("soak", err.Error())
		return false
	}
	h.cmd, h.startedAt, h.stopping, h.paused, h.exited = cmd, time.Now(), false, false, make(chan struct{})
	chk.markFault(chk.hostFaults, h.name, false)
	go h.awaitExit(cmd, h.exited, log, chk)
	return true
}

// awaitExit waits for the process to exit, and adds a violation if the soak didn't end it.
func (h *host) awaitExit(cmd *exec.Cmd, exited chan struct{}, log *os.File, chk *checker) {
	err := cmd.Wait()
	_ = log.Close() // The process wrote through its own file descriptor.
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping {
		chk.addViolation("processes run", fmt.Sprintf("%s ended by itself: %v: %s", h.name, err, lastLine(log.Name())))
	}
	h.cmd = nil
	close(exited)
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

// signal sends a signal to the process if it is running.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig) // The process may have exited meanwhile.
	}
}

// reloadSettings sends SIGHUP, but not earlier than minReloadDelay after the start of
// the process: no program can handle a signal before its runtime is up.
func (h *host) reloadSettings(ctx context.Context) {
	h.mu.Lock()
	wait := minReloadDelay - time.Since(h.startedAt)
	h.mu.Unlock()
	if wait <= 0 || sleep(ctx, wait) {
		h.signal(syscall.SIGHUP)
	}
}

// markStopping marks the process as ended by the soak. It returns a channel that is
// closed when the process has exited, or nil if none is running.
func (h *host) markStopping() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	h.stopping = true
	h.cluster.checker.markFault(h.cluster.checker.hostFaults, h.name, false)
	return h.exited
}

// kill kills the process and waits for its exit.
func (h *host) kill() {
	exited := h.markStopping()
	h.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// stop shuts the process down gracefully, and kills it after the grace period.
func (h *host) stop(ctx context.Context) {
	exited := h.markStopping()
	if exited == nil {
		return
	}
	h.signal(syscall.SIGTERM)
	timer := time.NewTimer(gracePeriod)
	defer timer.Stop()
	select {
	case <-exited:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	h.kill()
}

// pause suspends the process with SIGSTOP.
func (h *host) pause() {
	h.cluster.checker.markFault(h.cluster.checker.hostFaults, h.name, true)
	h.signal(syscall.SIGSTOP)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = true
}

// resume continues a paused process.
func (h *host) resume(chk *checker) {
	h.mu.Lock()
	paused := h.paused
	h.paused = false
	h.mu.Unlock()
	if paused {
		chk.setTime(chk.resumedAt, h.name, time.Now())
		h.signal(syscall.SIGCONT)
		chk.markFault(chk.hostFaults, h.name, false)
	}
}

// checkMemory adds a violation if the process uses more memory than a host has.
func (h *host) checkMemory(chk *checker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return // The process has just exited.
	}
	chk.checkMemory(h.name, string(raw))
}

// pollReady probes the host's readiness at regular intervals, as the platform's balancer does.
func (h *host) pollReady(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval}
	for sleep(ctx, readyInterval) {
		ok := false
		if resp, err := client.Get(h.readyURL); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close() // The body is empty.
		}
		h.checkMemory(h.cluster.checker)
		h.mu.Lock()
		if h.misses++; ok {
			h.misses = 0
		}
		h.mu.Unlock()
	}
}

func (h *host) isPaused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused
}

func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < maxReadyMisses
}

// awaitReady waits until the host is in rotation. It returns false on a timeout or when ctx ends.
func (h *host) awaitReady(ctx context.Context, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for !h.inRotation() {
		if time.Now().After(deadline) || !sleep(ctx, readyInterval/4) {
			return false
		}
	}
	return true
}
