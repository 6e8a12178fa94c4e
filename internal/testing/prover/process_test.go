package prover

import (
	"fmt"
	"net"
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
)

// binaries is the folder of the built commands.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
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
	binaries = dir
	return m.Run()
}

// process is one running command.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start runs a built command until the test ends.
func start(t *testing.T, name, command string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd = exec.Command(filepath.Join(binaries, command), args...)
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

// logLines is the number of a log's last lines that a failed test shows.
const logLines = 15

func (p *process) tail() string {
	raw, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// freeze stops the process until thaw.
func (p *process) freeze(t *testing.T) { p.signal(t, syscall.SIGSTOP) }

func (p *process) thaw(t *testing.T) { p.signal(t, syscall.SIGCONT) }

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(sig), p.name)
}

// stopLimit bounds a graceful shutdown.
const stopLimit = 45 * time.Second

// stop shuts the process down gracefully and waits for its end.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		t.Fatalf("%s did not stop within %v", p.name, stopLimit)
	}
	assert.Equal(t, p.cmd.ProcessState.ExitCode(), 0, "exit code of %s:\n%s", p.name, p.tail())
}

// taken holds the ports that were handed out in this test run.
var taken = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// freeAddress asks the kernel for a loopback address that no other test has got.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	taken.Lock()
	defer taken.Unlock()
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := ln.Addr().(*net.TCPAddr).AddrPort()
		assert.NilError(t, ln.Close())
		if !taken.ports[address.Port()] {
			taken.ports[address.Port()] = true
			return address
		}
	}
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// within polls until ok, and fails the test when that takes longer than limit.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	end := time.After(limit)
	for !ok() {
		select {
		case <-ticker.C:
		case <-end:
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}
