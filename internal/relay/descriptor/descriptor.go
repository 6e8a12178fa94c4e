// Package descriptor holds what the relay knows of its surroundings in the
// project's own words: routes, services, teams, targets, stores and weights.
package descriptor

import (
	"net/netip"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// The kinds of routes.
const (
	// KindSafe may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe runs at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream answers with events; it runs at most once unless it is resumable.
	KindStream Kind = "stream"
)

// Route is the part of a host's paths that goes to one service, or to several by weight.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer; 0 means the caller's deadline only.
	Timeout time.Duration
	// Goal is the time to the answer, or to its first event, that earns full credit.
	Goal time.Duration
	// Priority is the route's rank; 0 goes first.
	Priority int
	Shares   []Share
	// Attempts is the number of targets that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	// Regions lists where the route's requests may run; empty means anywhere.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of equal targets, or one store of cache parts.
type Service struct {
	Name   string
	Health string
	// MaxConnections bounds the connections to one target from all hosts.
	MaxConnections int
	// ColdRate is how many requests a second a cold target bears; 0 means any.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Store is nil unless the service is a store.
	Store *Store
}

// Engine describes a service of model engines.
type Engine struct {
	Slots int
	// MemoryTokens is the cache memory of one engine.
	MemoryTokens int
	// TokenBytes is the size of one token's cache entry.
	TokenBytes int
}

// Store describes a store of cache parts.
type Store struct {
	Address    netip.AddrPort
	DataCentre string
	Tokens     int
	LinkMbps   float64
	// FirstByte is what each transfer waits in addition.
	FirstByte time.Duration
}

// Team holds keys and a rank.
type Team struct {
	Name string
	// Priority replaces the route's rank; negative means none is set.
	Priority int
	// Isolated teams share no cache with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Keys maps bearer keys to their teams.
	Keys   map[string]*Team
	Limits Limits
	// Teams is true when requests need a key.
	Teams bool
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Target is one process that serves requests, as it described itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// ColdFor is how long the target stays cold from its report on.
	ColdFor time.Duration
	// Born is when the process started, by its own clock.
	Born time.Time
	// Weights maps models to the versions that the target has.
	Weights map[string]int
}

// SameAs reports whether two descriptions of a target tell the same, but for how
// long it stays cold.
func (t *Target) SameAs(o *Target) bool {
	if t.Service != o.Service || t.Address != o.Address || t.Draining != o.Draining || !t.Born.Equal(o.Born) || len(t.Weights) != len(o.Weights) {
		return false
	}
	for model, version := range t.Weights {
		if o.Weights[model] != version {
			return false
		}
	}
	return t.ColdFor > 0 == (o.ColdFor > 0)
}

// Part is one piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work of a request to a model.
type Prompt struct {
	Model string
	// Tokens counts the prompt's tokens, MaxOutput those that may be generated.
	Tokens    int
	MaxOutput int
	// Parts lists the prompt's pieces; the last one belongs to the request alone.
	Parts []Part
}

// Shared returns the parts that other requests may share.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Report is the state of an engine.
type Report struct {
	Weights map[string]int
	// Busy is true while an order is carried out.
	Busy bool
	// Orders counts the accepted orders since the engine's start.
	Orders int64
}

// PartChange says that a store holds a part in whole, or no longer.
type PartChange struct {
	Held   bool
	Salt   string
	Part   string
	Tokens int
}

// PartChanges is an answer to the question what changed at a store.
type PartChanges struct {
	// Boot changes when the store restarts and loses everything.
	Boot int64
	Next int64
	// Lost is true when changes are missing.
	Lost    bool
	Changes []PartChange
	// Clock is the store's time of day; zero when it told none.
	Clock time.Time
}

// Order tells an engine to change the weights of a model.
type Order struct {
	Model   string
	Version int
	Holder  string
	Fence   int64
	// After is the number of accepted orders that the engine must have.
	After int64
	// BreakOff breaks off what the engine runs; otherwise that is finished first.
	BreakOff bool
}

// Host is another host of this project.
type Host struct {
	// Address is where it takes messages.
	Address    netip.AddrPort
	DataCentre string
}

// Settings is what a process is told at its start.
type Settings struct {
	Host       string
	Address    netip.Addr
	DataCentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Callers and Ready are the addresses for callers and for the balancer's question.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// FirstPort and LastPort bound the ports for use between hosts.
	FirstPort, LastPort uint16
	Platform            netip.AddrPort
	MemoryMB            int
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool
	// GracePeriod is the time from a polite stop to a kill.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound the repeats of all hosts in any RetryWindow: the
	// ratio of the requests, and the slack in addition.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LeaseTerm is how long the platform considers a holder of orders to be in office.
	LeaseTerm time.Duration
	// RevokeAfter is when a key that was taken away must not be used any more.
	RevokeAfter time.Duration
	// WeightsWithin is when named weights must be in use everywhere.
	WeightsWithin time.Duration
}
