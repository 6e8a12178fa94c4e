// Package client is a client of the platform's object API, which stores the state
// that the daemons share.
package client

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies the errors of the object API.
type Kind string

// The kinds of errors.
const (
	// KindConflict reports that the object's version differs from the expected one.
	KindConflict Kind = "conflict"
	// KindNotFound reports that the object does not exist.
	KindNotFound Kind = "not-found"
	// KindThrottled reports that the call exceeded a rate limit; nothing was changed.
	KindThrottled Kind = "throttled"
	// KindUnavailable reports that the call did not reach the platform; nothing was changed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown reports that the response was lost; a write may have taken effect.
	KindUnknown Kind = "unknown"
	// KindInvalid reports an invalid request or a malformed response.
	KindInvalid Kind = "invalid"
)

// Error is the type of all errors of the object API.
type Error struct{ failer.Detail[Kind] }

// Object is a stored value with its version.
type Object struct {
	// Key is the object's slash-separated name.
	Key string `json:"key"`
	// Version is the platform's revision at the object's last write. All objects share
	// one revision counter, so a higher version is always later.
	Version uint64 `json:"version"`
	// Value is the stored value; nil in a watch result means that the object was deleted.
	Value []byte `json:"value"`
}

// MustNotExist is the expected version for a Put that only creates an object.
const MustNotExist uint64 = 0

// ObjectStore is the part of the platform's object API that the daemons use.
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
	// Watch waits until objects under prefix have versions above after, and returns
	// them. It returns no objects if the platform's wait ends first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}
