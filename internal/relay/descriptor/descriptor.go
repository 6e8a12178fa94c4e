// Package descriptor defines the relay's model of its environment, independent of the
// platform's formats: routes, services, teams, targets, stores and weights.
package descriptor

import (
	"net/netip"
	"strings"
	"time"
)

// Kind classifies routes by how often a request may run and how it is answered.
type Kind string

// The kinds of routes.
const (
	// KindSafe is for requests that may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe is for requests that run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream is for requests whose response is a stream of events. They run at most once
	// unless the route is resumable.
	KindStream Kind = "stream"
)

// Route maps a path prefix of an HTTP host to one service, or to several by weight.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the complete response; 0 means only the caller's
	// deadline applies.
	Timeout time.Duration
	// Goal is the latency goal for the response or, of streams, for its first event.
	// Later responses count for less under the service's objective.
	Goal time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	Shares   []Share
	// Attempts is the maximum number of attempts that may run a request.
	Attempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue on another target.
	Resumable bool
	// Regions lists where the route's requests may run; empty means anywhere.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Share is a service of a route with its weight in the distribution of requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable targets, or one store of cache parts.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections of all hosts together to one target.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold target can serve; 0
	// means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Store is nil unless the service is a store.
	Store *Store
}

// Engine describes the targets of a service that run a model.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the capacity of an engine's cache memory in tokens.
	MemoryTokens int
	// TokenBytes is the size of the cache entry of one token.
	TokenBytes int
}

// Store describes a store of cache parts.
type Store struct {
	Address    netip.AddrPort
	DataCentre string
	// CapacityTokens is the store's capacity.
	CapacityTokens int
	LinkMbps       float64
	// TransferLatency is the latency of a transfer, on top of the time on the link.
	TransferLatency time.Duration
}

// Team is a tenant, whose keys authorise requests.
type Team struct {
	Name string
	// Priority overrides the route's priority unless it is negative.
	Priority int
}

// Limits holds the limits for requests.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes int
	// HeaderTime is how long a caller may take to send a head, IdleTime how long its connection may stay idle.
	HeaderTime, IdleTime time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Keys maps bearer keys to their teams.
	Keys map[string]*Team
	// IsolatedTeams are the names of the teams, also of those without keys, that share no cached parts with
	// others, sorted.
	IsolatedTeams []string
	Limits        Limits
	// KeysRequired is true if requests require a key, except on public routes. It is independent of Keys, which may be
	// empty.
	KeysRequired bool
}

// Match returns the route of host whose prefix is the longest that matches path, or nil.
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

// Target is one process that serves requests, as reported by itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// ColdFor is how long the target remains cold after this report.
	ColdFor time.Duration
	// StartedAt is the start time of the process, by its own clock.
	StartedAt time.Time
	// Weights maps models to the versions that the target has loaded.
	Weights map[string]int
	// Version is the version of the target's software.
	Version string
}

// EqualExceptCold reports whether two descriptions of a target are equal, except for how long
// it remains cold.
func (t *Target) EqualExceptCold(o *Target) bool {
	if t.Service != o.Service || t.Version != o.Version || t.Address != o.Address || t.Draining != o.Draining || !t.StartedAt.Equal(o.StartedAt) || len(t.Weights) != len(o.Weights) {
		return false
	}
	for model, version := range t.Weights {
		if o.Weights[model] != version {
			return false
		}
	}
	return t.ColdFor > 0 == (o.ColdFor > 0)
}

// Part is a section of a prompt. Its cache entries can be shared between requests.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a request to a model.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the maximum length of the output.
	Tokens    int
	MaxOutput int
	// Parts lists the prompt's parts in order. The last one is unique to the request.
	Parts []Part
}

// Shared returns the parts that other requests may have in common, which are all but
// the last one.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Notice is what a target says about itself in an answer.
type Notice struct {
	// Leaving is true if the target will stop soon and wants no new requests.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this host; 0 if it refused none.
	RetryAfter time.Duration
	// Limit is how many requests the target takes from all hosts together.
	Limit RateLimit
}

// Pace is what a target says about its load and its machine in an answer.
type Pace struct {
	// Running and Waiting count requests. Slots is the number of requests that the target runs at once.
	Running, Waiting, Slots int
	// Percent is how long work currently takes, where 100 means as usual; 0 if unstated.
	Percent int
	// Invalid is true if the statement can't be read.
	Invalid bool
}

// LimitKind classifies what an answer says about a limit.
type LimitKind string

// The kinds of statements about a limit.
const (
	// LimitUnstated means that the answer shows nothing about a limit.
	LimitUnstated LimitKind = ""
	// LimitNamed means that the target takes PerSecond requests a second.
	LimitNamed LimitKind = "named"
	// LimitInvalid means that the target named a limit that can't be read.
	LimitInvalid LimitKind = "invalid"
	// LimitNone means that the target has no limit.
	LimitNone LimitKind = "none"
)

// RateLimit is what an answer says about the requests that a target takes from all hosts together.
type RateLimit struct {
	Kind LimitKind
	// PerSecond is finite and at least 0; it is 0 unless a limit is named.
	PerSecond float64
}

// Report is the state of an engine, as the engine returns it.
type Report struct {
	// StartedAt is the start of the engine's process; zero if the report doesn't state it.
	StartedAt time.Time
	Weights   map[string]int
	// Busy is true while the engine executes an order.
	Busy bool
	// Orders is the number of accepted orders since the engine's start.
	Orders int64
}

// PartChange states that a store now holds a complete part, or no longer holds it.
// Hosts exchange it in CBOR under its field names.
type PartChange struct {
	Held   bool
	Salt   string
	Part   string
	Tokens int
}

// PartChanges is a store's answer to a request for changes.
type PartChanges struct {
	// Boot identifies the store's process. A restart changes it and empties the store.
	Boot int64
	// Next is the position from which to request the next changes.
	Next int64
	// ChangesLost is true if changes are missing from the answer.
	ChangesLost bool
	Changes     []PartChange
	// Clock is the store's wall clock; zero if the answer doesn't state it.
	Clock time.Time
}

// Order instructs an engine to load another version of a model's weights.
type Order struct {
	Model   string
	Version int
	// Holder is the host that holds the lease for orders.
	Holder string
	// FencingToken is the fencing token of that lease.
	FencingToken int64
	// AcceptedBefore is the number of orders that the engine must have accepted before.
	AcceptedBefore int64
	// AbortRunning makes the engine abort its running requests instead of finishing them.
	AbortRunning bool
}

// Host is another relay host.
type Host struct {
	// Address is where the host receives messages.
	Address    netip.AddrPort
	DataCentre string
	// Cores is the processor time that the host has, or 0 if unknown.
	Cores float64
}

// Settings are the settings of a process, fixed from its start.
type Settings struct {
	Host       string
	Address    netip.Addr
	DataCentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Callers and Ready are the listen addresses for callers and for the load balancer's
	// readiness check.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// FirstPort and LastPort are the range of ports for traffic between hosts.
	FirstPort, LastPort uint16
	Platform            netip.AddrPort
	// History is how long the platform keeps the changes of its objects.
	History  time.Duration
	MemoryMB int
	// MaxDescriptors bounds the files and sockets of the process; 0 if unknown.
	MaxDescriptors int
	// Cores is the processor time that the host has, or 0 if unknown.
	Cores float64
	// FirstStart is true if the whole deployment starts for the first time.
	FirstStart bool
	// ContactTime is the time after a disruption from which the state of the platform must be current again.
	ContactTime time.Duration
	// DrainTime is the time within which a target that leaves must get no more requests.
	DrainTime time.Duration
	// GracePeriod is the time from a request to stop to the kill of the process.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack define the retry budget of all hosts together in any
	// RetryWindow: RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LeaseTerm is the time for which the platform considers the lease for orders held.
	LeaseTerm time.Duration
	// RevokeAfter is the time after which a revoked key must no longer be accepted.
	RevokeAfter time.Duration
	// WeightsWithin is the time within which new weights must be in use on all engines.
	WeightsWithin time.Duration
	// Rollouts is nil if the platform has no rollouts.
	Rollouts *RolloutBounds
}
