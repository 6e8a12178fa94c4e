// Package demonstrator runs a short demo of the whole system with stand-ins for engines,
// stores and the platform. It sends prompts whose prefixes return after their eviction,
// sends a payment twice, and takes a data centre out of service and back.
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
	// Out receives the tables, Progress the progress bar.
	Out      io.Writer
	Progress io.Writer
	Logger   hclog.Logger
	Seed     uint64
	// Keep keeps the system running after the demo until the context ends.
	Keep bool
}

// Demonstrator runs the demo.
type Demonstrator struct {
	cfg            Config
	assembly       *assembler.Assembly
	loader         *loader.Loader
	rng            *rand.Rand
	familyPrefixes []string
	bar            *progressbar.ProgressBar
	// sentFamilies holds the families of which a prompt was sent.
	sentFamilies map[int]bool

	group sync.WaitGroup
	mu    sync.Mutex
	stats requestStats
}

// New returns a Demonstrator.
func New(cfg Config) (*Demonstrator, error) {
	if cfg.Clock == nil || cfg.Out == nil {
		return nil, newError("new demonstrator", KindStart, errors.New("clock and output are needed"))
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	d := &Demonstrator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), stats: newRequestStats(), sentFamilies: map[int]bool{}}
	d.familyPrefixes = randomPrefixes(d.rng)
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
	// questionChars is the length of the part that differs between prompts of a family.
	questionChars     = 1200
	answerTokens      = 24
	arrivalsPerSecond = 40
	// Durations of the phases: before, during and after the evacuation.
	steadyDuration = 12 * time.Second
	outDuration    = 7 * time.Second
	inDuration     = 6 * time.Second
	// maxEvacuationTime is the time after which a data centre that was taken out of
	// service may receive no new requests.
	maxEvacuationTime = 3 * time.Second
	// One in plainEvery requests is for the plain service.
	plainEvery = 5
	// One in unstreamedEvery prompts asks for a response without streaming.
	unstreamedEvery = 4
	// progressInterval is the time between two updates of the progress bar.
	progressInterval = time.Second
)

// randomPrefixes returns the shared prefix of each family.
func randomPrefixes(rng *rand.Rand) []string {
	prefixes := make([]string, familyCount)
	for i := range prefixes {
		prefixes[i] = randomText(rng, sharedBlocks*blockChars)
	}
	return prefixes
}

// randomText returns n random letters and spaces.
func randomText(rng *rand.Rand, n int) string {
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
	d.bar = progressbar.NewOptions(d.totalRequests(),
		progressbar.OptionSetWriter(d.cfg.Progress), progressbar.OptionSetDescription("requests"),
		progressbar.OptionShowCount(), progressbar.OptionThrottle(progressInterval))
	d.sendArrivals(ctx, steadyDuration)
	d.sendDuplicatePayment(ctx)
	if err := d.evacuate(ctx); err != nil {
		return err
	}
	d.group.Wait()
	_ = d.bar.Finish()
	failed := d.report()
	if d.cfg.Keep {
		d.printExampleCommands()
		<-ctx.Done()
	}
	if failed > 0 {
		return newError("demo", KindCheck, errors.Newf("%d checks failed", failed))
	}
	return nil
}

func (d *Demonstrator) totalRequests() int {
	return int((steadyDuration + outDuration + inDuration).Seconds() * arrivalsPerSecond)
}

// start starts the system, applies the configuration and warms up the targets.
func (d *Demonstrator) start(ctx context.Context) error {
	a, err := assembler.New(assembler.Config{Plan: plan(), Clock: d.cfg.Clock, Logger: d.cfg.Logger, Seed: d.cfg.Seed})
	if err != nil {
		return newError("start demo", KindStart, err)
	}
	d.assembly = a
	d.loader, err = loader.New(loader.Config{Clock: d.cfg.Clock, Daemons: d.readyDaemons})
	if err != nil {
		return newError("start demo", KindStart, err)
	}
	if err := a.Apply(ctx, a.Fleet); err != nil {
		return newError("apply configuration", KindStart, err)
	}
	if err := a.StartDaemons(ctx); err != nil {
		return newError("start daemons", KindStart, err)
	}
	return d.warmTargets(ctx)
}

func (d *Demonstrator) readyDaemons() []netip.AddrPort { return d.assembly.ReadyAddresses() }

// warmTimeout bounds the warm-up of all targets.
const warmTimeout = 15 * time.Second

// warmTargets sends a light load until no target is cold.
func (d *Demonstrator) warmTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	for d.assembly.ColdTargets() > 0 {
		if ctx.Err() != nil {
			return newError("warm targets", KindStart, errors.Newf("%d targets are still cold", d.assembly.ColdTargets()))
		}
		var group sync.WaitGroup
		for range engineCount {
			prompt := d.newPrompt(randomText(d.rng, questionChars), 2)
			group.Go(func() { d.loader.Complete(ctx, prompt) })
			group.Go(func() { d.loader.Call(ctx, d.newLookup("warm")) })
		}
		group.Wait()
	}
	return nil
}

func (d *Demonstrator) newPrompt(text string, tokens int) loader.Prompt {
	return loader.Prompt{
		RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Model: model, Text: text, MaxTokens: tokens,
		Stream: true, Versions: []identifier.WeightVersion{version},
	}
}

func (d *Demonstrator) newLookup(name string) loader.Call {
	return loader.Call{RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Service: plainService, Method: "GET", Path: "/stock/" + name}
}

// sendArrivals sends requests at a constant rate for a duration.
func (d *Demonstrator) sendArrivals(ctx context.Context, duration time.Duration) {
	ticker := d.cfg.Clock.NewTicker(time.Second / arrivalsPerSecond)
	defer ticker.Stop()
	n := int(duration.Seconds() * arrivalsPerSecond)
	for i := range n {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		d.sendRequest(ctx, i)
	}
}

// sendRequest sends request i in the background and records its outcome.
func (d *Demonstrator) sendRequest(ctx context.Context, i int) {
	team := d.rng.IntN(teamCount)
	if i%plainEvery == 0 {
		call := d.newLookup(fmt.Sprint(i))
		call.Key = teamKey(team)
		d.group.Go(func() {
			o := d.loader.Call(ctx, call)
			d.recordOutcome(identifier.ClassStandard, o, false)
		})
		return
	}
	family := d.rng.IntN(familyCount)
	prompt := d.newPrompt(d.familyPrefixes[family]+randomText(d.rng, questionChars), answerTokens)
	// Each family belongs to one team, so that its prompts find the cached prefix.
	prompt.Key = teamKey(family % teamCount)
	d.countNewTokens(family)
	prompt.Class = identifier.ClassInteractive
	prompt.Stream = i%unstreamedEvery != 0
	d.group.Go(func() {
		o := d.loader.Complete(ctx, prompt)
		d.recordOutcome(identifier.ClassInteractive, o, prompt.Stream)
	})
}

// countNewTokens counts the tokens of a family's next prompt that no earlier prompt had:
// the question and, the first time, the shared prefix.
func (d *Demonstrator) countNewTokens(family int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.newTokens += questionChars / charsPerToken
	if !d.sentFamilies[family] {
		d.sentFamilies[family] = true
		d.stats.newTokens += sharedBlocks * blockChars / charsPerToken
	}
}

func (d *Demonstrator) recordOutcome(class identifier.Class, o loader.Outcome, streamed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.add(class, o, streamed)
	_ = d.bar.Add(1)
}

// sendDuplicatePayment sends a payment and, through another daemon, its duplicate.
func (d *Demonstrator) sendDuplicatePayment(ctx context.Context) {
	payment := loader.Call{
		RequestOptions: loader.RequestOptions{Key: teamKey(0)}, Service: plainService, Method: "POST",
		Path: "/payments", Body: []byte(`{"amount":12}`), IdempotencyKey: "demo-payment-1",
	}
	d.stats.payment = d.loader.Call(ctx, payment)
	d.stats.duplicate = d.loader.Call(ctx, payment)
}

// evacuate takes a data centre out of service and back under load.
func (d *Demonstrator) evacuate(ctx context.Context) error {
	dataCentres := d.assembly.Fleet.DataCentres
	name := identifier.DataCentre("coban")
	if _, ok := dataCentres[name]; !ok {
		return newError("take data centre out", KindStart, errors.Newf("data centre %q is not in the plan", name))
	}
	if err := d.assembly.SetDataCentreState(ctx, name, specifier.StateOut); err != nil {
		return newError("take data centre out", KindStart, err)
	}
	d.sendArrivals(ctx, maxEvacuationTime)
	d.assembly.Mark(name)
	d.sendArrivals(ctx, outDuration-maxEvacuationTime)
	d.stats.startsAfterOut = d.assembly.StartedSinceMark(name)
	if err := d.assembly.SetDataCentreState(ctx, name, specifier.StateIn); err != nil {
		return newError("take data centre in", KindStart, err)
	}
	d.sendArrivals(ctx, inDuration)
	return nil
}
