// Package identifier defines the identifier types that all other packages share.
package identifier

import (
	"encoding/hex"
	"fmt"
)

// Team names one customer. Its requests and cache blocks are isolated from those
// of other teams.
type Team string

// Service names one routed service: a model service or a plain HTTP service.
type Service string

// Model names one model.
type Model string

// Adapter names a fine-tuned adapter of a model; empty means none.
type Adapter string

// WeightVersion names one version of a model's weights.
type WeightVersion string

// Target names one back end that runs requests.
type Target string

// Store names one host that stores cache blocks.
type Store string

// Host names one entry host, which runs one daemon.
type Host string

// DataCentre names one data centre.
type DataCentre string

// Region names a group of data centres that are close to each other.
type Region string

// Profile names a set of policy settings.
type Profile string

// Request identifies one request of a caller. It is unique across all daemons.
type Request string

// Incarnation identifies one run of a target's process. It changes with each restart.
type Incarnation uint64

// Attempt identifies one attempt to run a request on a target.
type Attempt struct {
	Request Request `json:"request"`
	Number  int     `json:"number"`
}

// String formats the attempt as request/number.
func (a Attempt) String() string { return fmt.Sprintf("%s/%d", a.Request, a.Number) }

// Class is the priority class of a request.
type Class string

// The classes, in descending priority. The last one is shed first under overload.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Classes returns all classes in descending priority.
func Classes() []Class { return []Class{ClassInteractive, ClassStandard, ClassBatch} }

// Rank returns the index of c in Classes, or false if c is unknown.
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

// BlockKey identifies one cache block. It is derived from the whole prompt prefix
// up to the end of the block, the team, the model, the adapter and the weight version.
type BlockKey [BlockKeyBytes]byte

// String returns k in hexadecimal.
func (k BlockKey) String() string { return hex.EncodeToString(k[:]) }

// MarshalText encodes k in hexadecimal.
func (k BlockKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes k from hexadecimal.
func (k *BlockKey) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != BlockKeyBytes {
		return fmt.Errorf("block key %q has %d digits, want %d", text, len(text), 2*BlockKeyBytes)
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("block key %q: %w", text, err)
	}
	return nil
}
