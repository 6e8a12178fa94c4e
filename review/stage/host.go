package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// host is one relay process with its settings.
type host struct {
	stage    *stage
	name     string
	zone     string
	addr     netip.Addr
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
	// platform is where the host finds the store.
	platform netip.AddrPort
	memoryMB int
}

// addHost adds a host and starts its process.
func (s *stage) addHost(n, memoryMB int) (*host, error) {
	zone := zones[n%len(zones)]
	h := &host{
		stage: s, name: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), zone: zone, addr: s.address(n+1, 0).Addr(),
		platform: s.address(250, storePort), memoryMB: memoryMB,
	}
	h.settings = filepath.Join(s.dir, h.name+".conf")
	s.hosts = append(s.hosts, h)
	return h, h.start()
}

// writeSettings writes the settings file as the platform does at each start.
func (h *host) writeSettings() error {
	var out strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&out, "%s=%v\n", key, value) }
	line("node", h.name)
	line("role", "relay")
	line("class", "front")
	line("serves", "front")
	line("ip", h.addr)
	line("zone", h.zone)
	line("region", "gt-central")
	for _, zone := range zones {
		line("zones."+zone, "gt-central")
	}
	line("listen.front", netip.AddrPortFrom(h.addr, callerPort))
	line("listen.ready", netip.AddrPortFrom(h.addr, readyPort))
	line("portRange", fmt.Sprintf("%d,%d", peerPort, lastPort))
	line("firstStart", h.starts == 0)
	line("limits.cpuShare", 0.4)
	line("limits.cores", 1)
	line("limits.ramMb", h.memoryMB)
	line("limits.maxFds", 4100)
	line("limits.linkMbps", 1000.0)
	line("heartbeatMs", heartbeatTime.Milliseconds())
	for key, value := range bounds {
		line("bounds."+key, value)
	}
	line("platform.addr", h.platform)
	line("platform.form", "objects")
	line("platform.writesPerS", 400)
	line("platform.readsPerS", 2000)
	line("platform.historyS", 20)
	line("platform.valueBytes", 1<<20)
	return os.WriteFile(h.settings, []byte(out.String()), 0o600)
}

// bounds are those of the farm shop's sheet.
var bounds = map[string]any{
	"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": graceTime.Seconds(), "applyMs": 2000, "strictRevoke": true,
	"revokeMs": revokeTime.Milliseconds(), "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "coldOver": 1.5, "coldSlack": 5,
	"evacMs": 5000, "leaseTtlMs": 3000, "versionMs": 8000, "versionAllMs": 11000,
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(h.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.stage.binary, "relay", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMSCALE_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.starts++
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	h.stage.note("%s is started", h.name)
	go func() {
		state := cmd.Wait()
		_ = out.Close() // The process wrote through its own descriptor.
		h.stage.note("%s has ended: %v", h.name, state)
		close(exited)
	}()
	return nil
}

func (h *host) logFile() string {
	dir := h.stage.dir
	if h.stage.logs != "" {
		dir = h.stage.logs
	}
	return filepath.Join(dir, h.name+".log")
}

func (h *host) signal(sig syscall.Signal) {
	h.stage.note("%s gets the signal %v", h.name, sig)
	_ = h.cmd.Process.Signal(sig) // The process may have ended.
}

// kill ends the process and waits for that.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// isReady asks the host's readiness check, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + netip.AddrPortFrom(h.addr, readyPort).String() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // The body isn't read by the platform.
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (s *stage) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", h.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("all hosts are ready")
	return nil
}

// enforceMemory plays the platform's part: it kills the process once that holds more memory than its machine has. It
// returns the most that the process held, in bytes, and whether it was killed, when done is closed or that happens.
func (h *host) enforceMemory(done chan struct{}) (peak int64, killed bool) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return peak, false
		case <-ticker.C:
		}
		held := h.memory()
		peak = max(peak, held)
		if held > int64(h.memoryMB)<<20 {
			h.stage.note("%s holds %d MB, its machine has %d MB; the platform kills it", h.name, held>>20, h.memoryMB)
			h.kill()
			return peak, true
		}
	}
}

// memory returns the resident memory of the process in bytes.
func (h *host) memory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0 // The process has ended.
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
