// Package generator draws the arrivals of a scenario in advance, so that the
// same seed gives the same requests whatever the system does.
package generator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports a Config without load.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Arrival is one request of a caller.
type Arrival struct {
	// At is the time since the beginning of the measured time; below 0 in the warm-up.
	At    time.Duration
	Team  int
	Class identifier.Class
	// Family is the prompt's family, or -1 for a call to the plain service.
	Family int
	// Question is what follows the family's shared beginning.
	Question  string
	MaxTokens int
	Stream    bool
	// Key is the idempotency key of a call that may not be repeated.
	Key string
}

// Plain reports whether a is a call to the plain service.
func (a Arrival) Plain() bool { return a.Family < 0 }

// Config configures a Generator.
type Config struct {
	Load planner.Load
	Seed uint64
}

// Generator draws arrivals.
type Generator struct {
	load planner.Load
	seed uint64
	rng  *rand.Rand
	due  schedule
	// teams holds the team of each family, teamShares the load of each team
	// summed up to it, and gaps the mean gap of each family in prompts.
	teams      []int
	teamShares []float64
	gaps       []float64
	prompts    int
	payments   int
	// families counts the beginnings that were given out, with fresh ones.
	families int
}

// The streams of random numbers that one seed gives.
const (
	streamArrivals = 1 + iota
	streamTexts
)

// New returns a Generator, or an Error of KindInvalid.
func New(cfg Config) (*Generator, error) {
	if len(cfg.Load.Arrivals) == 0 || cfg.Load.Families.Count < 1 || cfg.Load.Teams.Count < 1 {
		err := errors.New("the load has no arrivals, families or teams")
		return nil, &Error{failer.Detail[Kind]{Op: "new generator", Kind: KindInvalid, Err: err}}
	}
	g := &Generator{load: cfg.Load, seed: cfg.Seed, rng: rand.New(rand.NewPCG(cfg.Seed, streamArrivals))}
	g.teamShares = zipf(cfg.Load.Teams.Count, cfg.Load.Teams.Skew)
	g.gaps = meanGaps(cfg.Load.Families, g.rng.Perm(cfg.Load.Families.Count))
	g.families = cfg.Load.Families.Count
	g.teams = make([]int, cfg.Load.Families.Count)
	for i := range g.teams {
		g.teams[i] = pick(g.teamShares, g.rng.Float64())
		g.due = append(g.due, visit{family: i, at: g.firstVisit(i)})
	}
	heap.Init(&g.due)
	return g, nil
}

// zipf returns the shares of n ranks, each summed up with those before it.
func zipf(n int, skew float64) []float64 {
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	for i := range sums {
		sums[i] /= total
	}
	return sums
}

// pick returns the first position whose sum is above x.
func pick(sums []float64, x float64) int {
	i, found := slices.BinarySearch(sums, x)
	if found {
		i++
	}
	return min(i, len(sums)-1)
}

// meanGaps returns the mean gap of each family in prompts. The families' rates
// of return sum up to one visit for each prompt.
func meanGaps(f planner.Families, ranks []int) []float64 {
	gaps := make([]float64, len(ranks))
	rate := 0.0
	for family, rank := range ranks {
		gaps[family] = math.Pow(float64(rank+1), f.Skew)
		rate += 1 / gaps[family]
	}
	for family := range gaps {
		gaps[family] *= rate
	}
	return gaps
}

// firstVisit draws the time of a family's first visit, as if it had returned for long.
func (g *Generator) firstVisit(family int) float64 {
	return g.rng.Float64() * g.gap(family)
}

// gap draws the number of prompts after which a family returns.
func (g *Generator) gap(family int) float64 {
	regular := g.load.Families.Regularity
	return g.gaps[family] * (regular + (1-regular)*g.rng.ExpFloat64())
}

// Arrivals draws all requests in the order of their times.
func (g *Generator) Arrivals() []Arrival {
	var list []Arrival
	end := g.load.Duration.Duration
	for at := -g.load.WarmUp.Duration; ; {
		rate, until := g.rateAt(at)
		next := at + g.wait(rate)
		if next >= until && until < end {
			at = until
			continue
		}
		if next >= end {
			break
		}
		at = next
		list = append(list, g.draw(at))
	}
	for _, surge := range g.load.Surges {
		list = append(list, g.surge(surge)...)
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return list
}

// wait draws the time to the next arrival of a Poisson process.
func (g *Generator) wait(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// rateAt returns the rate in force at a time and the time at which it ends.
func (g *Generator) rateAt(at time.Duration) (float64, time.Duration) {
	rate := g.load.Arrivals[0].RequestsPerSecond
	for _, r := range g.load.Arrivals[1:] {
		if r.At.Duration > at {
			return rate, r.At.Duration
		}
		rate = r.RequestsPerSecond
	}
	return rate, g.load.Duration.Duration
}

// draw draws one request.
func (g *Generator) draw(at time.Duration) Arrival {
	a := Arrival{At: at, Class: g.class()}
	if g.rng.Float64() < g.load.PlainShare {
		a.Family = -1
		a.Team = pick(g.teamShares, g.rng.Float64())
		if g.rng.Float64() < g.load.NonRepeatableShare {
			g.payments++
			a.Key = fmt.Sprintf("%s%d-%06d", KeyPrefix, g.seed, g.payments)
		}
		return a
	}
	next := &g.due[0]
	a.Family = next.family
	g.prompts++
	next.at = max(next.at, float64(g.prompts)) + g.gap(next.family)
	heap.Fix(&g.due, 0)
	a.Team = g.teams[a.Family]
	g.question(&a)
	return a
}

// KeyPrefix begins the idempotency keys of calls that may not be repeated.
const KeyPrefix = "pay-"

// question draws what differs between two prompts of a family.
func (g *Generator) question(a *Arrival) {
	f := g.load.Families
	a.Question = text(g.rng, f.QuestionTokens*hasher.BytesPerToken)
	a.MaxTokens = max(1, f.OutputTokens/2) + g.rng.IntN(f.OutputTokens+1)
	a.Stream = g.rng.Float64() >= g.load.WholeShare
}

func (g *Generator) class() identifier.Class {
	x := g.rng.Float64()
	for _, class := range identifier.Classes() {
		x -= g.load.Classes[class]
		if x < 0 {
			return class
		}
	}
	return identifier.ClassStandard
}

// surge draws the requests of one surge, whose prompts belong to families of its
// team or have fresh beginnings.
func (g *Generator) surge(s planner.Surge) []Arrival {
	var own []int
	for family, team := range g.teams {
		if team == s.Team-1 {
			own = append(own, family)
		}
	}
	var list []Arrival
	if len(own) == 0 && !s.Fresh {
		return nil
	}
	for at := s.At.Duration + g.wait(s.RequestsPerSecond); at < s.Until.Duration; at += g.wait(s.RequestsPerSecond) {
		a := Arrival{At: at, Class: s.Class, Team: s.Team - 1, Family: g.families}
		if s.Fresh {
			g.families++
		} else {
			a.Family = own[g.rng.IntN(len(own))]
		}
		g.question(&a)
		list = append(list, a)
	}
	return list
}

// Families returns the number of beginnings, with the fresh ones of all arrivals drawn.
func (g *Generator) Families() int { return g.families }

// Team returns the team of a family.
func (g *Generator) Team(family int) int { return g.teams[family] }

// Beginning returns the shared beginning of a family's prompts.
func (g *Generator) Beginning(family int) string {
	rng := rand.New(rand.NewPCG(g.seed^uint64(family)<<20, streamTexts))
	return text(rng, g.load.Families.SharedBlocks*hasher.BlockBytes)
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
