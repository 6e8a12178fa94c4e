package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	requestTimeout = 2500 * time.Millisecond
	// meanRequestPause is the mean pause between two requests of a caller.
	meanRequestPause = 60 * time.Millisecond
	// requestsPerHost is how many requests a caller sends to a host before it picks
	// another one. It does so earlier if a request fails or the host leaves rotation.
	requestsPerHost = 60
	// promptPrefixes is the number of distinct prefixes that prompts share.
	promptPrefixes = 40
)

// caller sends requests one after the other on a keep-alive connection, which it
// uses until the host closes it.
type caller struct {
	cluster   *cluster
	checker   *checker
	rng       *rand.Rand
	number    int
	client    *http.Client
	host      *host
	remaining int
}

func newCaller(cl *cluster, chk *checker, rng *rand.Rand, number int) *caller {
	return &caller{cluster: cl, checker: chk, rng: rng, number: number, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; sleep(ctx, time.Duration(c.rng.Float64()*2*float64(meanRequestPause))); n++ {
		if c.remaining == 0 || !c.host.inRotation() {
			c.client.CloseIdleConnections()
			c.host, c.remaining = c.cluster.pickHost(c.rng), requestsPerHost
		}
		c.remaining--
		c.sendRequest(fmt.Sprintf("%d-%d", c.number, n))
	}
}

// sendRequest sends one request and passes its response to the checker.
func (c *caller) sendRequest(id string) {
	kind := []string{"pay", "look", "long", "short"}[c.rng.IntN(4)]
	key, team := c.cluster.pickKey(c.rng)
	path := "/" + kind + "/"
	body := ""
	if kind != "look" {
		body = fmt.Sprintf("body of %s %0*d", id, c.rng.IntN(9000), 0)
	}
	// The context is independent of the run's, so that the end of each attempt is recorded.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	prompt := c.prompt(kind)
	fatal := kind == "long" && c.addFatalPart(prompt)
	req := imitator.NewRequest(c.host.callerAddr, id, path, key, body, requestTimeout, prompt).WithContext(ctx)
	c.checker.startAttempt(id, &attempt{kind: kind, method: req.Method, uri: path + id, body: body, key: key, team: team, host: c.host.name, fatal: fatal})
	c.checker.endAttempt(id, c.do(req))
}

func (c *caller) do(req *http.Request) response {
	// Without GetBody, the client can't replay the body and doesn't retry the request.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.remaining = 0
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // Already read, or its connection is discarded.
	raw, err := io.ReadAll(resp.Body)
	got := response{status: resp.StatusCode, body: string(raw), err: err}
	got.id, got.sealed = imitator.ReadSeal(resp.Header)
	if err != nil {
		c.remaining = 0
	}
	return got
}

// prompt returns the prompt of a long or short request, and nil for plain requests.
func (c *caller) prompt(kind string) *descriptor.Prompt {
	prefix := c.rng.IntN(promptPrefixes)
	switch kind {
	case "long":
		return &descriptor.Prompt{Model: imitator.Model, Tokens: 9000, MaxOutput: 10, Parts: []descriptor.Part{
			{ID: fmt.Sprintf("%08x", prefix%4), Tokens: 2500}, {ID: fmt.Sprintf("%08x", 100+prefix), Tokens: 5000}, {ID: "ff", Tokens: 1500},
		}}
	case "short":
		return &descriptor.Prompt{Model: imitator.Model, Tokens: 800, MaxOutput: 60, Parts: []descriptor.Part{
			{ID: fmt.Sprintf("%08x", 1000+prefix), Tokens: 600}, {ID: "ff", Tokens: 200},
		}}
	}
	return nil
}
