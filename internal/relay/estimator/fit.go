package estimator

import (
	"math"
	"time"
)

const (
	// followHalfLife is the time in which speeds follow a change half-way.
	followHalfLife = 150 * time.Millisecond
	// teamHalfLife is the same for the factors of teams. It is longer, so that a change of speed isn't
	// attributed to the teams that are active.
	teamHalfLife = 5 * time.Second
	// relativeShare is the weight of one answer in the relative speed of a target.
	relativeShare = 0.08
	// teamMeanShare is the weight of one answer in the mean of the teams' factors.
	teamMeanShare = 0.05
	// memoryHalfLife is the time in which past answers lose half of their weight.
	memoryHalfLife = 6 * time.Second
	// maxStepShare is the largest share of the difference that one answer changes a speed by.
	maxStepShare = 0.35
	// maxStep limits the difference, as a share of the expectation. It doubles with each further answer in a row
	// that differs by more than farOff in the same direction, so that single outliers count little and a lasting
	// change is followed. With 0.4, figures were 10% low in the replay, as more answers are much slower than much
	// faster.
	maxStep    = 0.8
	farOff     = 0.4
	maxStepRun = 4
	// calmShare is the share of a step that is made while answers are near the expectation, where they mostly
	// differ by chance.
	calmShare = 0.4
	// minFactor and maxFactor bound speeds.
	minFactor = 1.0 / 64
	maxFactor = 64
	// priorFitWeight is the weight of the prior shape in a fit, and priorMeanWeight that of the wider kind in a
	// mean, in answers.
	priorFitWeight  = 0.05
	priorMeanWeight = 1.0
	// solveInterval is how long the solution of a fit without answers is used.
	solveInterval = 250 * time.Millisecond
)

// decay returns the share that remains of a weight.
func decay(since time.Duration, halfLife time.Duration) float64 {
	if since <= 0 {
		return 1
	}
	return math.Exp2(-float64(since) / float64(halfLife))
}

// level tracks a factor that may change quickly. Its logarithm is kept, as factors multiply.
type level struct {
	log, weight float64
	// run counts the last answers in a row that were far off in the same direction, negative if faster.
	run int
	at  time.Time
}

func (l *level) decayed(now time.Time) float64 {
	if l.weight == 0 {
		return 0
	}
	return l.weight * decay(now.Sub(l.at), memoryHalfLife)
}

// factor returns the factor, which tends to 1 without answers.
func (l *level) factor(now time.Time) float64 {
	if l == nil || l.weight == 0 {
		return 1
	}
	return math.Exp(l.log * min(1, l.decayed(now)))
}

// factorOver returns the factor, which tends to a common one with few recent answers.
func (l *level) factorOver(common, prior float64, now time.Time) float64 {
	if l == nil || l.weight == 0 {
		return common
	}
	weight := l.decayed(now)
	share := weight / (weight + prior)
	return math.Exp(l.log*share) * math.Pow(common, 1-share)
}

// observe moves the factor towards that of an answer, whose time is ratio times the expected one.
func (l *level) observe(ratio float64, halfLife time.Duration, now time.Time) {
	weight := l.decayed(now)
	share := 1 - decay(now.Sub(l.at), halfLife)
	share = min(maxStepShare, max(share, 1/(weight+2)))
	limit := maxStep * float64(int(1)<<min(maxStepRun, max(0, abs(l.run)-1)))
	step := ratio - 1
	switch {
	case step > farOff:
		l.run = max(0, l.run) + 1
	case step < -farOff:
		l.run = min(0, l.run) - 1
	default:
		l.run = 0
	}
	if step < 0 && l.run < -1 {
		step = max(math.Log(max(ratio, minFactor)), -limit) // The ratio alone would follow a fall slowly.
	}
	if abs(l.run) < 2 && weight > certainWeight {
		share *= calmShare
	}
	l.log = clamp(l.log+share*clamp(step, -limit, limit), math.Log(minFactor), math.Log(maxFactor))
	l.weight, l.at = weight+1, now
}

func abs(n int) int { return max(n, -n) }

// mean is a mean that forgets.
type mean struct {
	sum, weight float64
	at          time.Time
}

// over returns the mean, which tends to a wider one with few recent answers.
func (m *mean) over(wider float64, now time.Time) float64 {
	share := decay(now.Sub(m.at), memoryHalfLife)
	return (m.sum*share + wider*priorMeanWeight) / (m.weight*share + priorMeanWeight)
}

func (m *mean) observe(x float64, now time.Time) {
	share := decay(now.Sub(m.at), memoryHalfLife)
	m.sum, m.weight, m.at = m.sum*share+x, m.weight*share+1, now
}

// terms are the parts of the expected time to the first part of an answer: the tokens, the constant and the
// running requests, in seconds by the prior.
type terms [3]float64

func (x terms) times(factors terms) float64 {
	return x[0]*factors[0] + x[1]*factors[1] + x[2]*factors[2]
}

// unit is the solution before any answer.
var unit = terms{1, 1, 1}

func (p *Prior) terms(tokens float64, running int) terms {
	return terms{p.PerToken.Seconds() * tokens, p.FirstToken.Seconds(), p.PerRunning.Seconds() * float64(running)}
}

// fit is a least-squares fit of the factors by which the terms differ from the prior. Each answer counts by its
// relative error.
type fit struct {
	xx       [3][3]float64
	xy       terms
	y, n     float64
	at       time.Time
	solution terms
	solvedAt time.Time
	solved   bool
}

func (f *fit) decay(now time.Time) {
	share := decay(now.Sub(f.at), memoryHalfLife)
	for i := range f.xx {
		for j := range f.xx[i] {
			f.xx[i][j] *= share
		}
		f.xy[i] *= share
	}
	f.y *= share
	f.n *= share
	f.at = now
}

func (f *fit) observe(x terms, seconds float64, now time.Time) {
	f.decay(now)
	prior := x[0] + x[1] + x[2]
	y := seconds / prior
	for i := range x {
		for j := range x {
			f.xx[i][j] += x[i] * x[j] / (prior * prior)
		}
		f.xy[i] += x[i] / prior * y
	}
	f.y += y
	f.n++
	f.solved = false
}

// solve returns the factors. What the answers don't tell is taken from the prior, times the mean factor.
func (f *fit) solve(now time.Time) terms {
	if f.n == 0 {
		return unit
	}
	if f.solved && now.Sub(f.solvedAt) < solveInterval {
		return f.solution
	}
	f.decay(now)
	scale := clamp((f.y+priorMeanWeight)/(f.n+priorMeanWeight), minFactor, maxFactor)
	m := f.xx
	v := f.xy
	for i := range m {
		m[i][i] += priorFitWeight
		v[i] += priorFitWeight * scale
	}
	// The matrix is positive definite, so that elimination needs no exchange of rows.
	for i := range m {
		for j := i + 1; j < len(m); j++ {
			by := m[j][i] / m[i][i]
			for k := i; k < len(m); k++ {
				m[j][k] -= by * m[i][k]
			}
			v[j] -= by * v[i]
		}
	}
	for i := len(m) - 1; i >= 0; i-- {
		for k := i + 1; k < len(m); k++ {
			v[i] -= m[i][k] * v[k]
		}
		v[i] /= m[i][i]
	}
	for i := range v {
		v[i] = clamp(v[i], minFactor*scale, maxFactor)
	}
	f.solution, f.solvedAt, f.solved = v, now, true
	return v
}
