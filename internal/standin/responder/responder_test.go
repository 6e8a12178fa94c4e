package responder

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	*Responder
	client *http.Client
	url    string
}

func newFixture(t *testing.T, change func(*Settings)) *fixture {
	t.Helper()
	settings := DefaultSettings()
	settings.ColdLimit, settings.WarmRequests = 1, 0
	settings.WarmTime.Duration, settings.ServiceTime.Duration, settings.LoadLag.Duration = 0, 0, 0
	change(&settings)
	s, err := New(Config{Settings: settings, Name: "p", Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-done)
	})
	return &fixture{Responder: s, client: &http.Client{Transport: transport}, url: "http://" + ln.Addr().String()}
}

func (f *fixture) call(id, deadline string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, f.url+"/payments/7", strings.NewReader("body"))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(messenger.HeaderRequest, "request-"+id)
	req.Header.Set(messenger.HeaderIdempotencyKey, id)
	if deadline != "" {
		req.Header.Set(messenger.HeaderDeadline, deadline)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func TestAnswerEchoesRequestAndCountsExecutions(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.PaddingBytes = 10 })
	for n := 1; n <= 2; n++ {
		resp, body, err := f.call("a", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(messenger.HeaderIncarnation), "1")
		var answer Answer
		assert.NilError(t, json.Unmarshal(body, &answer))
		assert.Equal(t, answer, Answer{
			RequestID: "request-a", Method: http.MethodPost, Path: "/payments/7",
			Digest: Digest([]byte("body")), Execution: n, Padding: "pppppppppp",
		})
	}
	assert.Equal(t, f.Executions("a"), 2)
	assert.Equal(t, f.Stats().Duplicates, 1)
}

// A request whose answer is reset or truncated has run and must be counted, and
// the fault must affect no further request.
func TestLostAnswersCountAsExecuted(t *testing.T) {
	one := 1
	for name, faults := range map[string]Faults{"reset": {ResetNext: &one}, "truncated": {TruncateNext: &one}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(*Settings) {})
			assert.NilError(t, f.Apply(faults))
			_, _, err := f.call("a", "")
			assert.Assert(t, err != nil)
			assert.Equal(t, f.Executions("a"), 1)
			_, _, err = f.call("b", "")
			assert.NilError(t, err)
		})
	}
}

// A request whose deadline passes in the queue must be refused as not run, and it
// must not run later.
func TestDeadlineExpiresInQueue(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.RunningLimit, s.QueueLimit = 1, 1 })
	on, off := true, false
	assert.NilError(t, f.Apply(Faults{Stall: &on}))
	done := make(chan error, 1)
	go func() {
		_, _, err := f.call("a", "")
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Executions("a") == 1 {
			return poll.Success()
		}
		return poll.Continue("a runs")
	}, poll.WithTimeout(waitTimeout))
	resp, _, err := f.call("b", "1ms")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, resp.Header.Get(messenger.HeaderRun), string(messenger.RunStateNotRun))
	assert.Equal(t, f.Executions("b"), 0)
	assert.NilError(t, f.Apply(Faults{Stall: &off}))
	assert.NilError(t, <-done)
}

// A request above the cold limit must crash the service: the running request
// loses its connection, and the service has a new incarnation.
func TestColdServiceCrashesAboveColdLimit(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.WarmRequests = 100 })
	on := true
	assert.NilError(t, f.Apply(Faults{Stall: &on}))
	done := make(chan error, 1)
	go func() {
		_, _, err := f.call("a", "")
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Executions("a") == 1 {
			return poll.Success()
		}
		return poll.Continue("a runs")
	}, poll.WithTimeout(waitTimeout))
	_, _, err := f.call("b", "")
	assert.Assert(t, err != nil)
	assert.Assert(t, <-done != nil)
	stats := f.Stats()
	assert.Equal(t, stats.Crashes, 1)
	assert.Equal(t, stats.Incarnation, identifier.Incarnation(2))
	assert.Equal(t, stats.Executions["b"], 0)
}
