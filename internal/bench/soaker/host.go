package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// readyEvery is the pause between the balancer's questions, readyMisses how many
	// of them take a host out of rotation.
	readyEvery  = 250 * time.Millisecond
	readyMisses = 2
	// hangUpAfter is several times what a busy machine takes to load a program.
	hangUpAfter = 100 * time.Millisecond
	// Hosts' ports lie between these, and one is looked for as often as portTries.
	firstPort, lastPort, portTries = 20000, 32000, 100
)

// host is one process of the relay.
type host struct {
	name     string
	index    int
	settings string
	callers  netip.AddrPort
	readyURL string
	platform *link
	world    *world

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// started is when the process was started; ending is true when the soak ends it.
	started time.Time
	ending  bool
	paused  bool
	misses  int
}

// freePort returns an address of loopback whose port is free for TCP. It lies below
// those that connections are given, so that none takes it while a host is down.
func freePort() (netip.AddrPort, error) {
	for range portTries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if l, err := net.Listen("tcp4", addr.String()); err == nil {
			return addr, l.Close()
		}
	}
	return netip.AddrPort{}, newError("listen", KindStart, os.ErrExist)
}

func (w *world) newHost(n int, platform netip.AddrPort) (*host, error) {
	h := &host{name: fmt.Sprint("host-", n), index: n, world: w, misses: readyMisses}
	var ports [3]netip.AddrPort
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	var err error
	if h.platform, err = w.newLink(h.name+"-platform", platform); err != nil {
		return nil, err
	}
	h.callers, h.readyURL = ports[0], "http://"+ports[1].String()+"/v1/readyz"
	h.settings = filepath.Join(w.cfg.Dir, h.name+".conf")
	raw := imitator.SettingsFile(descriptor.Settings{
		Host: h.name, Address: ports[0].Addr(), DataCentre: dataCentres[n%len(dataCentres)], Regions: map[string]string{"a": "r", "b": "r"},
		Callers: ports[0], Ready: ports[1], FirstPort: ports[2].Port(), LastPort: ports[2].Port(), Platform: h.platform.address, MemoryMB: memoryMB,
		GracePeriod: graceTime, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, LeaseTerm: leaseTerm, RevokeAfter: revokeTime, WeightsWithin: weightsTime,
	})
	if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
		return nil, newError("write settings", KindStart, err)
	}
	w.group.Go(func() { h.askReady(w.ctx) })
	return h, nil
}

// start starts the process unless it runs. It returns false if that fails.
func (h *host) start(j *judge) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return true
	}
	log, err := os.OpenFile(h.world.logFile(h.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		j.breach("soak", err.Error())
		return false
	}
	cmd := exec.Command(h.world.cfg.Binary, "relay")
	cmd.Env = append(os.Environ(), decoder.SettingsVariable+"="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		j.breach("soak", err.Error())
		return false
	}
	h.cmd, h.started, h.ending, h.paused, h.done = cmd, time.Now(), false, false, make(chan struct{})
	go h.wait(cmd, h.done, log, j)
	return true
}

// wait notes the end of the process.
func (h *host) wait(cmd *exec.Cmd, done chan struct{}, log *os.File, j *judge) {
	err := cmd.Wait()
	_ = log.Close() // The process wrote to its own copy.
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ending {
		j.breach("processes run", fmt.Sprintf("%s ended by itself: %v", h.name, err))
	}
	h.cmd = nil
	close(done)
}

// signal sends a signal to the process if it runs.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig) // It may have ended just now.
	}
}

// hangUp says that settings changed. No program can take a signal before its runtime
// runs, so that it comes hangUpAfter after the start of the process at the earliest.
func (h *host) hangUp(ctx context.Context) {
	h.mu.Lock()
	early := hangUpAfter - time.Since(h.started)
	h.mu.Unlock()
	if early <= 0 || sleep(ctx, early) {
		h.signal(syscall.SIGHUP)
	}
}

// end marks the process as ended by the soak and returns what tells its end, or nil.
func (h *host) end() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	h.ending = true
	return h.done
}

// kill ends the process at once.
func (h *host) kill() {
	done := h.end()
	h.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
}

// stop ends the process in good order, and at once after the grace period.
func (h *host) stop(ctx context.Context) {
	done := h.end()
	if done == nil {
		return
	}
	h.signal(syscall.SIGTERM)
	timer := time.NewTimer(graceTime)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	h.kill()
}

func (h *host) pause() {
	h.signal(syscall.SIGSTOP)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = true
}

// goOn lets a paused process go on.
func (h *host) goOn(j *judge) {
	h.mu.Lock()
	paused := h.paused
	h.paused = false
	h.mu.Unlock()
	if paused {
		j.set(j.thawed, h.name, time.Now())
		h.signal(syscall.SIGCONT)
	}
}

// askReady asks regularly whether the host takes callers, as the balancer does.
func (h *host) askReady(ctx context.Context) {
	client := &http.Client{Timeout: readyEvery}
	for sleep(ctx, readyEvery) {
		ok := false
		if resp, err := client.Get(h.readyURL); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close() // It is empty.
		}
		h.mu.Lock()
		if h.misses++; ok {
			h.misses = 0
		}
		h.mu.Unlock()
	}
}

func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < readyMisses
}

// ready waits until the host is in rotation.
func (h *host) ready(ctx context.Context, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for !h.inRotation() {
		if time.Now().After(deadline) || !sleep(ctx, readyEvery/4) {
			return false
		}
	}
	return true
}
