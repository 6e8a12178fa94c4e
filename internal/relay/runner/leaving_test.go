package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// rawCaller is a connection of a caller that sends what a test says.
type rawCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// connect opens a connection of a caller.
func (r *testRelay) connect() *rawCaller {
	r.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{r.t, conn, bufio.NewReader(conn)}
}

// pay sends a request that must not be repeated, and returns its status, body and whether the connection stays
// open.
func (c *rawCaller) pay(id string) (status int, body string, keepAlive bool) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody", id)
	assert.NilError(c.t, err)
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err, "%s has no answer", id)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, string(raw), !resp.Close
}

// awaitClosedListener waits until the relay accepts no connections.
func (r *testRelay) awaitClosedListener() {
	r.t.Helper()
	r.waitFor("the listener is closed", func() bool {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(r.url, "http://"))
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// TestLeavingHostDropsRequestItRead guards against a request that a leaving host reads and drops, on a
// connection that it accepted before: one that is new, and one that was idle.
func TestLeavingHostDropsRequestItRead(t *testing.T) {
	target := &imitator.Target{ID: "p"}
	r := startRelay(t, target)
	kept := r.connect()
	status, _, keepAlive := kept.pay("before")
	assert.Assert(t, status == http.StatusOK && keepAlive)
	r.stop()
	time.Sleep(drainDelay - 200*time.Millisecond)
	accepted := r.connect()
	r.awaitClosedListener()
	for name, c := range map[string]*rawCaller{"accepted": accepted, "kept": kept} {
		status, body, keepAlive := c.pay(name)
		assert.Equal(t, status, http.StatusOK, name)
		assert.Equal(t, body, "answer to "+name)
		assert.Assert(t, !keepAlive, "%s: the caller isn't told that the connection ends", name)
	}
	assert.NilError(t, <-r.done)
}

// TestLeavingHostTakesRequestLate guards against a request that a leaving host takes so late that it may not be
// answered before the grace period ends: on a connection whose last response began before the host was stopped, so
// that it didn't say that the connection ends.
func TestLeavingHostTakesRequestLate(t *testing.T) {
	// bound is the platform's bound for requests that may be cut at the end of the grace period.
	const bound = 3 * time.Second
	target := &imitator.Target{ID: "p", Pause: bound + 100*time.Millisecond}
	r := startRelay(t, target)
	c := r.connect()
	go func() {
		time.Sleep(200 * time.Millisecond)
		r.stop()
	}()
	status, _, keepAlive := c.pay("before")
	assert.Assert(t, status == http.StatusOK && keepAlive)
	time.Sleep(150 * time.Millisecond)
	_, err := io.WriteString(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
	if err == nil {
		_, err = c.r.ReadByte()
	}
	assert.Assert(t, err != nil, "a request is answered that came later than %s after the stop", bound)
	assert.Equal(t, target.Runs("late"), 0)
	assert.NilError(t, <-r.done)
}

// TestLeavingHostWaitsForSilentCallers guards against a host that stays until the end of its grace period
// because of connections without requests.
func TestLeavingHostWaitsForSilentCallers(t *testing.T) {
	r := startRelay(t, &imitator.Target{ID: "p"})
	silent := r.connect()
	half := r.connect()
	_, err := half.Write([]byte("POST /pay/1 HT"))
	assert.NilError(t, err)
	stoppedAt := time.Now()
	r.stop()
	_, err = silent.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, <-r.done)
	assert.Assert(t, time.Since(stoppedAt) < 7*time.Second, "left after %s", time.Since(stoppedAt))
}

// TestUnreadRequestLeavesNoTrace guards against requests that a host began to read and that its log doesn't name.
func TestUnreadRequestLeavesNoTrace(t *testing.T) {
	r := startRelay(t, &imitator.Target{ID: "p"})
	for id, head := range map[string]string{
		"broken":   "Content-Length: 10\r\n\r\nbody",
		"chunked":  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"too-long": fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<30),
	} {
		c := r.connect()
		_, err := fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nAuthorization: Bearer key\r\n%s", id, head)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond) // Lets the host read the head.
		assert.NilError(t, c.Close())
		r.waitFor(id, func() bool { return r.log.mentions(id) })
	}
	r.stop()
	assert.NilError(t, <-r.done)
}

// TestCutRequestLeavesNoTrace guards against requests that are cut as a host ends and that its log doesn't name as such.
func TestCutRequestLeavesNoTrace(t *testing.T) {
	r := startRelay(t, &imitator.Target{ID: "s", Events: 100, Pause: 200 * time.Millisecond})
	c := r.connect()
	_, err := io.WriteString(c, "POST /short/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: long\r\nAuthorization: Bearer key\r\nDeadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.r.ReadByte()
	assert.NilError(t, err)
	r.stop()
	assert.NilError(t, <-r.done)
	assert.Assert(t, r.log.contains(`"cut at the end of the grace period"`))
}
