// Package describer defines the JSON responses of a daemon's operator endpoint:
// the status of the daemon and the explanation of a request.
package describer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// The paths of a daemon's operator endpoint.
const (
	// PathStatus returns the Status of the daemon to a GET request.
	PathStatus = "/operator/v1/status"
	// PathExplain is the path prefix for explanations, followed by the request
	// ID. It returns an Explanation to a GET request, or 404 if the daemon does
	// not know the request.
	PathExplain = "/operator/v1/explain/"
)

// Status is the status of a daemon and its view of the fleet.
type Status struct {
	Host       identifier.Host       `json:"host"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// ConfigVersion is the configuration version in force at the daemon.
	ConfigVersion uint64 `json:"config-version"`
	// Ready is true if the daemon accepts requests.
	Ready bool `json:"ready"`
	// Leaving is true while the daemon shuts down.
	Leaving  bool     `json:"leaving"`
	Platform Platform `json:"platform"`
	// Peers are the daemons that have sent a heartbeat to this one.
	Peers       []Peer       `json:"peers"`
	Targets     []Target     `json:"targets"`
	DataCentres []DataCentre `json:"data-centres"`
	// InFlight is the number of requests in progress at the daemon.
	InFlight int `json:"in-flight"`
}

// Platform is the state of a daemon's connection to the platform.
type Platform struct {
	Reachable bool `json:"reachable"`
	// LastContactAge is the time since the last response from the platform.
	LastContactAge specifier.Duration `json:"last-contact-age"`
}

// Peer is a daemon as seen by another one.
type Peer struct {
	Host identifier.Host `json:"host"`
	// HeartbeatAge is the time since the peer's last heartbeat.
	HeartbeatAge  specifier.Duration `json:"heard-age"`
	ConfigVersion uint64             `json:"config-version"`
}

// Target is the daemon's view of a target.
type Target struct {
	Name        identifier.Target      `json:"name"`
	State       specifier.State        `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Cold        bool                   `json:"cold"`
	// LimitInForce is the number of requests that the target may currently run: its
	// cold limit while it is cold, and up to its warm limit afterwards.
	LimitInForce int `json:"cold-limit-in-force"`
	// Running is the estimated number of requests on the target, including queued ones.
	Running int `json:"running"`
	// Queued is the number of requests that waited at the target at its last load report.
	Queued int `json:"queued"`
	// Age is the time since the target's last load report; 0 if there was none.
	Age specifier.Duration `json:"age"`
	// Owner is the live host that should hold the target's lease; empty if the target's
	// data centre has no live daemon.
	Owner identifier.Host `json:"owner,omitempty"`
}

// DataCentre is the daemon's view of a data centre.
type DataCentre struct {
	Name  identifier.DataCentre `json:"name"`
	State specifier.State       `json:"state"`
	// Reachable is true for the daemon's own data centre, and for those from whose
	// daemons it receives heartbeats.
	Reachable bool `json:"reachable"`
}

// Explanation lists what a daemon did with one request.
type Explanation struct {
	RequestID identifier.Request `json:"request-id"`
	Host      identifier.Host    `json:"host"`
	// Steps are ordered by time.
	Steps []Step `json:"steps"`
}

// Step is a decision or event in the processing of a request.
type Step struct {
	At time.Time `json:"at"`
	// Kind names the decision or event, such as "dispatched".
	Kind string `json:"kind"`
	// Detail gives the reasons for it.
	Detail string `json:"detail,omitempty"`
}
