package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/flooder"
	"cardamomscale.example/cardamomscale/internal/testing/sampler"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// floodDeadline is the deadline of requests to targets that flood their host. An answer within
	// floodAnswerTime shows that a bound of the host ended the reading, also on a busy machine.
	floodDeadline   = 40 * time.Second
	floodAnswerTime = 10 * time.Second
	// floodHeap bounds the growth of the heap during floods, in bytes.
	floodHeap = 48 << 20
)

// TestEndlessHeadersHoldCallersAndMemory guards against a host that reads headers without end until
// the deadline of the request.
func TestEndlessHeadersHoldCallersAndMemory(t *testing.T) {
	checkFloods(t, map[string]*flooder.Flood{
		"no HTTP":           {Repeat: "bytes "},
		"header line":       {Begin: "HTTP/1.1 200 OK\r\nX-A: ", Repeat: "bytes "},
		"header lines":      {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: b\r\n"},
		"slow header lines": {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: b\r\n", Pause: 10 * time.Millisecond},
		"informational":     {Repeat: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	})
}

// TestEndlessUnusedBodiesHoldCallers guards against a host that reads the body of a refusal or of an
// answer to another request, which it doesn't need, until the deadline of the request.
func TestEndlessUnusedBodiesHoldCallers(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Run: 1\r\n\r\n"
	other := "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nReply-Seal: s\r\n"
	checkFloods(t, map[string]*flooder.Flood{
		"refusal":           {Begin: refusal, Repeat: "bytes "},
		"slow refusal":      {Begin: refusal, Repeat: "bytes ", Pause: 10 * time.Millisecond},
		"other answer":      {Begin: other + "\r\n", Repeat: "bytes "},
		"slow other answer": {Begin: other + "\r\n", Repeat: "bytes ", Pause: 10 * time.Millisecond},
		"other answers":     {Repeat: other + "Content-Length: 0\r\n\r\n"},
	})
}

// TestEndlessBodiesHoldCallersAndMemory guards against a host that keeps or forwards a body without
// end until the deadline of the request.
func TestEndlessBodiesHoldCallersAndMemory(t *testing.T) {
	success := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Seal: s\r\n"
	checkFloods(t, map[string]*flooder.Flood{
		"body":             {Begin: success + "\r\n", Repeat: "bytes "},
		"length":           {Begin: success + "Content-Length: 1000000000000\r\n\r\n", Repeat: "bytes "},
		"slow length":      {Begin: success + "Content-Length: 1000000000000\r\n\r\n", Repeat: "bytes ", Pause: 10 * time.Millisecond},
		"chunks":           {Begin: success + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "6\r\nbytes \r\n"},
		"body with events": {Begin: success + "\r\n", Repeat: "bytes\n\n"},
		"chunk extension":  {Begin: success + "Transfer-Encoding: chunked\r\n\r\n6;", Repeat: "bytes "},
		"trailer":          {Begin: success + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X-A: b\r\n"},
		"error":            {Begin: "HTTP/1.1 500 Error\r\nRequest-Id: ID\r\nReply-Seal: s\r\n\r\n", Repeat: "bytes "},
	})
}

// checkFloods checks that callers get an answer soon, that the host's memory stays flat and that it
// closes its connections when its targets send floods.
func checkFloods(t *testing.T, floods map[string]*flooder.Flood) {
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, &imitator.Target{ID: "p", Flood: flood}, &imitator.Target{ID: "s", Events: 5, Flood: flood})
			defer r.stop()
			heapGrowth := sampler.StartHeap()
			began := time.Now()
			var requests sync.WaitGroup
			for n := range 24 {
				path := []string{"/pay/1", "/look/1", "/short/1", "/long/1"}[n%4]
				requests.Go(func() {
					status, err := r.sendDiscarding(path, fmt.Sprint(n))
					assert.Check(t, err != nil || status >= http.StatusInternalServerError, "%s: status %d", path, status)
				})
			}
			requests.Wait()
			assert.Check(t, time.Since(began) < floodAnswerTime, "callers waited for %v", time.Since(began))
			grown := heapGrowth()
			assert.Check(t, grown < floodHeap, "the heap grew by %d MiB", grown>>20)
			r.waitFor("connections closed", func() bool { return flood.Open() == 0 })
		})
	}
}

// sendDiscarding sends a request and returns the status and the error of reading the answer, which
// it doesn't keep.
func (r *testRelay) sendDiscarding(path, id string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader("body"))
	assert.NilError(r.t, err)
	req.Host = "h"
	req.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {strconv.FormatInt(floodDeadline.Milliseconds(), 10)}, "Authorization": {"Bearer key"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
