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

// monitoredStore wraps the platform's object API. It counts calls and records
// when the platform last answered.
type monitoredStore struct {
	client.ObjectStore
	clock clockwork.Clock
	// lastAnswer is the time of the platform's last answer in Unix nanoseconds; 0 means never.
	lastAnswer atomic.Int64
	// calls counts the calls by kind.
	calls [numCallKinds]atomic.Int64
}

var _ client.ObjectStore = (*monitoredStore)(nil)

// callKind is a method of the object API.
type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
	numCallKinds
)

// record counts a call. Conflicts and missing keys are answers of the platform, too.
func (s *monitoredStore) record(kind callKind, err error) {
	s.calls[kind].Add(1)
	if err == nil || client.IsKind(err, client.KindConflict) || client.IsKind(err, client.KindNotFound) {
		s.lastAnswer.Store(s.clock.Now().UnixNano())
	}
}

// Get implements client.ObjectStore.
func (s *monitoredStore) Get(ctx context.Context, key string) (client.Object, error) {
	o, err := s.ObjectStore.Get(ctx, key)
	s.record(callGet, err)
	return o, err
}

// Put implements client.ObjectStore.
func (s *monitoredStore) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	o, err := s.ObjectStore.Put(ctx, key, value, expect)
	s.record(callPut, err)
	return o, err
}

// Delete implements client.ObjectStore.
func (s *monitoredStore) Delete(ctx context.Context, key string, expect uint64) error {
	err := s.ObjectStore.Delete(ctx, key, expect)
	s.record(callDelete, err)
	return err
}

// List implements client.ObjectStore.
func (s *monitoredStore) List(ctx context.Context, prefix string) ([]client.Object, error) {
	list, err := s.ObjectStore.List(ctx, prefix)
	s.record(callList, err)
	return list, err
}

// Watch implements client.ObjectStore.
func (s *monitoredStore) Watch(ctx context.Context, prefix string, after uint64) ([]client.Object, error) {
	list, err := s.ObjectStore.Watch(ctx, prefix, after)
	s.record(callWatch, err)
	return list, err
}

// maxPlatformContactAge is how old the last answer may be while the platform
// still counts as reachable.
const maxPlatformContactAge = 45 * time.Second

// describe returns the platform's status for operators.
func (s *monitoredStore) describe() describer.Platform {
	last := s.lastAnswer.Load()
	if last == 0 {
		return describer.Platform{}
	}
	age := s.clock.Since(time.Unix(0, last))
	return describer.Platform{Reachable: age < maxPlatformContactAge, LastContactAge: specifier.Duration{Duration: age}}
}
