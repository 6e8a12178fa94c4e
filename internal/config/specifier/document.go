package specifier

import (
	"fmt"
	"time"
)

// FleetKey is the key of the object that holds the current Document.
const FleetKey = "config/fleet"

// MaxDocumentBytes is the maximum size of a value on the platform.
const MaxDocumentBytes = 1 << 20

// Change records who changed the configuration, when and why.
type Change struct {
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Message string    `json:"message,omitempty"`
	// Token is unique to the change. It shows whether a write took effect when
	// its response was lost.
	Token string `json:"token"`
}

// Document is the configuration as stored on the platform.
type Document struct {
	Change Change `json:"change"`
	Fleet  Fleet  `json:"fleet"`
}

// HistoryPrefix is the key prefix of the objects that hold a Record.
const HistoryPrefix = "config-history/"

// Record is an entry in the history of the configuration. The Record of a
// version is written before that version is replaced, so that only the latest
// version may have none.
type Record struct {
	// Version is the version of the Document that the change created.
	Version uint64 `json:"version"`
	Change  Change `json:"change"`
}

// Key returns the key of the object that holds r. The keys sort by version.
func (r Record) Key() string { return fmt.Sprintf("%s%020d", HistoryPrefix, r.Version) }
