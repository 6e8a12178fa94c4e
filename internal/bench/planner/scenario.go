// Package planner reads the scenarios of the load tool and plans the stand-ins
// and the configuration that each one needs.
package planner

import (
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Scenario describes one run: the components, the load and the faults.
type Scenario struct {
	Name string `json:"name"`
	// About describes the scenario in a sentence.
	About       string                  `json:"about"`
	Region      identifier.Region       `json:"region"`
	DataCentres []identifier.DataCentre `json:"data-centres"`
	// Daemons, Engines, PlainTargets and Stores are the numbers of instances in all
	// data centres, to which they are assigned in turn.
	Daemons      int `json:"daemons"`
	Engines      int `json:"engines"`
	PlainTargets int `json:"plain-targets"`
	Stores       int `json:"stores"`
	// Engine, PlainTarget and Store are the settings of each instance.
	Engine      EngineSettings `json:"engine"`
	PlainTarget PlainSettings  `json:"plain-target"`
	Store       StoreSettings  `json:"store"`
	// WarmLimit bounds the requests on one engine, PlainLimit on one plain target.
	WarmLimit  int      `json:"warm-limit"`
	PlainLimit int      `json:"plain-limit"`
	Platform   Platform `json:"platform"`
	// Heartbeat, LoadInterval and SessionTerm are settings of the daemons.
	Heartbeat    specifier.Duration `json:"heartbeat-interval"`
	LoadInterval specifier.Duration `json:"load-report-interval"`
	SessionTerm  specifier.Duration `json:"session-term"`
	// Profile is the profile of the model service, PlainProfile that of the plain service.
	Profile      specifier.Profile `json:"profile"`
	PlainProfile specifier.Profile `json:"plain-profile"`
	Load         Load              `json:"load"`
	Faults       []Fault           `json:"faults"`
	// OutGrace is how long a data centre that was taken out of service may still receive
	// new requests.
	OutGrace specifier.Duration `json:"out-grace"`
}

// Platform holds the rate limits of the platform's object API.
type Platform struct {
	WritesPerSecond float64 `json:"writes-per-second"`
	ReadsPerSecond  float64 `json:"reads-per-second"`
}

// SetDefaults replaces p by the platform's rate limits.
func (p *Platform) SetDefaults() { *p = Platform{WritesPerSecond: 400, ReadsPerSecond: 2000} }

// Load describes the callers' requests.
type Load struct {
	// WarmUp is the time before the measured period, with the first rate of Arrivals.
	WarmUp specifier.Duration `json:"warm-up"`
	// SeedFamilies is the number of families whose prompts are sent once before the
	// warm-up.
	SeedFamilies int `json:"seed-families"`
	// Duration is the length of the measured period.
	Duration specifier.Duration `json:"duration"`
	// Arrivals are the request rates, each valid from its time to that of the next.
	Arrivals []Rate `json:"arrivals"`
	// Surges are additional loads of single teams.
	Surges []Surge `json:"surges"`
	Teams  Teams   `json:"teams"`
	// Classes holds the share of each class.
	Classes  map[identifier.Class]float64 `json:"classes"`
	Families Families                     `json:"families"`
	// PlainShare is the share of calls to the plain service, and
	// NonRepeatableShare the share of those that run at most once.
	PlainShare         float64 `json:"plain-share"`
	NonRepeatableShare float64 `json:"non-repeatable-share"`
	// UnstreamedShare is the share of prompts that ask for a response without streaming.
	UnstreamedShare float64 `json:"whole-share"`
	// Deadline is the total time that callers allow for a request.
	Deadline specifier.Duration `json:"deadline"`
	// Retries bounds the retries of a request that was refused with Retry-After.
	Retries int `json:"retries"`
}

// Scale multiplies all request rates by a factor. It copies the slices, which other
// Loads may share.
func (l *Load) Scale(factor float64) {
	l.Arrivals = slices.Clone(l.Arrivals)
	for i := range l.Arrivals {
		l.Arrivals[i].RequestsPerSecond *= factor
	}
	l.Surges = slices.Clone(l.Surges)
	for i := range l.Surges {
		l.Surges[i].RequestsPerSecond *= factor
	}
}

// Rate is the request rate from a time on.
type Rate struct {
	At                specifier.Duration `json:"at"`
	RequestsPerSecond float64            `json:"requests-per-second"`
}

// Surge is the additional load of one team between two times.
type Surge struct {
	// Team is the number of the team, from 1.
	Team              int                `json:"team"`
	At                specifier.Duration `json:"at"`
	Until             specifier.Duration `json:"until"`
	RequestsPerSecond float64            `json:"requests-per-second"`
	Class             identifier.Class   `json:"class"`
	// UniquePrefixes gives each prompt a unique prefix, so that no cache can hold it.
	UniquePrefixes bool `json:"fresh"`
}

// SetDefaults replaces s by a surge of class batch.
func (s *Surge) SetDefaults() { *s = Surge{Team: 1, Class: identifier.ClassBatch} }

// Teams describes the teams.
type Teams struct {
	Count int `json:"count"`
	// Skew is the exponent of the Zipf distribution of load over teams; 0 means equal shares.
	Skew float64 `json:"skew"`
	// Weights are the teams' weights in order; absent ones are 1.
	Weights []float64 `json:"weights"`
	// RequestsPerSecond and TokensPerSecond limit each team; 0 means no limit.
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
}

// SetDefaults replaces t by ten teams, a few of them large.
func (t *Teams) SetDefaults() { *t = Teams{Count: 10, Skew: 0.8} }

// Families describes the families of prompts. The prompts of a family share a prefix.
type Families struct {
	Count int `json:"count"`
	// SharedBlocks is the length of the shared prefix, in blocks of 1,024 tokens.
	SharedBlocks int `json:"shared-blocks"`
	// QuestionTokens is the length of the question, which follows the prefix and differs
	// between prompts.
	QuestionTokens int `json:"question-tokens"`
	// OutputTokens is the mean length of an answer. Lengths are distributed uniformly
	// between 0.5 and 1.5 times the mean.
	OutputTokens int `json:"output-tokens"`
	// Skew makes some families more popular: the mean gap between two prompts of the
	// family of rank r is proportional to r to the power of Skew. The mean gap over all
	// families follows from Count and the rate of prompts.
	Skew float64 `json:"skew"`
	// Regularity is the minimum gap of a family as a share of its mean gap, from 0 to 1.
	// The excess over the minimum is exponentially distributed.
	Regularity float64 `json:"regularity"`
}

// SetDefaults replaces f by 300 families with shared prefixes of eight blocks.
func (f *Families) SetDefaults() {
	*f = Families{
		Count: 300, SharedBlocks: 8, QuestionTokens: 300, OutputTokens: 32, Skew: 0.8, Regularity: 0.3,
	}
}

// SetDefaults replaces l by a constant load of 20 s after a warm-up of 6 s.
func (l *Load) SetDefaults() {
	*l = Load{
		WarmUp:   specifier.Duration{Duration: 6 * time.Second},
		Duration: specifier.Duration{Duration: 20 * time.Second},
		Arrivals: []Rate{{RequestsPerSecond: 40}},
		Classes: map[identifier.Class]float64{
			identifier.ClassInteractive: 0.5, identifier.ClassStandard: 0.3, identifier.ClassBatch: 0.2,
		},
		PlainShare: 0.2, NonRepeatableShare: 0.2, UnstreamedShare: 0.2,
		Deadline: specifier.Duration{Duration: 10 * time.Second},
	}
	l.Teams.SetDefaults()
	l.Families.SetDefaults()
}

// SetDefaults replaces s by a scenario of three data centres.
func (s *Scenario) SetDefaults() {
	*s = Scenario{
		Region: "region-1", DataCentres: []identifier.DataCentre{"north", "south", "west"},
		Daemons: 6, Engines: 12, PlainTargets: 3, Stores: 3,
		PlainLimit:   16,
		Heartbeat:    specifier.Duration{Duration: 200 * time.Millisecond},
		LoadInterval: specifier.Duration{Duration: 100 * time.Millisecond},
		SessionTerm:  specifier.Duration{Duration: 6 * time.Second},
		Profile:      specifier.DefaultProfile(),
		PlainProfile: specifier.DefaultProfile(),
		OutGrace:     specifier.Duration{Duration: 3 * time.Second},
	}
	s.PlainProfile.Policy = specifier.PolicyLeastLoaded
	s.PlainProfile.ExportBlocks = false
	s.Engine.SetDefaults()
	s.PlainTarget.SetDefaults()
	s.Store.SetDefaults()
	s.Platform.SetDefaults()
	s.Load.SetDefaults()
	s.WarmLimit = s.Engine.RunningLimit
}

// LastChange returns the time of the last change of the load and of the last fault,
// whichever is later.
func (s Scenario) LastChange() time.Duration {
	last := time.Duration(0)
	for _, rate := range s.Load.Arrivals {
		last = max(last, rate.At.Duration)
	}
	for _, surge := range s.Load.Surges {
		last = max(last, surge.Until.Duration)
	}
	for _, fault := range s.Faults {
		last = max(last, fault.At.Duration)
	}
	return last
}

// maxScenarioBytes bounds the size of a scenario's file.
const maxScenarioBytes = 1 << 20

// Read reads a scenario from the file at path and validates it.
func Read(path string) (Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return Scenario{}, newError("read scenario", KindUnreadable, err, nil)
	}
	defer func() { _ = f.Close() }()
	return Decode(path, f)
}

// Decode reads a Scenario in JSON from r, fills absent keys with defaults and
// validates it. name stands for the file in problems. The error is an *Error that lists
// all of them.
func Decode(name string, r io.Reader) (Scenario, error) {
	var s Scenario
	err := decoder.Decode(decoder.Config{Name: name, MaxBytes: maxScenarioBytes}, r, &s)
	var found *decoder.Error
	switch {
	case err == nil:
	case errors.As(err, &found) && found.Kind == decoder.KindInvalid:
		return s, newError("decode scenario", KindInvalid, found.Problems, found.Problems)
	default:
		return s, newError("decode scenario", KindUnreadable, err, nil)
	}
	if problems := s.validate(name); len(problems) > 0 {
		return s, newError("check scenario", KindInvalid, problems, problems)
	}
	return s, nil
}
