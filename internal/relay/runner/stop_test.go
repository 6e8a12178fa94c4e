package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// lateCaller sends a request around the stop of a host, in pieces with a pause before each.
type lateCaller struct {
	path   string
	pieces []string
	pauses []time.Duration
}

// send returns the answer, whose body has been read, and its error.
func (l lateCaller) send(c *rawCaller, id string) (*http.Response, error) {
	for i, piece := range l.pieces {
		time.Sleep(l.pauses[i])
		if i == 0 {
			piece = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nAuthorization: Bearer key\r\nDeadline-Ms: 20000\r\n%s", l.path, id, piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			break // The answer may have come before the end of the request.
		}
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// TestStoppingHostCutsUnansweredRequests guards against requests that end with their connection as a host stops,
// although no part of their answer has come: that were passed on too late to be answered in the grace period, whose
// upload goes on, or whose target is silent. The first two are refused as not run, so that their callers may go elsewhere.
func TestStoppingHostCutsUnansweredRequests(t *testing.T) {
	const gracePeriod, chunked = 8 * time.Second, "Transfer-Encoding: chunked\r\n\r\n"
	plain, streams := &imitator.Target{ID: "p", Pause: 9 * time.Second}, &imitator.Target{ID: "s", Events: 200, Pause: 50 * time.Millisecond}
	r := startRelay(t, plain, streams)
	callers := map[string]lateCaller{
		"late-upload":  {"/pay/1", []string{chunked + "4\r\nbody\r\n", "0\r\n\r\n"}, []time.Duration{time.Second, 2500 * time.Millisecond}},
		"late-stream":  {"/long/1", []string{chunked + "4\r\nbody\r\n", "0\r\n\r\n"}, []time.Duration{2 * time.Second, 1500 * time.Millisecond}},
		"late-length":  {"/pay/1", []string{"Content-Length: 8\r\n\r\nbody", "body"}, []time.Duration{2 * time.Second, 3 * time.Second}},
		"never-ending": {"/pay/1", []string{chunked + "4\r\nbody\r\n"}, []time.Duration{2 * time.Second}},
		"silent":       {"/pay/1", []string{"Content-Length: 0\r\n\r\n"}, []time.Duration{2 * time.Second}},
		"before":       {"/pay/1", []string{"Content-Length: 0\r\n\r\n"}, []time.Duration{0}},
	}
	conns := map[string]*rawCaller{}
	for id := range callers {
		conns[id] = r.connect()
	}
	stoppedAt := time.Now()
	r.stop()
	var g errgroup.Group
	for id, caller := range callers {
		g.Go(func() error {
			resp, err := caller.send(conns[id], id)
			after := time.Since(stoppedAt)
			if !assert.Check(t, err == nil, "%s has no answer after %s: %v", id, after, err) {
				return nil
			}
			assert.Check(t, after < gracePeriod, "%s is answered after %s", id, after)
			if id == "silent" || id == "before" {
				assert.Check(t, resp.StatusCode == http.StatusGatewayTimeout || resp.StatusCode == http.StatusBadGateway, "%s: status %d", id, resp.StatusCode)
				// A silent target is no reason to give up before the last sixth of the grace period.
				assert.Check(t, after >= gracePeriod*5/6, "%s is given up after %s", id, after)
				return nil
			}
			assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "%s: status %d", id, resp.StatusCode)
			_, err = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.Check(t, err, id)
			assert.Check(t, plain.Runs(id)+streams.Runs(id) == 0, "%s ran", id)
			assert.Check(t, r.log.mentions(id), "%s isn't named in the log", id)
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	assert.NilError(t, <-r.done)
}
