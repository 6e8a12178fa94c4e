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

// newLoader returns a loader before the daemons that balance names.
func newLoader(t *testing.T, balance func() []netip.AddrPort) *loader.Loader {
	t.Helper()
	l, err := loader.New(loader.Config{Clock: clockwork.NewRealClock(), Balance: balance})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l
}

// loader returns a loader before the hosts with these numbers, or all.
func (c *cluster) loader(numbers ...int) *loader.Loader {
	c.t.Helper()
	list := c.callers(numbers...)
	return newLoader(c.t, func() []netip.AddrPort { return list })
}

// prompt returns a streamed prompt of its own text.
func prompt(text string, tokens int) loader.Prompt {
	return loader.Prompt{
		Terms: loader.Terms{Key: teamKey(0)}, Model: model, Text: text, MaxTokens: tokens, Stream: true,
		Versions: []identifier.WeightVersion{version},
	}
}

// payment returns a call that may not be repeated.
func payment(key string) loader.Call {
	return loader.Call{
		Terms: loader.Terms{Key: teamKey(0)}, Service: orders, Method: http.MethodPost, Path: payments,
		Body: []byte(`{"amount":12}`), IdempotencyKey: key,
	}
}

// lookup returns a call that may be repeated.
func lookup(name string) loader.Call {
	return loader.Call{Terms: loader.Terms{Key: teamKey(0)}, Service: orders, Method: http.MethodGet, Path: "/stock/" + name}
}

// answerTokens is the length of the answers under load.
const answerTokens = 40

// load is a running load of streams, whole answers and lookups.
type load struct {
	cancel   context.CancelFunc
	stopping atomic.Bool
	group    sync.WaitGroup
	mu       sync.Mutex
	outcomes []loader.Outcome
}

// kinds is how many kinds of request a load mixes.
const kinds = 3

// startLoad keeps workers sending one request after another until it is stopped.
func startLoad(t *testing.T, l *loader.Loader, workers int) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	run := &load{cancel: cancel}
	t.Cleanup(func() { run.stopping.Store(true); cancel(); run.group.Wait() })
	for w := range workers {
		run.group.Go(func() {
			for i := 0; !run.stopping.Load(); i++ {
				run.add(send(ctx, l, w, i))
			}
		})
	}
	return run
}

// send sends the request i of a worker.
func send(ctx context.Context, l *loader.Loader, worker, i int) loader.Outcome {
	name := fmt.Sprintf("%d-%d", worker, i)
	if (worker+i)%kinds == 0 {
		return l.Call(ctx, lookup(name))
	}
	p := prompt("label of dish "+name, answerTokens)
	p.Stream = (worker+i)%kinds == 1
	return l.Complete(ctx, p)
}

func (run *load) add(o loader.Outcome) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.outcomes = append(run.outcomes, o)
}

// count returns the number of requests that have ended.
func (run *load) count() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return len(run.outcomes)
}

// more waits until n more requests have ended.
func (run *load) more(t *testing.T, n int) {
	t.Helper()
	want := run.count() + n
	within(t, loadLimit, fmt.Sprintf("%d more requests end", n), func() bool { return run.count() >= want })
}

const loadLimit = 40 * time.Second

// stop lets the running requests end and returns the outcomes of all.
func (run *load) stop() []loader.Outcome {
	run.stopping.Store(true)
	run.group.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.outcomes
}

// checkWhole fails unless each request got its whole, right answer.
func checkWhole(t *testing.T, outcomes []loader.Outcome) {
	t.Helper()
	bad := 0
	for _, o := range outcomes {
		if o.Whole && !o.Wrong && o.Status == http.StatusOK {
			continue
		}
		bad++
		if bad <= 5 {
			t.Errorf("request %q: status %d, whole %t, wrong %t, kind %q, run %q, error %v after %v", o.RequestID, o.Status, o.Whole, o.Wrong, o.Kind, o.Run, o.Err, o.Took)
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d requests did not get their whole answer", bad, len(outcomes))
	}
	assert.Assert(t, len(outcomes) > 0)
}

// checkTrue fails if an answer is wrong or a statement of "not run" is not true.
// It returns the number of requests by their run.
func checkTrue(t *testing.T, outcomes []loader.Outcome, s seen) map[messenger.Run]int {
	t.Helper()
	n := map[messenger.Run]int{}
	for _, o := range outcomes {
		n[o.Run]++
		if o.Wrong {
			t.Errorf("request %q got a wrong answer", o.RequestID)
		}
		if o.Run == messenger.RunNot && s.runs[o.RequestID] > 0 {
			t.Errorf("request %q was refused as not run and ran %d times", o.RequestID, s.runs[o.RequestID])
		}
	}
	return n
}

// longText returns a prompt of several cache blocks that no other name shares.
func longText(name string) string { return strings.Repeat(name+" sesame and other labels ", 800) }
