package decider

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	model     = "model-1"
	key       = "key-1"
	leaseTerm = 3 * time.Second
)

// host is the State of one host with its own clock.
type host struct {
	*State
	t          testing.TB
	clock      time.Time
	lastNumber int64
	// storeRevision is the revision of the platform's store.
	storeRevision int64
	// storesUnconfirmed is true when stores don't confirm their content before each request.
	storesUnconfirmed bool
}

// confirmStores lets all known stores answer that nothing changed.
func (h *host) confirmStores() {
	for _, st := range h.stores {
		if st.boot != 0 {
			h.handle(PartsChanged{Store: st.Address, AsOf: h.clock, Changes: descriptor.PartChanges{Boot: st.boot}})
		}
	}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080)
}

func storeAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("172.20.0.%d:8746", n))
}

// testSalt is the salt of parts of version 1 under testConfig, except those of isolated teams.
var testSalt = model + ":1:" + commonScope([]string{"team-2"})

// testConfig returns a configuration with engines, a plain service, a fast and a large store.
func testConfig(version int64) *descriptor.Config {
	return &descriptor.Config{
		Version: version, KeysRequired: true,
		Keys:          map[string]*descriptor.Team{key: {Name: "team-1", Priority: -1}, "key-2": {Name: "team-2", Priority: -1}},
		IsolatedTeams: []string{"team-2"},
		Routes: []descriptor.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: descriptor.KindStream, Timeout: 5 * time.Second, Goal: 300 * time.Millisecond, Priority: 1, Attempts: 1, Shares: []descriptor.Share{{Service: "engines", Weight: 1}}},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: descriptor.KindStream, Timeout: 15 * time.Second, Goal: 200 * time.Millisecond, Attempts: 2, Resumable: true, Shares: []descriptor.Share{{Service: "engines", Weight: 1}}},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: descriptor.KindUnsafe, Goal: 100 * time.Millisecond, Attempts: 1, Shares: []descriptor.Share{{Service: "plain", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: descriptor.KindSafe, Goal: 100 * time.Millisecond, Attempts: 2, Shares: []descriptor.Share{{Service: "plain", Weight: 1}}},
		},
		Services: map[string]*descriptor.Service{
			"engines": {Name: "engines", MaxConnections: 300, ColdRate: 13, Engine: &descriptor.Engine{Slots: 48, MemoryTokens: 63375, TokenBytes: 192512}},
			"plain":   {Name: "plain", HealthPath: "/healthz", MaxConnections: 110},
			"fast":    {Name: "fast", Store: &descriptor.Store{Address: storeAddress(1), DataCentre: "a", CapacityTokens: 176859, LinkMbps: 2e6, TransferLatency: 500 * time.Microsecond}},
			"large":   {Name: "large", Store: &descriptor.Store{Address: storeAddress(2), DataCentre: "a", CapacityTokens: 2100206, LinkMbps: 590000, TransferLatency: 6 * time.Millisecond}},
		},
	}
}

func engineTarget(n int, version int) descriptor.Target {
	return descriptor.Target{
		ID: fmt.Sprintf("engine-%d", n), Service: "engines", Address: address(n), DataCentre: "a", Slots: 48,
		StartedAt: time.UnixMilli(1), Weights: map[string]int{model: version},
	}
}

func plainTarget(n int) descriptor.Target {
	return descriptor.Target{ID: fmt.Sprintf("plain-%d", n), Service: "plain", Address: address(100 + n), DataCentre: "a", Slots: 6, StartedAt: time.UnixMilli(1)}
}

// newUnconfiguredHost returns a host that knows nothing yet.
func newUnconfiguredHost(tb testing.TB, name, dataCentre string) *host {
	tb.Helper()
	h := &host{t: tb, clock: time.Unix(1000, 0)}
	h.State = New(Config{
		Host: name, DataCentre: dataCentre, Regions: map[string]string{dataCentre: "r"}, Boot: 1, Seed: 7,
		RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, LeaseTerm: leaseTerm, RevokeAfter: 5 * time.Second, WeightsWithin: 8 * time.Second,
	})
	return h
}

// newHost returns a host with plain targets and with engines of version 1.
func newHost(t *testing.T, name string, engines, plains int) *host {
	t.Helper()
	h := newUnconfiguredHost(t, name, "a")
	h.handle(ConfigListed{Config: testConfig(1)})
	h.handle(ConfigConfirmed{AsOf: h.clock})
	var list []descriptor.Target
	for n := range engines {
		list = append(list, engineTarget(n+1, 1))
	}
	for n := range plains {
		list = append(list, plainTarget(n+1))
	}
	h.handle(TargetsListed{Targets: list, Whole: true})
	h.handle(DesiredWeightsChanged{Model: model, Version: 1, Listed: true})
	return h
}

// nameWeights lets the host learn of a version at the moment it is named.
func (h *host) nameWeights(version int) {
	h.storeRevision = max(h.storeRevision, h.lease.Revision)
	h.handle(RevisionConfirmed{Revision: h.storeRevision, AsOf: h.clock})
	h.storeRevision++
	h.handle(DesiredWeightsChanged{Model: model, Version: version, Revision: h.storeRevision})
}

func (h *host) handle(ev Event) []Effect { return h.Reduce(ev, h.clock) }

// advance lets time pass without events, as while a host is suspended.
func (h *host) advance(d time.Duration) { h.clock = h.clock.Add(d) }

// advanceTicking lets time pass with ticks.
func (h *host) advanceTicking(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		h.advance(min(every, d))
		h.handle(Tick{})
	}
}

// request handles the arrival of a request and returns its number and the effect on it.
func (h *host) request(path, key string, prompt *descriptor.Prompt) (int64, Effect) {
	h.lastNumber++
	h.handle(ConfigConfirmed{AsOf: h.clock})
	if !h.storesUnconfirmed {
		h.confirmStores()
	}
	effects := h.handle(RequestArrived{Number: h.lastNumber, ID: fmt.Sprint("request-", h.lastNumber), Host: "h", Path: path, Key: key, Timeout: 5 * time.Second, Prompt: prompt})
	return h.lastNumber, requestEffect(effects)
}

// requestEffect returns the effect that sends or ends a request, or nil.
func requestEffect(effects []Effect) Effect {
	for _, e := range effects {
		switch e.(type) {
		case Send, Refuse, DeliverErrorResponse:
			return e
		}
	}
	return nil
}

// effectsOf returns the effects of type E.
func effectsOf[E Effect](effects []Effect) []E {
	var list []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			list = append(list, e)
		}
	}
	return list
}

// longPrompt returns a prompt with two shared parts.
func longPrompt(subject string) *descriptor.Prompt {
	return &descriptor.Prompt{
		Model: model, Tokens: 9190, MaxOutput: 13,
		Parts: []descriptor.Part{{ID: "start", Tokens: 2520}, {ID: subject, Tokens: 5000}, {ID: "own", Tokens: 1670}},
	}
}

// shortPrompt returns a prompt of a single prefill chunk.
func shortPrompt(subject string) *descriptor.Prompt {
	return &descriptor.Prompt{
		Model: model, Tokens: 827, MaxOutput: 73,
		Parts: []descriptor.Part{{ID: "opening", Tokens: 119}, {ID: subject, Tokens: 531}, {ID: "own", Tokens: 177}},
	}
}

// setStoreParts makes a store hold exactly the given parts of version 1.
func (h *host) setStoreParts(store netip.AddrPort, parts ...descriptor.Part) {
	changes := descriptor.PartChanges{Boot: 1, Next: 1}
	for _, p := range parts {
		changes.Changes = append(changes.Changes, descriptor.PartChange{Held: true, Salt: testSalt, Part: p.ID, Tokens: p.Tokens})
	}
	h.handle(PartsChanged{Store: store, Changes: changes, Whole: true, AsOf: h.clock})
	h.storeByAddress(store).bootSeenAt = h.clock.Add(-saveDelayAfterBoot)
}

// newReport returns the report of an engine with the given version of the model.
func newReport(version int) descriptor.Report {
	return descriptor.Report{Weights: map[string]int{model: version}}
}

// cmpAddress compares addresses by value.
var cmpAddress = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// delayImports records that an import from a store was late by the given time.
func (h *host) delayImports(store netip.AddrPort, late time.Duration) {
	h.now = h.clock
	h.observeStoreDelay(&request{sentAt: h.clock.Add(-late), sources: []netip.AddrPort{store}})
}
