package client

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Fallback is an ObjectStore that reaches one platform at several addresses. A call that didn't
// reach the platform at one of them is made at the next; the last one reached is tried first.
type Fallback struct {
	stores []ObjectStore
	first  atomic.Int64
}

var _ ObjectStore = (*Fallback)(nil)

// NewFallback returns a Fallback, or an Error of KindInvalid without stores.
func NewFallback(stores ...ObjectStore) (*Fallback, error) {
	if len(stores) == 0 {
		return nil, NewError("new fallback", KindInvalid, errors.New("no address of the platform is given"))
	}
	return &Fallback{stores: stores}, nil
}

// try calls the stores in turn until one is reached, and returns its result.
func try[T any](f *Fallback, call func(ObjectStore) (T, error)) (T, error) {
	first := int(f.first.Load())
	var result T
	var err error
	for i := range f.stores {
		n := (first + i) % len(f.stores)
		if result, err = call(f.stores[n]); KindOf(err) != KindUnavailable {
			f.first.Store(int64(n))
			break
		}
	}
	return result, err
}

// Get implements ObjectStore.
func (f *Fallback) Get(ctx context.Context, key string) (Object, error) {
	return try(f, func(s ObjectStore) (Object, error) { return s.Get(ctx, key) })
}

// Put implements ObjectStore.
func (f *Fallback) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	return try(f, func(s ObjectStore) (Object, error) { return s.Put(ctx, key, value, expect) })
}

// Delete implements ObjectStore.
func (f *Fallback) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := try(f, func(s ObjectStore) (struct{}, error) { return struct{}{}, s.Delete(ctx, key, expect) })
	return err
}

// List implements ObjectStore.
func (f *Fallback) List(ctx context.Context, prefix string) ([]Object, error) {
	return try(f, func(s ObjectStore) ([]Object, error) { return s.List(ctx, prefix) })
}

// Watch implements ObjectStore.
func (f *Fallback) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	return try(f, func(s ObjectStore) ([]Object, error) { return s.Watch(ctx, prefix, after) })
}
