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
	// askDeadline is how long callers wait, and askPause about their pause.
	askDeadline = 2500 * time.Millisecond
	askPause    = 60 * time.Millisecond
	// stayFor is for how many requests a caller stays with a host, as long as it answers.
	stayFor = 60
	// Subjects are what prompts share.
	subjects = 40
)

// caller asks one request after the other, on a connection that it keeps until
// the host closes it.
type caller struct {
	world  *world
	judge  *judge
	rng    *rand.Rand
	number int
	client *http.Client
	host   *host
	left   int
}

func newCaller(w *world, j *judge, rng *rand.Rand, number int) *caller {
	return &caller{world: w, judge: j, rng: rng, number: number, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; sleep(ctx, time.Duration(c.rng.Float64()*2*float64(askPause))); n++ {
		if c.left == 0 || !c.host.inRotation() {
			c.client.CloseIdleConnections()
			c.host, c.left = c.world.pickHost(c.rng), stayFor
		}
		c.left--
		c.ask(fmt.Sprintf("%d-%d", c.number, n))
	}
}

// ask sends one request and has the answer judged.
func (c *caller) ask(id string) {
	kind := []string{"pay", "look", "long", "short"}[c.rng.IntN(4)]
	key, team := c.world.pickKey(c.rng)
	path := "/" + kind + "/"
	body := ""
	if kind != "look" {
		body = fmt.Sprintf("body of %s %0*d", id, c.rng.IntN(9000), 0)
	}
	// The attempt isn't bound to the run's context, so that its end is always seen.
	ctx, cancel := context.WithTimeout(context.Background(), askDeadline)
	defer cancel()
	req := imitator.Ask(c.host.callers, id, path, key, body, askDeadline, c.prompt(kind)).WithContext(ctx)
	c.judge.ask(id, &asked{kind: kind, method: req.Method, uri: path + id, body: body, key: key, team: team, host: c.host.name})
	c.judge.end(id, c.do(req))
}

func (c *caller) do(req *http.Request) reply {
	// A body that can't be read again keeps the client from repeating the request.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.left = 0
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // It has been read, or its connection is given up.
	raw, err := io.ReadAll(resp.Body)
	got := reply{status: resp.StatusCode, body: string(raw), err: err}
	got.id, got.sealed = imitator.Sealed(resp.Header)
	if err != nil {
		c.left = 0
	}
	return got
}

// prompt returns nil for plain requests.
func (c *caller) prompt(kind string) *descriptor.Prompt {
	subject := c.rng.IntN(subjects)
	switch kind {
	case "long":
		return &descriptor.Prompt{Model: imitator.Model, Tokens: 9000, MaxOutput: 10, Parts: []descriptor.Part{
			{ID: fmt.Sprintf("%08x", subject%4), Tokens: 2500}, {ID: fmt.Sprintf("%08x", 100+subject), Tokens: 5000}, {ID: "ff", Tokens: 1500},
		}}
	case "short":
		return &descriptor.Prompt{Model: imitator.Model, Tokens: 800, MaxOutput: 60, Parts: []descriptor.Part{
			{ID: fmt.Sprintf("%08x", 1000+subject), Tokens: 600}, {ID: "ff", Tokens: 200},
		}}
	}
	return nil
}
