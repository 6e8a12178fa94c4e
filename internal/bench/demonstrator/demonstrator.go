// Package demonstrator runs a short show of the whole system on stand-ins: it
// sends prompts that return after eviction, a payment with a duplicate, and
// takes a data centre out and in.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/schollz/progressbar/v3"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindStart reports that the demo could not be set up.
	KindStart Kind = "start"
	// KindCheck reports that a check failed.
	KindCheck Kind = "check"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures a Demonstrator.
type Config struct {
	Clock clockwork.Clock
	// Out receives the table, Progress the progress bar.
	Out      io.Writer
	Progress io.Writer
	Logger   hclog.Logger
	Seed     uint64
	// Keep leaves the system running until the context ends.
	Keep bool
}

// Demonstrator runs the demo.
type Demonstrator struct {
	cfg      Config
	assembly *assembler.Assembly
	loader   *loader.Loader
	rng      *rand.Rand
	families []string
	bar      *progressbar.ProgressBar
	// seen are the families that were sent before.
	seen map[int]bool

	group sync.WaitGroup
	mu    sync.Mutex
	tally tally
}

// New returns a Demonstrator.
func New(cfg Config) (*Demonstrator, error) {
	if cfg.Clock == nil || cfg.Out == nil {
		return nil, newError("new demonstrator", KindStart, errors.New("clock and output are needed"))
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	d := &Demonstrator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), tally: newTally(), seen: map[int]bool{}}
	d.families = newFamilies(d.rng)
	return d, nil
}

// Sizes of the demo's load.
const (
	familyCount = 150
	// sharedBlocks is the length of a family's shared prefix, in blocks.
	sharedBlocks = 8
	blockChars   = 4096
	// charsPerToken is the number of characters that count as one token.
	charsPerToken = 4
	// questionChars is the length of what differs between two prompts.
	questionChars = 1200
	answerTokens  = 24
	// arrivalsPerSecond is the rate of requests.
	arrivalsPerSecond = 40
	// Durations of the parts.
	steadyTime = 12 * time.Second
	outTime    = 7 * time.Second
	inTime     = 6 * time.Second
	// forgetTime is within which a data centre that was taken out must stop to
	// receive new work.
	forgetTime = 3 * time.Second
	// plainShare is one in how many requests goes to the plain service.
	plainShare = 5
	// wholeShare is one in how many prompts is answered without streaming.
	wholeShare = 4
	// progressInterval is the time between two lines of progress.
	progressInterval = time.Second
)

func newFamilies(rng *rand.Rand) []string {
	families := make([]string, familyCount)
	for i := range families {
		families[i] = text(rng, sharedBlocks*blockChars)
	}
	return families
}

// text returns n random letters and spaces.
func text(rng *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz      "
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rng.IntN(len(letters))]
	}
	return string(b)
}

// Run runs the demo and returns an Error of KindCheck if any check failed.
func (d *Demonstrator) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.assembly.Close()
	defer d.loader.Close()
	d.bar = progressbar.NewOptions(d.total(),
		progressbar.OptionSetWriter(d.cfg.Progress), progressbar.OptionSetDescription("requests"),
		progressbar.OptionShowCount(), progressbar.OptionThrottle(progressInterval))
	d.arrivals(ctx, steadyTime)
	d.pay(ctx)
	if err := d.departure(ctx); err != nil {
		return err
	}
	d.group.Wait()
	_ = d.bar.Finish()
	failed := d.report()
	if d.cfg.Keep {
		d.printAccess()
		<-ctx.Done()
	}
	if failed > 0 {
		return newError("demo", KindCheck, errors.Newf("%d checks failed", failed))
	}
	return nil
}

func (d *Demonstrator) total() int {
	return int((steadyTime + outTime + inTime).Seconds() * arrivalsPerSecond)
}

// start builds the system, applies the configuration and warms the targets.
func (d *Demonstrator) start(ctx context.Context) error {
	a, err := assembler.New(assembler.Config{Plan: plan(), Clock: d.cfg.Clock, Logger: d.cfg.Logger, Seed: d.cfg.Seed})
	if err != nil {
		return newError("start demo", KindStart, err)
	}
	d.assembly = a
	d.loader, err = loader.New(loader.Config{Clock: d.cfg.Clock, Balance: d.balance})
	if err != nil {
		return newError("start demo", KindStart, err)
	}
	if err := a.Apply(ctx, a.Fleet); err != nil {
		return newError("apply configuration", KindStart, err)
	}
	if err := a.StartDaemons(ctx); err != nil {
		return newError("start daemons", KindStart, err)
	}
	return d.warm(ctx)
}

func (d *Demonstrator) balance() []netip.AddrPort { return d.assembly.Balance() }

// warmTimeout bounds the warming of all targets.
const warmTimeout = 15 * time.Second

// warm sends light load until no target is cold.
func (d *Demonstrator) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	for d.assembly.ColdTargets() > 0 {
		if ctx.Err() != nil {
			return newError("warm targets", KindStart, errors.Newf("%d targets are still cold", d.assembly.ColdTargets()))
		}
		var group sync.WaitGroup
		for range engineCount {
			prompt := d.prompt(text(d.rng, questionChars), 2)
			group.Go(func() { d.loader.Complete(ctx, prompt) })
			group.Go(func() { d.loader.Call(ctx, d.lookup("warm")) })
		}
		group.Wait()
	}
	return nil
}

func (d *Demonstrator) prompt(words string, tokens int) loader.Prompt {
	return loader.Prompt{
		Terms: loader.Terms{Key: teamKey(0)}, Model: model, Text: words, MaxTokens: tokens,
		Stream: true, Versions: []identifier.WeightVersion{version},
	}
}

func (d *Demonstrator) lookup(name string) loader.Call {
	return loader.Call{Terms: loader.Terms{Key: teamKey(0)}, Service: plainService, Method: "GET", Path: "/stock/" + name}
}

// arrivals sends requests at the demo's rate for a time.
func (d *Demonstrator) arrivals(ctx context.Context, duration time.Duration) {
	ticker := d.cfg.Clock.NewTicker(time.Second / arrivalsPerSecond)
	defer ticker.Stop()
	n := int(duration.Seconds() * arrivalsPerSecond)
	for i := range n {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		d.send(ctx, i)
	}
}

// send starts one request of the mix.
func (d *Demonstrator) send(ctx context.Context, i int) {
	team := d.rng.IntN(teamCount)
	if i%plainShare == 0 {
		call := d.lookup(fmt.Sprint(i))
		call.Key = teamKey(team)
		d.group.Go(func() {
			o := d.loader.Call(ctx, call)
			d.count(identifier.ClassStandard, o, false)
		})
		return
	}
	family := d.rng.IntN(familyCount)
	prompt := d.prompt(d.families[family]+text(d.rng, questionChars), answerTokens)
	// A family belongs to one team, so that its cache returns to it.
	prompt.Key = teamKey(family % teamCount)
	d.countNew(family)
	prompt.Class = identifier.ClassInteractive
	prompt.Stream = i%wholeShare != 0
	d.group.Go(func() {
		o := d.loader.Complete(ctx, prompt)
		d.count(identifier.ClassInteractive, o, prompt.Stream)
	})
}

// countNew counts the tokens of a prompt that no prompt had before.
func (d *Demonstrator) countNew(family int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.newTokens += questionChars / charsPerToken
	if !d.seen[family] {
		d.seen[family] = true
		d.tally.newTokens += sharedBlocks * blockChars / charsPerToken
	}
}

func (d *Demonstrator) count(class identifier.Class, o loader.Outcome, streamed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.add(class, o, streamed)
	_ = d.bar.Add(1)
}

// pay sends a payment and its duplicate through another daemon.
func (d *Demonstrator) pay(ctx context.Context) {
	payment := loader.Call{
		Terms: loader.Terms{Key: teamKey(0)}, Service: plainService, Method: "POST",
		Path: "/payments", Body: []byte(`{"amount":12}`), IdempotencyKey: "demo-payment-1",
	}
	d.tally.payment = d.loader.Call(ctx, payment)
	d.tally.duplicate = d.loader.Call(ctx, payment)
}

// departure takes a data centre out and in again under load.
func (d *Demonstrator) departure(ctx context.Context) error {
	gone := d.assembly.Fleet.DataCentres
	name := identifier.DataCentre("coban")
	if _, ok := gone[name]; !ok {
		return newError("departure", KindStart, errors.Newf("data centre %q is not in the plan", name))
	}
	if err := d.assembly.SetDataCentre(ctx, name, specifier.StateOut); err != nil {
		return newError("take data centre out", KindStart, err)
	}
	d.arrivals(ctx, forgetTime)
	d.assembly.Mark(name)
	d.arrivals(ctx, outTime-forgetTime)
	d.tally.lateStarts = d.assembly.StartedSinceMark(name)
	if err := d.assembly.SetDataCentre(ctx, name, specifier.StateIn); err != nil {
		return newError("take data centre in", KindStart, err)
	}
	d.arrivals(ctx, inTime)
	return nil
}
