package storer

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors, which are also sent as the kinds of refusals.
const (
	// KindInvalid reports settings, faults or messages out of range.
	KindInvalid Kind = "invalid"
	// KindMissing reports a block that was never stored or was freed.
	KindMissing Kind = "missing"
	// KindPartial reports a block that is not committed yet.
	KindPartial Kind = "partial"
	// KindGeneration reports a generation that is not the committed one of the block.
	KindGeneration Kind = "wrong-generation"
	// KindChecksum reports a commit whose checksum differs from that of the written payload.
	KindChecksum Kind = "checksum"
	// KindFull reports a write that was refused because of Faults.Full.
	KindFull Kind = "full"
	// KindFreed reports a write whose block was freed before the write ended.
	KindFreed Kind = "freed"
)

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Settings configures the capacity and timing of a simulated store host.
type Settings struct {
	// BlockBytes is the simulated size of a block in the tiers and on the link.
	// The transferred payloads are smaller.
	BlockBytes int64 `json:"block-bytes"`
	// MemoryBytes and DiskBytes are the capacities of the tiers.
	MemoryBytes int64 `json:"memory-bytes"`
	DiskBytes   int64 `json:"disk-bytes"`
	// DiskDelay is the time to read one block from the disk tier.
	DiskDelay server.Duration `json:"disk-delay"`
	// LinkBytesPerSecond is the rate of the link, which both directions share.
	LinkBytesPerSecond int64 `json:"link-bytes-per-second"`
}

// Units of the sizes in the default settings.
const (
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// DefaultSettings returns the settings of a store host with 1 GiB of memory and 4 GiB of disk.
func DefaultSettings() Settings {
	return Settings{
		BlockBytes:         mebibyte,
		MemoryBytes:        gibibyte,
		DiskBytes:          4 * gibibyte,
		DiskDelay:          server.Duration{Duration: time.Millisecond},
		LinkBytesPerSecond: gibibyte,
	}
}

// Config configures a Storer.
type Config struct {
	Settings
	Name  identifier.Store
	Clock clockwork.Clock
}

func (c Config) validate() error {
	if c.Clock == nil {
		return invalid("the clock is missing")
	}
	if c.BlockBytes < 1 {
		return invalid("block-bytes is %d, want at least 1", c.BlockBytes)
	}
	if c.MemoryBytes < c.BlockBytes {
		return invalid("memory-bytes is %d, want at least one block of %d", c.MemoryBytes, c.BlockBytes)
	}
	if c.DiskBytes < 0 || c.DiskDelay.Duration < 0 {
		return invalid("disk-bytes is %d and disk-delay %v, want neither below 0", c.DiskBytes, c.DiskDelay)
	}
	if c.LinkBytesPerSecond < 1 {
		return invalid("link-bytes-per-second is %d, want at least 1", c.LinkBytesPerSecond)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return newError("check settings", KindInvalid, errors.Newf(format, args...))
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
