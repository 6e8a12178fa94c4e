package planner

import (
	"fmt"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Bounds of a scenario.
const (
	maxInstances   = 1000
	maxDuration    = 10 * time.Minute
	maxRate        = 10_000
	maxFamilies    = 1_000_000
	maxBlocks      = 64
	maxTokens      = 32_768
	maxRetries     = 100
	maxTeams       = 1000
	maxLinkFactor  = 1000
	minLinkFactor  = 0.0001
	shareTolerance = 0.001
)

// validate returns all invalid keys of s; name stands for the file.
func (s Scenario) validate(name string) decoder.Problems {
	r := &decoder.Reporter{File: name}
	if s.Name == "" {
		r.Reportf("name", "is empty")
	}
	if len(s.DataCentres) == 0 {
		r.Reportf("data-centres", "is empty, want at least one")
	}
	decoder.CheckRange(r, "daemons", s.Daemons, 1, maxInstances)
	decoder.CheckRange(r, "engines", s.Engines, 1, maxInstances)
	decoder.CheckRange(r, "plain-targets", s.PlainTargets, 0, maxInstances)
	decoder.CheckRange(r, "stores", s.Stores, 0, maxInstances)
	decoder.CheckRange(r, "warm-limit", s.WarmLimit, s.Engine.ColdLimit, maxInstances)
	decoder.CheckRange(r, "plain-limit", s.PlainLimit, s.PlainTarget.ColdLimit, maxInstances)
	decoder.CheckRange(r, "platform.writes-per-second", s.Platform.WritesPerSecond, 1, maxRate)
	decoder.CheckRange(r, "platform.reads-per-second", s.Platform.ReadsPerSecond, 1, maxRate)
	checkDuration(r, "heartbeat-interval", s.Heartbeat, time.Millisecond)
	checkDuration(r, "load-report-interval", s.LoadInterval, time.Millisecond)
	checkDuration(r, "session-term", s.SessionTerm, time.Millisecond)
	checkDuration(r, "out-grace", s.OutGrace, 0)
	s.Load.check(r)
	for i, f := range s.Faults {
		s.checkFault(r, decoder.IndexKey("faults", i), f)
	}
	if len(r.Problems) == 0 {
		s.checkFleet(r)
	}
	return r.Problems
}

// checkFleet reports the problems of the configuration that follows from s.
func (s Scenario) checkFleet(r *decoder.Reporter) {
	fleet := s.Fleet("")
	for _, p := range fleet.Problems(r.File) {
		r.Reportf(p.Key, "%s", p.Message)
	}
}

func checkDuration(r *decoder.Reporter, key string, d specifier.Duration, low time.Duration) {
	decoder.CheckRange(r, key, d.Duration, low, maxDuration)
}

func (l Load) check(r *decoder.Reporter) {
	checkDuration(r, "load.warm-up", l.WarmUp, 0)
	checkDuration(r, "load.duration", l.Duration, time.Second)
	checkDuration(r, "load.deadline", l.Deadline, time.Millisecond)
	decoder.CheckRange(r, "load.seed-families", l.SeedFamilies, 0, l.Families.Count)
	decoder.CheckRange(r, "load.plain-share", l.PlainShare, 0, 1)
	decoder.CheckRange(r, "load.non-repeatable-share", l.NonRepeatableShare, 0, 1)
	decoder.CheckRange(r, "load.whole-share", l.UnstreamedShare, 0, 1)
	decoder.CheckRange(r, "load.retries", l.Retries, 0, maxRetries)
	decoder.CheckRange(r, "load.teams.count", l.Teams.Count, 1, maxTeams)
	decoder.CheckRange(r, "load.teams.skew", l.Teams.Skew, 0, 10)
	l.Families.check(r)
	l.checkArrivals(r)
	l.checkClasses(r)
}

func (f Families) check(r *decoder.Reporter) {
	decoder.CheckRange(r, "load.families.count", f.Count, 1, maxFamilies)
	decoder.CheckRange(r, "load.families.shared-blocks", f.SharedBlocks, 0, maxBlocks)
	decoder.CheckRange(r, "load.families.question-tokens", f.QuestionTokens, 1, maxTokens)
	decoder.CheckRange(r, "load.families.output-tokens", f.OutputTokens, 2, maxTokens)
	decoder.CheckRange(r, "load.families.skew", f.Skew, 0, 10)
	decoder.CheckRange(r, "load.families.regularity", f.Regularity, 0, 1)
}

func (l Load) checkArrivals(r *decoder.Reporter) {
	if len(l.Arrivals) == 0 {
		r.Reportf("load.arrivals", "is empty, want at least one rate")
	}
	for i, rate := range l.Arrivals {
		key := decoder.IndexKey("load.arrivals", i)
		decoder.CheckRange(r, decoder.JoinKey(key, "requests-per-second"), rate.RequestsPerSecond, 0, maxRate)
		earliest := time.Duration(0)
		if i > 0 {
			earliest = l.Arrivals[i-1].At.Duration
		}
		decoder.CheckRange(r, decoder.JoinKey(key, "at"), rate.At.Duration, earliest, l.Duration.Duration)
	}
	for i, surge := range l.Surges {
		key := decoder.IndexKey("load.surges", i)
		decoder.CheckRange(r, decoder.JoinKey(key, "team"), surge.Team, 1, l.Teams.Count)
		decoder.CheckRange(r, decoder.JoinKey(key, "until"), surge.Until.Duration, surge.At.Duration, l.Duration.Duration)
		decoder.CheckRange(r, decoder.JoinKey(key, "requests-per-second"), surge.RequestsPerSecond, 0, maxRate)
		decoder.CheckOneOf(r, decoder.JoinKey(key, "class"), surge.Class, identifier.Classes())
	}
}

func (l Load) checkClasses(r *decoder.Reporter) {
	sum := 0.0
	for class, share := range l.Classes {
		decoder.CheckOneOf(r, "load.classes", class, identifier.Classes())
		decoder.CheckRange(r, decoder.JoinKey("load.classes", string(class)), share, 0, 1)
		sum += share
	}
	if sum < 1-shareTolerance || sum > 1+shareTolerance {
		r.Reportf("load.classes", "has shares that sum up to %v, want 1", sum)
	}
}

// checkFault checks the kind and time of a fault, and that what it names exists.
func (s Scenario) checkFault(r *decoder.Reporter, key string, f Fault) {
	decoder.CheckOneOf(r, decoder.JoinKey(key, "kind"), f.Kind, FaultKinds())
	decoder.CheckRange(r, decoder.JoinKey(key, "at"), f.At.Duration, 0, s.Load.Duration.Duration)
	switch f.Kind {
	case FaultDataCentreOut, FaultDataCentreIn, FaultDataCentreCold, FaultPartition:
		decoder.CheckOneOf(r, decoder.JoinKey(key, "data-centre"), f.DataCentre, s.DataCentres)
	case FaultTargetCold, FaultTargetFreeze, FaultTargetThaw:
		targets := instanceNames[identifier.Target]("engine", s.Engines)
		if f.Kind == FaultTargetCold {
			targets = append(targets, instanceNames[identifier.Target]("plain", s.PlainTargets)...)
		}
		checkName(r, decoder.JoinKey(key, "target"), f.Target, targets)
	case FaultStoreKill, FaultStoreFull, FaultStoreRevive, FaultLinkFactor:
		checkName(r, decoder.JoinKey(key, "store"), f.Store, instanceNames[identifier.Store]("store", s.Stores))
		if f.Kind == FaultLinkFactor {
			decoder.CheckRange(r, decoder.JoinKey(key, "factor"), f.Factor, minLinkFactor, maxLinkFactor)
		}
	case FaultDaemonKill, FaultDaemonStop, FaultDaemonStart:
		checkName(r, decoder.JoinKey(key, "host"), f.Host, instanceNames[identifier.Host]("entry", s.Daemons))
	}
}

// checkName reports a problem unless names contains name. names must be in order,
// because the message shows the first and the last one.
func checkName[N ~string](r *decoder.Reporter, key string, name N, names []N) {
	if slices.Contains(names, name) {
		return
	}
	if len(names) == 0 {
		r.Reportf(key, "is %q, but the scenario has none", name)
		return
	}
	r.Reportf(key, "is %q, want %s to %s", name, names[0], names[len(names)-1])
}

// instanceNames returns the names of n instances of one kind, such as store-01.
func instanceNames[N ~string](kind string, n int) []N {
	list := make([]N, n)
	for i := range list {
		list[i] = N(fmt.Sprintf("%s-%02d", kind, i+1))
	}
	return list
}
