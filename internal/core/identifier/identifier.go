// Package identifier defines the typed names that all other packages share.
package identifier

import (
	"encoding/hex"
	"fmt"
)

// Team names one organisation whose requests and cache are kept apart.
type Team string

// Service names one routed service, either a model service or a plain one.
type Service string

// Model names one model.
type Model string

// Adapter names a fine-tuned adapter of a model; empty means none.
type Adapter string

// WeightVersion names one version of a model's weights.
type WeightVersion string

// Target names one worker that runs requests.
type Target string

// Store names one store host.
type Store string

// Host names one entry host, which runs one daemon.
type Host string

// DataCentre names one data centre.
type DataCentre string

// Region names a group of data centres that are close to each other.
type Region string

// Profile names one set of policy settings.
type Profile string

// Request names one request of a caller; it is unique over all daemons.
type Request string

// Incarnation numbers one life of a target's process. It changes with each restart.
type Incarnation uint64

// Attempt names one try to run a request on a target.
type Attempt struct {
	Request Request `json:"request"`
	Number  int     `json:"number"`
}

// String returns the request and the number of the attempt.
func (a Attempt) String() string { return fmt.Sprintf("%s/%d", a.Request, a.Number) }

// Class orders requests by importance.
type Class string

// The classes, from the most important one to the first one to be shed.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Classes lists the classes from the most important one to the first one to be shed.
func Classes() []Class { return []Class{ClassInteractive, ClassStandard, ClassBatch} }

// Rank returns the position of c in Classes, and false for an unknown class.
func (c Class) Rank() (int, bool) {
	for i, known := range Classes() {
		if c == known {
			return i, true
		}
	}
	return 0, false
}

// BlockKeyBytes is the length of a BlockKey in bytes.
const BlockKeyBytes = 16

// BlockKey identifies one cache block by its whole prefix, its team, model,
// adapter and weight version.
type BlockKey [BlockKeyBytes]byte

// String returns k in hexadecimal digits.
func (k BlockKey) String() string { return hex.EncodeToString(k[:]) }

// MarshalText encodes k as hexadecimal digits.
func (k BlockKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes hexadecimal digits into k.
func (k *BlockKey) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != BlockKeyBytes {
		return fmt.Errorf("block key %q has %d digits, want %d", text, len(text), 2*BlockKeyBytes)
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("block key %q: %w", text, err)
	}
	return nil
}
