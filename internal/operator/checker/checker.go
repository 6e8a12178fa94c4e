// Package checker decides what is wrong with a configuration before it is sent, and what it changes.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Kind classifies findings.
type Kind string

// The kinds of findings.
const (
	// KindError reports a part that hosts reject, leave out, or can't use.
	KindError Kind = "error"
	// KindNeverMatches reports an entry that no request can use.
	KindNeverMatches Kind = "never-matches"
	// KindLimits reports limits that contradict each other or those of a host.
	KindLimits Kind = "limits"
)

// Finding is one fault of a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	// Key is the path of the value; empty means the whole file.
	Key string `json:"key"`
	// Line is the line of the value in the file, or 0 if unknown.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Action is what a difference does to an entry.
type Action string

// The actions.
const (
	ActionAdded   Action = "added"
	ActionChanged Action = "changed"
	ActionRemoved Action = "removed"
)

// Difference is an entry that differs from the version in force.
type Difference struct {
	Action Action `json:"action"`
	// Entry names the entry independently of its place in the file, such as "route shop".
	Entry string `json:"entry"`
	// Key and Line are the entry's place in the checked file, or in the version in force for a removed entry.
	Key    string   `json:"key"`
	Line   int      `json:"line"`
	Values []Change `json:"values,omitempty"`
	// Effects says what the difference does to requests and hosts.
	Effects []string `json:"effects,omitempty"`
}

// Change is a value that differs. Before and After are in JSON, empty if absent.
type Change struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Report is the result of a check.
type Report struct {
	// Findings are sorted by line.
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
	// FindingsOmitted and DifferencesOmitted count what is beyond MaxFindings and MaxDifferences.
	FindingsOmitted    int `json:"findings-omitted,omitempty"`
	DifferencesOmitted int `json:"differences-omitted,omitempty"`
}

// Bounds of a Report, as the sizes of files are chosen by others.
const (
	MaxFindings    = 1000
	MaxDifferences = 1000
	// maxCollected bounds the findings that are sorted. Those beyond it are only counted.
	maxCollected = 50_000
	// maxQuotedRunes bounds the names that messages quote, which may repeat in many of them.
	maxQuotedRunes = 80
)

// Input is a configuration in the platform's format.
type Input struct {
	Draft descriptor.Draft
	// InForce is the configuration to compare with, or nil.
	InForce *descriptor.Draft
	// Settings are those of a host, or nil.
	Settings *descriptor.Settings
}

// checkState collects the findings of one check.
type checkState struct {
	draft    *descriptor.Draft
	settings *descriptor.Settings
	findings []Finding
	// dropped counts the findings beyond maxCollected.
	dropped int
}

// Check checks a configuration in the platform's format. Findings that depend on a part which can't be decoded are left
// out.
func Check(in Input) Report {
	c := &checkState{draft: &in.Draft, settings: in.Settings}
	if in.Draft.VersionRead && in.Draft.Version < 1 {
		c.reportf(KindError, in.Draft.VersionAt, "is %d, want at least 1", in.Draft.Version)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	c.checkSettings()
	c.dropUnread()
	// Problems are collected first, since they must not be dropped for the number of the others.
	others := c.findings
	c.findings = nil
	for _, p := range in.Draft.Problems {
		c.reportf(KindError, p.Position, "%s", p.Message)
	}
	for _, p := range in.Draft.Repeated {
		c.reportf(KindError, p, "is given more than once, only the last value counts")
	}
	c.findings = append(c.findings, others...)
	var differences []Difference
	if in.InForce != nil {
		differences = diff(in.InForce, &in.Draft)
	}
	return newReport(c, differences)
}

func (c *checkState) reportf(kind Kind, at descriptor.Position, format string, args ...any) {
	if len(c.findings) >= maxCollected {
		c.dropped++
		return
	}
	c.findings = append(c.findings, Finding{Kind: kind, Key: at.Key, Line: at.Line, Message: fmt.Sprintf(format, args...)})
}

// dropUnread drops the findings about values that can't be decoded, which are zero in the draft.
func (c *checkState) dropUnread() {
	unread := map[string]bool{}
	for _, p := range c.draft.Problems {
		// A value inside a field makes the field unread, but not its entry.
		for key := p.Key; strings.Contains(key, "."); key = key[:strings.LastIndexAny(key, ".[")] {
			unread[key] = true
		}
	}
	c.findings = slices.DeleteFunc(c.findings, func(f Finding) bool {
		for key := f.Key; strings.Contains(key, "."); key = key[:strings.LastIndexAny(key, ".[")] {
			if unread[key] {
				return true
			}
		}
		return false
	})
}

// newReport sorts and bounds findings and differences.
func newReport(c *checkState, differences []Difference) Report {
	findings := c.findings
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	r := Report{Findings: []Finding{}, Differences: []Difference{}}
	r.FindingsOmitted = max(0, len(findings)-MaxFindings)
	r.Findings = append(r.Findings, findings[:len(findings)-r.FindingsOmitted]...)
	r.FindingsOmitted += c.dropped
	r.DifferencesOmitted = max(0, len(differences)-MaxDifferences)
	r.Differences = append(r.Differences, differences[:len(differences)-r.DifferencesOmitted]...)
	return r
}

// shorten bounds a name for a message.
func shorten(name string) string {
	runes := []rune(name)
	if len(runes) <= maxQuotedRunes {
		return name
	}
	return string(runes[:maxQuotedRunes]) + "..."
}
