package specifier

import (
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
