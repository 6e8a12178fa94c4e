// Package describer defines what a daemon tells operators about itself and
// about single requests.
package describer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Paths of a daemon's operator endpoint.
const (
	// PathStatus takes a GET and answers with Status.
	PathStatus = "/operator/v1/status"
	// PathExplain begins the path of one request, PathExplain + REQUEST-ID. It
	// takes a GET and answers with Explanation, or with 404 for a request that
	// the daemon does not know.
	PathExplain = "/operator/v1/explain/"
)

// Status is a daemon's account of itself.
type Status struct {
	Host       identifier.Host       `json:"host"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// ConfigVersion is the version of the configuration in force at the daemon.
	ConfigVersion uint64 `json:"config-version"`
	// Ready is true when the daemon takes requests.
	Ready bool `json:"ready"`
	// Leaving is true when the daemon shuts down.
	Leaving  bool     `json:"leaving"`
	Platform Platform `json:"platform"`
	// Peers are the daemons that this daemon exchanges heartbeats with.
	Peers       []Peer       `json:"peers"`
	Targets     []Target     `json:"targets"`
	DataCentres []DataCentre `json:"data-centres"`
	// InFlight counts the requests that the daemon handles.
	InFlight int `json:"in-flight"`
}

// Platform describes a daemon's contact with the platform.
type Platform struct {
	Reachable bool `json:"reachable"`
	// LastContactAge is the time since the platform's last answer.
	LastContactAge specifier.Duration `json:"last-contact-age"`
}

// Peer describes another daemon.
type Peer struct {
	Host identifier.Host `json:"host"`
	// HeardAge is the time since the peer's last heartbeat.
	HeardAge      specifier.Duration `json:"heard-age"`
	ConfigVersion uint64             `json:"config-version"`
}

// Target describes a target as the daemon sees it.
type Target struct {
	Name        identifier.Target      `json:"name"`
	State       specifier.State        `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Cold        bool                   `json:"cold"`
	// ColdLimitInForce is the daemon's own share of the target's cold limit, in requests.
	ColdLimitInForce int `json:"cold-limit-in-force"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Age is the time since the target's last load report.
	Age specifier.Duration `json:"age"`
	// Owner is the host that holds the target's lease; empty when none does.
	Owner identifier.Host `json:"owner,omitempty"`
}

// DataCentre describes a data centre as the daemon sees it.
type DataCentre struct {
	Name  identifier.DataCentre `json:"name"`
	State specifier.State       `json:"state"`
	// Reachable is true when the daemon hears from daemons of the data centre.
	Reachable bool `json:"reachable"`
}

// Explanation tells what a daemon did with one request.
type Explanation struct {
	RequestID identifier.Request `json:"request-id"`
	Host      identifier.Host    `json:"host"`
	// Steps are ordered by time.
	Steps []Step `json:"steps"`
}

// Step is one decision or event in the life of a request.
type Step struct {
	At time.Time `json:"at"`
	// Kind names the decision or event, such as "dispatched".
	Kind string `json:"kind"`
	// Detail gives its reasons.
	Detail string `json:"detail,omitempty"`
}
