package specifier

import (
	"fmt"
	"time"
)

// FleetKey is the key of the object that holds the Document in force.
const FleetKey = "config/fleet"

// MaxDocumentBytes is the largest value that the platform holds.
const MaxDocumentBytes = 1 << 20

// Change says who changed the configuration.
type Change struct {
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Message string    `json:"message,omitempty"`
	// Token is unique to the change; it settles whether a write whose answer
	// was lost has taken effect.
	Token string `json:"token"`
}

// Document is the configuration as the platform holds it.
type Document struct {
	Change Change `json:"change"`
	Fleet  Fleet  `json:"fleet"`
}

// HistoryPrefix begins the keys of the objects that hold a Record.
const HistoryPrefix = "config-history/"

// Record notes one change of the configuration. Whoever replaces a Document
// writes its Record first, so that every version but the last one has a Record.
type Record struct {
	// Version is the version of the Document that the change made.
	Version uint64 `json:"version"`
	Change  Change `json:"change"`
}

// Key returns the key of the object that holds r. Keys sort by version.
func (r Record) Key() string { return fmt.Sprintf("%s%020d", HistoryPrefix, r.Version) }
