// Package rememberer implements the platform's object API in memory. Tests of packages
// that use the platform use it as a fake, and the registrar stand-in as its storage.
// No daemon imports it.
package rememberer

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Op is a kind of call.
type Op string

// The kinds of calls.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes a call of the object API for the hook that injects faults.
type Call struct {
	Op Op
	// Key is the object's key, or the prefix of a list or watch.
	Key string
	// Value is the value of a put.
	Value []byte
}

// Fault is an injected failure of a call.
type Fault string

// The faults.
const (
	// FaultNone lets the call succeed.
	FaultNone Fault = ""
	// FaultUnavailable rejects the call with KindUnavailable; nothing is changed.
	FaultUnavailable Fault = "unavailable"
	// FaultThrottled rejects the call with KindThrottled; nothing is changed.
	FaultThrottled Fault = "throttled"
	// FaultLostResponse executes the call, but returns KindUnknown.
	FaultLostResponse Fault = "lost-answer"
	// FaultLostCall doesn't execute the call, and returns KindUnknown.
	FaultLostCall Fault = "lost-call"
)

// maxVersionsPerKey bounds the versions that are kept for stale reads.
const maxVersionsPerKey = 64

// DefaultWait is the default of Config.Wait.
const DefaultWait = 30 * time.Second

// Config configures a Memory.
type Config struct {
	// Clock measures the wait of a watch.
	Clock clockwork.Clock
	// Wait is how long a watch waits for a change; 0 means DefaultWait.
	Wait time.Duration
}

// Memory is an ObjectStore in memory. It is safe for concurrent use.
type Memory struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	// versions holds each key's versions, the newest last; a nil value is a deletion.
	versions map[string][]client.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	hook    func(Call) Fault
	calls   map[Op]int
	// staleRevision is the revision that Get and List return; 0 means the newest.
	staleRevision uint64
}

var _ client.ObjectStore = (*Memory)(nil)

// New returns an empty Memory, or a client.Error of KindInvalid without a clock.
func New(cfg Config) (*Memory, error) {
	if cfg.Clock == nil {
		return nil, client.NewError("new memory", client.KindInvalid, errors.New("clock is not set"))
	}
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultWait
	}
	return &Memory{
		cfg:      cfg,
		versions: make(map[string][]client.Object),
		changed:  make(chan struct{}),
		calls:    make(map[Op]int),
	}, nil
}

// SetHook installs hook, which runs before each call and returns the fault to inject;
// nil removes it. The hook may call SetStale and the read methods of Memory.
func (m *Memory) SetHook(hook func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hook = hook
}

// SetStale makes Get and List return the objects as of revision; 0 means the newest.
func (m *Memory) SetStale(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleRevision = revision
}

// Revision returns the revision of the last write.
func (m *Memory) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Calls returns the number of calls of kind op so far, including failed ones.
func (m *Memory) Calls(op Op) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[op]
}

// Get implements client.ObjectStore.
func (m *Memory) Get(ctx context.Context, key string) (client.Object, error) {
	const op = "get object"
	fault, err := m.beginCall(ctx, op, Call{Op: OpGet, Key: key})
	if err != nil {
		return client.Object{}, err
	}
	if fault == FaultLostResponse {
		return client.Object{}, client.NewError(op, client.KindUnknown, nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.versionAt(key, m.staleRevision)
	if o.Value == nil {
		return client.Object{}, client.NewError(op+" "+key, client.KindNotFound, nil)
	}
	return cloneObject(o), nil
}

// Put implements client.ObjectStore.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	const op = "put object"
	fault, err := m.beginCall(ctx, op, Call{Op: OpPut, Key: key, Value: value})
	if err != nil {
		return client.Object{}, err
	}
	if len(value) > client.MaxValueBytes {
		return client.Object{}, client.NewError(op+" "+key, client.KindInvalid, errors.Newf("value has %d bytes", len(value)))
	}
	o, err := m.putVersion(key, append([]byte{}, value...), expect)
	if fault == FaultLostResponse {
		return client.Object{}, client.NewError(op+" "+key, client.KindUnknown, nil)
	}
	return o, err
}

// Delete implements client.ObjectStore.
func (m *Memory) Delete(ctx context.Context, key string, expect uint64) error {
	const op = "delete object"
	fault, err := m.beginCall(ctx, op, Call{Op: OpDelete, Key: key})
	if err != nil {
		return err
	}
	err = m.deleteVersion(key, expect)
	if fault == FaultLostResponse {
		return client.NewError(op+" "+key, client.KindUnknown, nil)
	}
	return err
}

// List implements client.ObjectStore.
func (m *Memory) List(ctx context.Context, prefix string) ([]client.Object, error) {
	const op = "list objects"
	fault, err := m.beginCall(ctx, op, Call{Op: OpList, Key: prefix})
	if err != nil {
		return nil, err
	}
	if fault == FaultLostResponse {
		return nil, client.NewError(op, client.KindUnknown, nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []client.Object
	for key := range m.versions {
		o := m.versionAt(key, m.staleRevision)
		if strings.HasPrefix(key, prefix) && o.Value != nil {
			objects = append(objects, cloneObject(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, nil
}

// Watch implements client.ObjectStore. It waits no longer than Config.Wait.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]client.Object, error) {
	return m.WatchFor(ctx, prefix, after, m.cfg.Wait)
}

// WatchFor is Watch with the given wait instead of Config.Wait.
func (m *Memory) WatchFor(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]client.Object, error) {
	const op = "watch objects"
	fault, err := m.beginCall(ctx, op, Call{Op: OpWatch, Key: prefix})
	if err != nil {
		return nil, err
	}
	if fault == FaultLostResponse {
		return nil, client.NewError(op, client.KindUnknown, nil)
	}
	timer := m.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, changed := m.changedAfter(prefix, after)
		if len(objects) > 0 {
			return objects, nil
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return nil, nil
		case <-ctx.Done():
			return nil, client.NewError(op, client.KindUnknown, ctx.Err())
		}
	}
}

// beginCall counts a call, runs the hook, and returns an Error for the faults that
// prevent the call.
func (m *Memory) beginCall(ctx context.Context, op string, call Call) (Fault, error) {
	m.mu.Lock()
	m.calls[call.Op]++
	hook := m.hook
	m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return FaultNone, client.NewError(op, client.KindUnavailable, err)
	}
	if hook == nil {
		return FaultNone, nil
	}
	fault := hook(call)
	switch fault {
	case FaultUnavailable:
		return fault, client.NewError(op, client.KindUnavailable, nil)
	case FaultThrottled:
		return fault, client.NewError(op, client.KindThrottled, nil)
	case FaultLostCall:
		return fault, client.NewError(op, client.KindUnknown, nil)
	default:
		return fault, nil
	}
}

func (m *Memory) putVersion(key string, value []byte, expect uint64) (client.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkVersion("put object "+key, key, expect); err != nil {
		return client.Object{}, err
	}
	return cloneObject(m.appendVersion(key, value)), nil
}

func (m *Memory) deleteVersion(key string, expect uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.versionAt(key, 0).Value == nil {
		return client.NewError("delete object "+key, client.KindNotFound, nil)
	}
	if err := m.checkVersion("delete object "+key, key, expect); err != nil {
		return err
	}
	m.appendVersion(key, nil)
	return nil
}

// checkVersion returns an Error of KindConflict unless key is at version expect.
func (m *Memory) checkVersion(op, key string, expect uint64) error {
	version := client.MustNotExist
	if o := m.versionAt(key, 0); o.Value != nil {
		version = o.Version
	}
	if version != expect {
		return client.NewError(op, client.KindConflict, errors.Newf("version is %d, expected %d", version, expect))
	}
	return nil
}

func (m *Memory) appendVersion(key string, value []byte) client.Object {
	m.revision++
	o := client.Object{Key: key, Version: m.revision, Value: value}
	versions := append(m.versions[key], o)
	if len(versions) > maxVersionsPerKey {
		versions = versions[1:]
	}
	m.versions[key] = versions
	close(m.changed)
	m.changed = make(chan struct{})
	return o
}

// versionAt returns the object key as of revision, or its newest version for revision
// 0. A missing or deleted object has a nil value.
func (m *Memory) versionAt(key string, revision uint64) client.Object {
	versions := m.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if revision == 0 || versions[i].Version <= revision {
			return versions[i]
		}
	}
	return client.Object{}
}

// changedAfter returns the objects under prefix with a version above after, including
// deletions, and the channel that is closed at the next write.
func (m *Memory) changedAfter(prefix string, after uint64) ([]client.Object, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []client.Object
	for key := range m.versions {
		o := m.versionAt(key, 0)
		if strings.HasPrefix(key, prefix) && o.Version > after {
			objects = append(objects, cloneObject(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects, m.changed
}

func cloneObject(o client.Object) client.Object {
	if o.Value != nil {
		o.Value = append([]byte{}, o.Value...)
	}
	return o
}
