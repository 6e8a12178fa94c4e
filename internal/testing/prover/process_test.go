package prover

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/reserver"
)

// binDir is the directory of the built commands.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the commands, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), "./cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a command that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// startProcess starts a built command, which is killed when the test ends.
func startProcess(t *testing.T, name, command string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd = exec.Command(filepath.Join(binDir, command), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
		_ = log.Close()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("last lines of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// logLines is the number of log lines that a failed test shows per process.
const logLines = 15

// tail returns the last lines of the process's log.
func (p *process) tail() string {
	raw, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// pause suspends the process until resume.
func (p *process) pause(t *testing.T) { p.signal(t, syscall.SIGSTOP) }

func (p *process) resume(t *testing.T) { p.signal(t, syscall.SIGCONT) }

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(sig), p.name)
}

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 45 * time.Second

// stop shuts the process down gracefully and checks that it exits with code 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop within %v", p.name, stopTimeout)
	}
	assert.Equal(t, p.cmd.ProcessState.ExitCode(), 0, "exit code of %s:\n%s", p.name, p.tail())
}

// ports reserves the ports of all tests. Tests of other packages run processes at the same time,
// and a port must stay free for a daemon that is down.
var ports = sync.OnceValues(func() (*reserver.Reserver, error) {
	return reserver.New(reserver.Config{First: reserver.DefaultFirst, Last: reserver.DefaultLast})
})

// freeAddress returns a loopback address whose port is free and was not handed out before.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	r, err := ports()
	assert.NilError(t, err)
	address, err := r.Reserve()
	assert.NilError(t, err)
	return address
}

// pollInterval is the time between two evaluations of a polled condition.
const pollInterval = 20 * time.Millisecond

// waitUntil polls ok until it returns true, and fails the test after limit.
func waitUntil(t *testing.T, limit time.Duration, condition string, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timeout := time.After(limit)
	for !ok() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("not within %v: %s", limit, condition)
		}
	}
}
