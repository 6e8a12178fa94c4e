package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// contact is the platform's object API, with a note of when it last answered.
type contact struct {
	client.ObjectStore
	clock clockwork.Clock
	// answered is when the platform last answered, in nanoseconds; 0 means never.
	answered atomic.Int64
	// calls count the calls by kind.
	calls [callKinds]atomic.Int64
}

var _ client.ObjectStore = (*contact)(nil)

// callKind is a kind of call of the object API.
type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
	callKinds
)

// note counts a call and remembers that the platform answered.
func (c *contact) note(kind callKind, err error) {
	c.calls[kind].Add(1)
	if err == nil || client.IsKind(err, client.KindConflict) || client.IsKind(err, client.KindNotFound) {
		c.answered.Store(c.clock.Now().UnixNano())
	}
}

// Get calls the platform.
func (c *contact) Get(ctx context.Context, key string) (client.Object, error) {
	o, err := c.ObjectStore.Get(ctx, key)
	c.note(callGet, err)
	return o, err
}

// Put calls the platform.
func (c *contact) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	o, err := c.ObjectStore.Put(ctx, key, value, expect)
	c.note(callPut, err)
	return o, err
}

// Delete calls the platform.
func (c *contact) Delete(ctx context.Context, key string, expect uint64) error {
	err := c.ObjectStore.Delete(ctx, key, expect)
	c.note(callDelete, err)
	return err
}

// List calls the platform.
func (c *contact) List(ctx context.Context, prefix string) ([]client.Object, error) {
	list, err := c.ObjectStore.List(ctx, prefix)
	c.note(callList, err)
	return list, err
}

// Watch calls the platform.
func (c *contact) Watch(ctx context.Context, prefix string, after uint64) ([]client.Object, error) {
	list, err := c.ObjectStore.Watch(ctx, prefix, after)
	c.note(callWatch, err)
	return list, err
}

// reachableAfter is the age of the last answer up to which the platform counts as reachable.
const reachableAfter = 45 * time.Second

// describe reports the contact for operators.
func (c *contact) describe() describer.Platform {
	last := c.answered.Load()
	if last == 0 {
		return describer.Platform{}
	}
	age := c.clock.Since(time.Unix(0, last))
	return describer.Platform{Reachable: age < reachableAfter, LastContactAge: specifier.Duration{Duration: age}}
}
