package prover

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// newLoader returns a loader that sends requests to the addresses that daemons returns.
func newLoader(t *testing.T, daemons func() []netip.AddrPort) *loader.Loader {
	t.Helper()
	l, err := loader.New(loader.Config{Clock: clockwork.NewRealClock(), Daemons: daemons})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l
}

// newLoader returns a loader for the hosts with these indexes, or for all hosts.
func (c *cluster) newLoader(indexes ...int) *loader.Loader {
	c.t.Helper()
	addresses := c.callerAddresses(indexes...)
	return newLoader(c.t, func() []netip.AddrPort { return addresses })
}

// newPrompt returns a streamed prompt.
func newPrompt(text string, tokens int) loader.Prompt {
	return loader.Prompt{
		RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Model: model, Text: text, MaxTokens: tokens, Stream: true,
		Versions: []identifier.WeightVersion{weightVersion},
	}
}

// newPayment returns a non-repeatable call.
func newPayment(key string) loader.Call {
	return loader.Call{
		RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Service: plainService, Method: http.MethodPost, Path: paymentsPath,
		Body: []byte(`{"amount":12}`), IdempotencyKey: key,
	}
}

// newLookup returns a repeatable call.
func newLookup(name string) loader.Call {
	return loader.Call{RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Service: plainService, Method: http.MethodGet, Path: "/stock/" + name}
}

// answerTokens is the length of the answers to prompts under load.
const answerTokens = 40

// backgroundLoad sends streamed prompts, unstreamed prompts and lookups until it
// is stopped.
type backgroundLoad struct {
	cancel   context.CancelFunc
	stopping atomic.Bool
	group    sync.WaitGroup
	mu       sync.Mutex
	outcomes []loader.Outcome
}

// requestKinds is the number of request kinds that a load mixes.
const requestKinds = 3

// startLoad starts workers that each send one request after another until the
// load is stopped.
func startLoad(t *testing.T, l *loader.Loader, workers int) *backgroundLoad {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	load := &backgroundLoad{cancel: cancel}
	t.Cleanup(func() { load.stopping.Store(true); cancel(); load.group.Wait() })
	for w := range workers {
		load.group.Go(func() {
			for i := 0; !load.stopping.Load(); i++ {
				load.add(sendRequest(ctx, l, w, i))
			}
		})
	}
	return load
}

// sendRequest sends request i of a worker.
func sendRequest(ctx context.Context, l *loader.Loader, worker, i int) loader.Outcome {
	name := fmt.Sprintf("%d-%d", worker, i)
	if (worker+i)%requestKinds == 0 {
		return l.Call(ctx, newLookup(name))
	}
	p := newPrompt("label of dish "+name, answerTokens)
	p.Stream = (worker+i)%requestKinds == 1
	return l.Complete(ctx, p)
}

func (load *backgroundLoad) add(o loader.Outcome) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.outcomes = append(load.outcomes, o)
}

// count returns the number of requests that have ended.
func (load *backgroundLoad) count() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	return len(load.outcomes)
}

// waitForMore waits until n more requests have ended.
func (load *backgroundLoad) waitForMore(t *testing.T, n int) {
	t.Helper()
	want := load.count() + n
	waitUntil(t, loadTimeout, fmt.Sprintf("%d more requests end", n), func() bool { return load.count() >= want })
}

// loadTimeout bounds waitForMore.
const loadTimeout = 40 * time.Second

// stop waits for the running requests and returns the outcomes of all requests.
func (load *backgroundLoad) stop() []loader.Outcome {
	load.stopping.Store(true)
	load.group.Wait()
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.outcomes
}

// checkAllComplete fails the test unless every request got its complete and
// correct answer.
func checkAllComplete(t *testing.T, outcomes []loader.Outcome) {
	t.Helper()
	incomplete := 0
	for _, o := range outcomes {
		if o.Complete && !o.Wrong && o.Status == http.StatusOK {
			continue
		}
		incomplete++
		if incomplete <= 5 {
			t.Errorf("request %q: status %d, complete %t, wrong %t, kind %q, run %q, error %v after %v", o.RequestID, o.Status, o.Complete, o.Wrong, o.Kind, o.Run, o.Err, o.Duration)
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of %d requests did not get their complete answer", incomplete, len(outcomes))
	}
	assert.Assert(t, len(outcomes) > 0)
}

// checkNotRunOutcomes fails the test if an answer is wrong or if a request that
// was reported as not run did run. It returns the number of requests by reported
// run state.
func checkNotRunOutcomes(t *testing.T, outcomes []loader.Outcome, s targetStats) map[messenger.RunState]int {
	t.Helper()
	byRunState := map[messenger.RunState]int{}
	for _, o := range outcomes {
		byRunState[o.Run]++
		if o.Wrong {
			t.Errorf("request %q got a wrong answer", o.RequestID)
		}
		if o.Run == messenger.RunStateNotRun && s.runs[o.RequestID] > 0 {
			t.Errorf("request %q was refused as not run and ran %d times", o.RequestID, s.runs[o.RequestID])
		}
	}
	return byRunState
}

// longPrompt returns a prompt of several cache blocks that are unique to name.
func longPrompt(name string) string { return strings.Repeat(name+" sesame and other labels ", 800) }
