package storer

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure; those of blocks are the kinds of refusals too.
const (
	// KindInvalid reports settings, faults or messages out of range.
	KindInvalid Kind = "invalid"
	// KindMissing reports a block that is not there or was freed.
	KindMissing Kind = "missing"
	// KindPartial reports a block that is not committed.
	KindPartial Kind = "partial"
	// KindGeneration reports that the block has another generation.
	KindGeneration Kind = "wrong-generation"
	// KindChecksum reports a commit whose checksum differs from the written bytes.
	KindChecksum Kind = "checksum"
	// KindFull reports that there is no space for a block.
	KindFull Kind = "full"
	// KindFreed reports a write whose block was freed before the write ended.
	KindFreed Kind = "freed"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Settings describes a store host.
type Settings struct {
	// BlockBytes is the size of a block in the tiers and on the link. The
	// payloads that really cross the connection are smaller.
	BlockBytes int64 `json:"block-bytes"`
	// MemoryBytes and DiskBytes are the sizes of the tiers.
	MemoryBytes int64 `json:"memory-bytes"`
	DiskBytes   int64 `json:"disk-bytes"`
	// DiskDelay is the time to read one block from the disk tier.
	DiskDelay server.Duration `json:"disk-delay"`
	// LinkBytesPerSecond is the rate of the link in both directions together.
	LinkBytesPerSecond int64 `json:"link-bytes-per-second"`
}

// Sizes of the default settings in bytes.
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
