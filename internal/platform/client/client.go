// Package client talks to the platform's object API, which holds everything
// that the daemons must agree on.
package client

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of the object API.
type Kind string

// The kinds of failure.
const (
	// KindConflict reports that the object's version differs from the expected one.
	KindConflict Kind = "conflict"
	// KindNotFound reports that the object does not exist.
	KindNotFound Kind = "not-found"
	// KindThrottled reports that the platform refused the call for its rate; nothing was changed.
	KindThrottled Kind = "throttled"
	// KindUnavailable reports that the call did not reach the platform; nothing was changed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown reports that the answer was lost: a write may have taken effect.
	KindUnknown Kind = "unknown"
	// KindInvalid reports a malformed call or answer.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Object is one stored value with its version.
type Object struct {
	// Key is the object's slash-separated name.
	Key string `json:"key"`
	// Version is the platform's revision at the object's last write. Revisions
	// rise over all objects together, so a higher version is always later.
	Version uint64 `json:"version"`
	// Value is the stored bytes; nil in a watch result means deleted.
	Value []byte `json:"value"`
}

// MustNotExist is the expected version of a Put that only creates.
const MustNotExist uint64 = 0

// ObjectStore is the platform's object API as the daemons use it.
type ObjectStore interface {
	// Get returns the object under key, or an Error of KindNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version equals expect. It returns the
	// written object, or an Error of KindConflict.
	Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error)
	// Delete removes the object if its version equals expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until objects under prefix have versions above after and
	// returns them, or returns none when the platform's wait ends first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}
