package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

var _ client.ObjectStore = (*memoryStore)(nil)

// fault is a failure injected into one Put of the configuration.
type fault struct {
	// before runs before the Put, after runs after it has taken effect.
	before, after func()
	// drop discards the Put.
	drop bool
	// kind is the error that the caller gets; empty means the actual result.
	kind client.Kind
}

// memoryStore is an object store in memory with fault injection.
type memoryStore struct {
	mu       sync.Mutex
	objects  map[string]client.Object
	revision uint64
	// faults are injected into the next Puts of the configuration, one each.
	faults []fault
	// outage is the kind of error of each Get, Put and List; empty means none.
	outage client.Kind
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]client.Object{}} }

func storeError(op string, kind client.Kind) error {
	return &client.Error{Detail: failer.Detail[client.Kind]{Op: op, Kind: kind}}
}

func (m *memoryStore) Get(_ context.Context, key string) (client.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outage != "" {
		return client.Object{}, storeError("get", m.outage)
	}
	object, ok := m.objects[key]
	if !ok {
		return client.Object{}, storeError("get", client.KindNotFound)
	}
	return object, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	f := m.nextFault(key)
	if f.before != nil {
		f.before()
	}
	object, err := m.put(key, value, expect, f.drop)
	if f.after != nil {
		f.after()
	}
	if f.kind != "" {
		return client.Object{}, storeError("put", f.kind)
	}
	return object, err
}

func (m *memoryStore) nextFault(key string) fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key != specifier.FleetKey || len(m.faults) == 0 {
		return fault{}
	}
	f := m.faults[0]
	m.faults = m.faults[1:]
	return f
}

func (m *memoryStore) put(key string, value []byte, expect uint64, drop bool) (client.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.outage != "":
		return client.Object{}, storeError("put", m.outage)
	case drop:
		return client.Object{}, nil
	case m.objects[key].Version != expect:
		return client.Object{}, storeError("put", client.KindConflict)
	}
	m.revision++
	m.objects[key] = client.Object{Key: key, Version: m.revision, Value: slices.Clone(value)}
	return m.objects[key], nil
}

func (m *memoryStore) Delete(_ context.Context, key string, expect uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expect {
		return storeError("delete", client.KindConflict)
	}
	delete(m.objects, key)
	return nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]client.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outage != "" {
		return nil, storeError("list", m.outage)
	}
	var result []client.Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			result = append(result, object)
		}
	}
	slices.SortFunc(result, func(a, b client.Object) int { return strings.Compare(a.Key, b.Key) })
	return result, nil
}

func (m *memoryStore) Watch(context.Context, string, uint64) ([]client.Object, error) {
	return nil, storeError("watch", client.KindInvalid)
}

// version returns the version of the stored configuration.
func (m *memoryStore) version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[specifier.FleetKey].Version
}

// fleet returns the stored configuration.
func (m *memoryStore) fleet(t testing.TB) specifier.Fleet {
	object, err := m.Get(context.Background(), specifier.FleetKey)
	assert.NilError(t, err)
	var doc specifier.Document
	assert.NilError(t, json.Unmarshal(object.Value, &doc))
	return doc.Fleet
}

// fakeDaemons serves the operator endpoints of the example's daemons. entry-02
// reports the configuration version 0 for the next lag polls.
type fakeDaemons struct {
	mu    sync.Mutex
	store *memoryStore
	lag   int
}

// hostByAddress returns the example's host with the operator address, or "".
func hostByAddress(address string) identifier.Host {
	for n := 1; n <= 8; n++ {
		if address == fmt.Sprintf("127.0.0.1:2130%d", n) {
			return identifier.Host(fmt.Sprintf("entry-%02d", n))
		}
	}
	return ""
}

func (d *fakeDaemons) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	host := hostByAddress(r.URL.Host)
	switch {
	case host == "":
		return nil, context.DeadlineExceeded
	case r.URL.Path == describer.PathStatus:
		json.NewEncoder(w).Encode(d.status(host))
	case r.URL.Path == describer.PathExplain+"req-1" && host == "entry-02":
		json.NewEncoder(w).Encode(describer.Explanation{RequestID: "req-1", Host: host, Steps: []describer.Step{
			{At: startTime, Kind: "admitted", Detail: "team coffee, class interactive"},
			{At: startTime.Add(time.Millisecond), Kind: "dispatched", Detail: "target assistant-03"},
		}})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	return w.Result(), nil
}

func (d *fakeDaemons) status(host identifier.Host) describer.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := describer.Status{
		Host: host, DataCentre: "antigua", ConfigVersion: d.store.version(), Ready: true,
		Platform:    describer.Platform{Reachable: true},
		DataCentres: []describer.DataCentre{{Name: "antigua", State: specifier.StateIn, Reachable: true}},
		Targets: []describer.Target{{
			Name: "assistant-01", State: specifier.StateIn, Incarnation: 4, Cold: true, LimitInForce: 1, Running: 1,
			Age: specifier.Duration{Duration: 200 * time.Millisecond}, Owner: "entry-01",
		}},
		InFlight: 3,
	}
	if host == "entry-02" && d.lag > 0 {
		d.lag--
		status.ConfigVersion = 0
	}
	return status
}

var startTime = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// autoAdvanceClock is a fake clock that advances by d on each call of After(d).
type autoAdvanceClock struct{ *clockwork.FakeClock }

func (c autoAdvanceClock) After(d time.Duration) <-chan time.Time {
	ch := c.FakeClock.After(d)
	c.Advance(d)
	return ch
}
