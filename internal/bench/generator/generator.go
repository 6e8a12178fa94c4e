// Package generator draws the arrivals of a scenario in advance, so that the same seed
// gives the same requests regardless of how the system responds.
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

// KindInvalid reports a Config without arrivals, families or teams.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Arrival is one request of a caller.
type Arrival struct {
	// At is the time since the start of the measured period; it is negative during the
	// warm-up.
	At    time.Duration
	Team  int
	Class identifier.Class
	// Family is the prompt's family, or -1 for a call to the plain service.
	Family int
	// Question is the part of the prompt after the family's shared prefix.
	Question  string
	MaxTokens int
	Stream    bool
	// IdempotencyKey is the idempotency key of a non-repeatable call, or empty.
	IdempotencyKey string
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
	load   planner.Load
	seed   uint64
	rng    *rand.Rand
	visits visitHeap
	// familyTeams holds the team of each family, cumulativeTeamShares the cumulative load
	// of the teams, and meanGaps the mean gap between visits of each family, in prompts.
	familyTeams          []int
	cumulativeTeamShares []float64
	meanGaps             []float64
	promptCount          int
	paymentCount         int
	// familyCount includes the families that surges added, of one prompt each.
	familyCount int
}

// The independent random streams of one seed.
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
	g.cumulativeTeamShares = cumulativeZipf(cfg.Load.Teams.Count, cfg.Load.Teams.Skew)
	g.meanGaps = meanGaps(cfg.Load.Families, g.rng.Perm(cfg.Load.Families.Count))
	g.familyCount = cfg.Load.Families.Count
	g.familyTeams = make([]int, cfg.Load.Families.Count)
	for i := range g.familyTeams {
		g.familyTeams[i] = cumulativeIndex(g.cumulativeTeamShares, g.rng.Float64())
		g.visits = append(g.visits, visit{family: i, due: g.drawFirstVisit(i)})
	}
	heap.Init(&g.visits)
	return g, nil
}

// cumulativeZipf returns the cumulative shares of n ranks under a Zipf distribution.
func cumulativeZipf(n int, skew float64) []float64 {
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

// cumulativeIndex returns the index of the first cumulative share above x.
func cumulativeIndex(sums []float64, x float64) int {
	i, found := slices.BinarySearch(sums, x)
	if found {
		i++
	}
	return min(i, len(sums)-1)
}

// meanGaps returns the mean gap between visits of each family, in prompts. The gaps are
// scaled so that the visits of all families add up to one for each prompt.
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

// drawFirstVisit draws the time of a family's first visit as if its visits had begun long
// before, so that the load begins in a steady state.
func (g *Generator) drawFirstVisit(family int) float64 {
	return g.rng.Float64() * g.drawGap(family)
}

// drawGap draws the number of prompts until the next visit of a family.
func (g *Generator) drawGap(family int) float64 {
	regularity := g.load.Families.Regularity
	return g.meanGaps[family] * (regularity + (1-regularity)*g.rng.ExpFloat64())
}

// Arrivals draws all requests and returns them in the order of their times.
func (g *Generator) Arrivals() []Arrival {
	var list []Arrival
	end := g.load.Duration.Duration
	for at := -g.load.WarmUp.Duration; ; {
		rate, until := g.rateAt(at)
		next := at + g.drawInterarrivalTime(rate)
		if next >= until && until < end {
			at = until
			continue
		}
		if next >= end {
			break
		}
		at = next
		list = append(list, g.drawArrival(at))
	}
	for _, surge := range g.load.Surges {
		list = append(list, g.drawSurge(surge)...)
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return list
}

// drawInterarrivalTime draws the time to the next arrival of a Poisson process with a
// rate per second.
func (g *Generator) drawInterarrivalTime(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// rateAt returns the request rate at a time and the time at which it changes.
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

// drawArrival draws a request that arrives at a time.
func (g *Generator) drawArrival(at time.Duration) Arrival {
	a := Arrival{At: at, Class: g.drawClass()}
	if g.rng.Float64() < g.load.PlainShare {
		a.Family = -1
		a.Team = cumulativeIndex(g.cumulativeTeamShares, g.rng.Float64())
		if g.rng.Float64() < g.load.NonRepeatableShare {
			g.paymentCount++
			a.IdempotencyKey = fmt.Sprintf("%s%d-%06d", IdempotencyKeyPrefix, g.seed, g.paymentCount)
		}
		return a
	}
	next := &g.visits[0]
	a.Family = next.family
	g.promptCount++
	next.due = max(next.due, float64(g.promptCount)) + g.drawGap(next.family)
	heap.Fix(&g.visits, 0)
	a.Team = g.familyTeams[a.Family]
	g.drawQuestion(&a)
	return a
}

// IdempotencyKeyPrefix is the prefix of the idempotency keys of non-repeatable calls.
const IdempotencyKeyPrefix = "pay-"

// drawQuestion draws the fields of a that differ between prompts of a family.
func (g *Generator) drawQuestion(a *Arrival) {
	f := g.load.Families
	a.Question = randomText(g.rng, f.QuestionTokens*hasher.BytesPerToken)
	a.MaxTokens = max(1, f.OutputTokens/2) + g.rng.IntN(f.OutputTokens+1)
	a.Stream = g.rng.Float64() >= g.load.UnstreamedShare
}

// drawClass draws a class by the shares of the load.
func (g *Generator) drawClass() identifier.Class {
	x := g.rng.Float64()
	for _, class := range identifier.Classes() {
		x -= g.load.Classes[class]
		if x < 0 {
			return class
		}
	}
	return identifier.ClassStandard
}

// drawSurge draws the requests of one surge. Their prompts belong to families of the
// surge's team or, with UniquePrefixes, have unique prefixes.
func (g *Generator) drawSurge(s planner.Surge) []Arrival {
	var teamFamilies []int
	for family, team := range g.familyTeams {
		if team == s.Team-1 {
			teamFamilies = append(teamFamilies, family)
		}
	}
	var list []Arrival
	if len(teamFamilies) == 0 && !s.UniquePrefixes {
		return nil
	}
	for at := s.At.Duration + g.drawInterarrivalTime(s.RequestsPerSecond); at < s.Until.Duration; at += g.drawInterarrivalTime(s.RequestsPerSecond) {
		a := Arrival{At: at, Class: s.Class, Team: s.Team - 1, Family: g.familyCount}
		if s.UniquePrefixes {
			g.familyCount++
		} else {
			a.Family = teamFamilies[g.rng.IntN(len(teamFamilies))]
		}
		g.drawQuestion(&a)
		list = append(list, a)
	}
	return list
}

// FamilyCount returns the number of families, including those that the surges drawn so far
// added.
func (g *Generator) FamilyCount() int { return g.familyCount }

// Team returns the index of the team that a family of the load belongs to.
func (g *Generator) Team(family int) int { return g.familyTeams[family] }

// SharedPrefix returns the shared prefix of a family's prompts.
func (g *Generator) SharedPrefix(family int) string {
	rng := rand.New(rand.NewPCG(g.seed^uint64(family)<<20, streamTexts))
	return randomText(rng, g.load.Families.SharedBlocks*hasher.BlockBytes)
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
