package registrar_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
)

// platform is a running Registrar with its fake clock.
type platform struct {
	*registrar.Registrar
	clock   *clockwork.FakeClock
	address netip.AddrPort
}

func startPlatform(t *testing.T, cfg registrar.Config) platform {
	t.Helper()
	clock := clockwork.NewFakeClock()
	cfg.Clock = clock
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	s, err := registrar.New(cfg)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return platform{s, clock, netip.MustParseAddrPort(l.Addr().String())}
}

func (p platform) client(t *testing.T, source string) *client.HTTPClient {
	t.Helper()
	c, err := client.NewHTTPClient(client.HTTPConfig{Address: p.address, Source: source, Clock: p.clock})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func TestConditionalUpdates(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "")
	ctx := t.Context()

	first, err := c.Put(ctx, "a/b c%2F/d", []byte("one"), client.MustNotExist)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "a/b c%2F/d", []byte("two"), client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindConflict)
	second, err := c.Put(ctx, "a/b c%2F/d", []byte{}, first.Version)
	assert.NilError(t, err)
	assert.Assert(t, second.Version > first.Version)

	got, err := c.Get(ctx, "a/b c%2F/d")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, client.Object{Key: "a/b c%2F/d", Version: second.Version, Value: []byte{}})
	assert.Equal(t, client.KindOf(c.Delete(ctx, "a/b c%2F/d", first.Version)), client.KindConflict)
	assert.NilError(t, c.Delete(ctx, "a/b c%2F/d", second.Version))
	_, err = c.Get(ctx, "a/b c%2F/d")
	assert.Equal(t, client.KindOf(err), client.KindNotFound)
	assert.Equal(t, client.KindOf(c.Delete(ctx, "a/b c%2F/d", second.Version)), client.KindNotFound)

	_, err = c.Put(ctx, "big", make([]byte, client.MaxValueBytes), client.MustNotExist)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "bigger", make([]byte, client.MaxValueBytes+1), client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindInvalid)
}

func TestListAndWatch(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "")
	ctx := t.Context()
	for _, key := range []string{"x/2", "x/1", "y/1"} {
		_, err := c.Put(ctx, key, []byte(key), client.MustNotExist)
		assert.NilError(t, err)
	}
	listed, err := c.List(ctx, "x/")
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 2)
	assert.Equal(t, listed[0].Key, "x/1")

	changes := make(chan []client.Object, 1)
	go func() {
		objects, _ := c.Watch(ctx, "x/", 3)
		changes <- objects
	}()
	// The watch is waiting once the platform has created its timer.
	assert.NilError(t, p.clock.BlockUntilContext(ctx, watchTimers))
	assert.NilError(t, c.Delete(ctx, "x/1", 2))
	objects := <-changes
	assert.Equal(t, len(objects), 1)
	assert.Assert(t, objects[0].Value == nil)
	assert.Equal(t, objects[0].Version, uint64(4))
}

// watchTimers is the number of timers of a waiting watch: the client's timeout,
// the client's ticker for an overdue answer, and the platform's wait timer.
const watchTimers = 3

func TestWatchEndsWithoutChange(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "")
	type result struct {
		objects []client.Object
		err     error
	}
	results := make(chan result, 1)
	go func() {
		objects, err := c.Watch(t.Context(), "x/", 0)
		results <- result{objects, err}
	}()
	assert.NilError(t, p.clock.BlockUntilContext(t.Context(), watchTimers))
	p.clock.Advance(client.DefaultWatchWait)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, len(got.objects), 0)
}

func TestRateLimits(t *testing.T) {
	p := startPlatform(t, registrar.Config{WritesPerSecond: 1, ReadsPerSecond: rate.Limit(2), Burst: 2})
	c := p.client(t, "")
	ctx := t.Context()
	put := func(key string) client.Kind {
		_, err := c.Put(ctx, key, nil, client.MustNotExist)
		return client.KindOf(err)
	}
	assert.Equal(t, put("a"), client.Kind(""))
	assert.Equal(t, put("b"), client.Kind(""))
	assert.Equal(t, put("c"), client.KindThrottled)
	_, err := c.Get(ctx, "a")
	assert.NilError(t, err)
	_, err = c.Watch(ctx, "a", 0)
	assert.NilError(t, err)
	_, err = c.Watch(ctx, "a", 0)
	assert.Equal(t, client.KindOf(err), client.KindThrottled)
	p.clock.Advance(time.Second)
	assert.Equal(t, put("c"), client.Kind(""))
	assert.Equal(t, p.Counters().Total(rememberer.OpPut), 4)
}

func TestWritesWithLostAnswersTakeEffect(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "")
	p.SetFaults(registrar.Faults{LoseNext: 1})
	_, err := c.Put(t.Context(), "a", []byte("one"), client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindUnknown)
	got, err := c.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "one")

	p.SetFaults(registrar.Faults{LoseShare: 1})
	assert.Equal(t, client.KindOf(c.Delete(t.Context(), "a", got.Version)), client.KindUnknown)
	_, err = c.Get(t.Context(), "a")
	assert.Equal(t, client.KindOf(err), client.KindNotFound)
}

func TestFaults(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "host-1")
	other := p.client(t, "host-2")
	ctx := t.Context()
	_, err := c.Put(ctx, "a", []byte("one"), client.MustNotExist)
	assert.NilError(t, err)

	p.SetFaults(registrar.Faults{Down: true})
	_, err = c.Put(ctx, "a", []byte("two"), 1)
	assert.Equal(t, client.KindOf(err), client.KindUnknown)
	p.SetFaults(registrar.Faults{CutOff: []string{"host-1"}})
	_, err = c.Get(ctx, "a")
	assert.Equal(t, client.KindOf(err), client.KindUnknown)
	_, err = other.Get(ctx, "a")
	assert.NilError(t, err)
	p.SetFaults(registrar.Faults{Throttle: true})
	_, err = c.Put(ctx, "a", []byte("two"), 1)
	assert.Equal(t, client.KindOf(err), client.KindThrottled)

	p.SetFaults(registrar.Faults{StaleFor: specifier.Duration{Duration: time.Second}})
	_, err = c.Put(ctx, "a", []byte("two"), 1)
	assert.NilError(t, err)
	got, err := c.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "one")
	p.clock.Advance(time.Second)
	got, err = c.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "two")
}

func TestSlowCallTimesOutAsUnknown(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c := p.client(t, "")
	p.SetFaults(registrar.Faults{Delay: specifier.Duration{Duration: time.Minute}})
	kinds := make(chan client.Kind, 1)
	go func() {
		_, err := c.Put(t.Context(), "a", nil, client.MustNotExist)
		kinds <- client.KindOf(err)
	}()
	assert.NilError(t, p.clock.BlockUntilContext(t.Context(), 2))
	p.clock.Advance(client.DefaultTimeout)
	assert.Equal(t, <-kinds, client.KindUnknown)
}

func TestFaultsOverHTTP(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	post := func(body string) int {
		resp, err := http.Post("http://"+p.address.String()+registrar.PathFaults, "application/json", bytes.NewBufferString(body))
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, post(`{"dwon":true}`), http.StatusBadRequest)
	assert.Equal(t, post(`{"down":true}`), http.StatusOK)
	_, err := p.client(t, "").Get(t.Context(), "a")
	assert.Equal(t, client.KindOf(err), client.KindUnknown)
	assert.Equal(t, p.Counters().Total(rememberer.OpGet) > 0, true)
}

func TestDialFailureIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	c, err := client.NewHTTPClient(client.HTTPConfig{Address: address, Clock: clockwork.NewFakeClock()})
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), "a", nil, client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindUnavailable)
}

func TestClientRateLimit(t *testing.T) {
	p := startPlatform(t, registrar.Config{})
	c, err := client.NewHTTPClient(client.HTTPConfig{Address: p.address, Clock: p.clock, WritesPerSecond: 0.1, Burst: 1})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	_, err = c.Put(t.Context(), "a", nil, client.MustNotExist)
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), "b", nil, client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindThrottled)
	p.clock.Advance(10 * time.Second)
	_, err = c.Put(t.Context(), "b", nil, client.MustNotExist)
	assert.NilError(t, err)
}
