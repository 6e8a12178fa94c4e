// Package rememberer keeps the objects of an object API in memory. It is the
// fake for tests of packages that use the platform, and the storage of the
// registrar stand-in; no daemon imports it.
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

// Op names one kind of call.
type Op string

// The kinds of call.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes one call to the fault hook.
type Call struct {
	Op Op
	// Key is the object's key, or the prefix of a list or watch.
	Key string
	// Value is the value of a put.
	Value []byte
}

// Fault says how a call fails.
type Fault string

// The faults.
const (
	// FaultNone lets the call pass.
	FaultNone Fault = ""
	// FaultUnavailable refuses the call with KindUnavailable; nothing is changed.
	FaultUnavailable Fault = "unavailable"
	// FaultThrottled refuses the call with KindThrottled; nothing is changed.
	FaultThrottled Fault = "throttled"
	// FaultLostAnswer lets the call take effect and answers with KindUnknown.
	FaultLostAnswer Fault = "lost-answer"
	// FaultLostCall drops the call before its effect and answers with KindUnknown.
	FaultLostCall Fault = "lost-call"
)

// maxVersionsOfKey bounds the old versions that are kept for stale reads.
const maxVersionsOfKey = 64

// DefaultWait is how long a watch waits.
const DefaultWait = 30 * time.Second

// Config configures a Memory.
type Config struct {
	// Clock measures the wait of a watch.
	Clock clockwork.Clock
	// Wait is how long a watch waits; 0 means DefaultWait.
	Wait time.Duration
}

// Memory is an ObjectStore in memory. Its methods may be called from several goroutines.
type Memory struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	// versions holds each key's versions, the newest last; a nil value is a deletion.
	versions map[string][]client.Object
	changed  chan struct{}
	hook     func(Call) Fault
	calls    map[Op]int
	// staleAt is the revision that reads see; 0 means the newest.
	staleAt uint64
}

var _ client.ObjectStore = (*Memory)(nil)

// New returns an empty Memory.
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

// SetHook installs hook, which is asked before each call; nil removes it. The
// hook may call SetStale and the reads of Memory.
func (m *Memory) SetHook(hook func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hook = hook
}

// SetStale lets Get and List answer as of revision; 0 ends that.
func (m *Memory) SetStale(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleAt = revision
}

// Revision returns the revision of the last write.
func (m *Memory) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Calls returns the number of calls of kind op so far, with failed ones.
func (m *Memory) Calls(op Op) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[op]
}

// Get implements client.ObjectStore.
func (m *Memory) Get(ctx context.Context, key string) (client.Object, error) {
	const op = "get object"
	fault, err := m.enter(ctx, op, Call{Op: OpGet, Key: key})
	if err != nil {
		return client.Object{}, err
	}
	if fault == FaultLostAnswer {
		return client.Object{}, client.NewError(op, client.KindUnknown, nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.at(key, m.staleAt)
	if o.Value == nil {
		return client.Object{}, client.NewError(op+" "+key, client.KindNotFound, nil)
	}
	return copyOf(o), nil
}

// Put implements client.ObjectStore.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	const op = "put object"
	fault, err := m.enter(ctx, op, Call{Op: OpPut, Key: key, Value: value})
	if err != nil {
		return client.Object{}, err
	}
	if len(value) > client.MaxValueBytes {
		return client.Object{}, client.NewError(op+" "+key, client.KindInvalid, errors.Newf("value has %d bytes", len(value)))
	}
	o, err := m.write(key, append([]byte{}, value...), expect)
	if fault == FaultLostAnswer {
		return client.Object{}, client.NewError(op+" "+key, client.KindUnknown, nil)
	}
	return o, err
}

// Delete implements client.ObjectStore.
func (m *Memory) Delete(ctx context.Context, key string, expect uint64) error {
	const op = "delete object"
	fault, err := m.enter(ctx, op, Call{Op: OpDelete, Key: key})
	if err != nil {
		return err
	}
	err = m.remove(key, expect)
	if fault == FaultLostAnswer {
		return client.NewError(op+" "+key, client.KindUnknown, nil)
	}
	return err
}

// List implements client.ObjectStore.
func (m *Memory) List(ctx context.Context, prefix string) ([]client.Object, error) {
	const op = "list objects"
	fault, err := m.enter(ctx, op, Call{Op: OpList, Key: prefix})
	if err != nil {
		return nil, err
	}
	if fault == FaultLostAnswer {
		return nil, client.NewError(op, client.KindUnknown, nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []client.Object
	for key := range m.versions {
		o := m.at(key, m.staleAt)
		if strings.HasPrefix(key, prefix) && o.Value != nil {
			objects = append(objects, copyOf(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, nil
}

// Watch implements client.ObjectStore. It waits no longer than Config.Wait.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]client.Object, error) {
	return m.WatchFor(ctx, prefix, after, m.cfg.Wait)
}

// WatchFor is Watch with its own longest wait.
func (m *Memory) WatchFor(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]client.Object, error) {
	const op = "watch objects"
	fault, err := m.enter(ctx, op, Call{Op: OpWatch, Key: prefix})
	if err != nil {
		return nil, err
	}
	if fault == FaultLostAnswer {
		return nil, client.NewError(op, client.KindUnknown, nil)
	}
	timer := m.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, changed := m.above(prefix, after)
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

// enter counts a call and applies the faults that precede its effect.
func (m *Memory) enter(ctx context.Context, op string, call Call) (Fault, error) {
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

func (m *Memory) write(key string, value []byte, expect uint64) (client.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("put object "+key, key, expect); err != nil {
		return client.Object{}, err
	}
	return copyOf(m.append(key, value)), nil
}

func (m *Memory) remove(key string, expect uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at(key, 0).Value == nil {
		return client.NewError("delete object "+key, client.KindNotFound, nil)
	}
	if err := m.check("delete object "+key, key, expect); err != nil {
		return err
	}
	m.append(key, nil)
	return nil
}

// check returns an Error of KindConflict unless key is at version expect.
func (m *Memory) check(op, key string, expect uint64) error {
	version := client.MustNotExist
	if o := m.at(key, 0); o.Value != nil {
		version = o.Version
	}
	if version != expect {
		return client.NewError(op, client.KindConflict, errors.Newf("version is %d, expected %d", version, expect))
	}
	return nil
}

func (m *Memory) append(key string, value []byte) client.Object {
	m.revision++
	o := client.Object{Key: key, Version: m.revision, Value: value}
	versions := append(m.versions[key], o)
	if len(versions) > maxVersionsOfKey {
		versions = versions[1:]
	}
	m.versions[key] = versions
	close(m.changed)
	m.changed = make(chan struct{})
	return o
}

// at returns key as of revision, or the newest version for revision 0.
func (m *Memory) at(key string, revision uint64) client.Object {
	versions := m.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if revision == 0 || versions[i].Version <= revision {
			return versions[i]
		}
	}
	return client.Object{}
}

func (m *Memory) above(prefix string, after uint64) ([]client.Object, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []client.Object
	for key := range m.versions {
		o := m.at(key, 0)
		if strings.HasPrefix(key, prefix) && o.Version > after {
			objects = append(objects, copyOf(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects, m.changed
}

func copyOf(o client.Object) client.Object {
	if o.Value != nil {
		o.Value = append([]byte{}, o.Value...)
	}
	return o
}
