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
	model  = "model-1"
	key    = "key-1"
	leaseT = 3 * time.Second
)

// host is one host's State with a clock of its own.
type host struct {
	*State
	t   *testing.T
	at  time.Time
	num int64
	// silent stores don't confirm at each request what they hold.
	silent bool
}

// confirmStores lets all stores that were listed answer that nothing changed.
func (h *host) confirmStores() {
	for _, st := range h.stores {
		if st.boot != 0 {
			h.do(PartsChanged{Store: st.Address, AsOf: h.at, Changes: descriptor.PartChanges{Boot: st.boot}})
		}
	}
}

func address(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8080", n))
}

func storeAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("172.20.0.%d:8746", n))
}

// testConfig has engines, a plain service, one fast and one large store.
func testConfig(version int64) *descriptor.Config {
	return &descriptor.Config{
		Version: version, Teams: true,
		Keys: map[string]*descriptor.Team{key: {Name: "team-1", Priority: -1}, "key-2": {Name: "team-2", Priority: -1, Isolated: true}},
		Routes: []descriptor.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: descriptor.KindStream, Timeout: 5 * time.Second, Goal: 300 * time.Millisecond, Priority: 1, Attempts: 1, Shares: []descriptor.Share{{Service: "engines", Weight: 1}}},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: descriptor.KindStream, Timeout: 15 * time.Second, Goal: 200 * time.Millisecond, Attempts: 2, Resumable: true, Shares: []descriptor.Share{{Service: "engines", Weight: 1}}},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: descriptor.KindUnsafe, Goal: 100 * time.Millisecond, Attempts: 1, Shares: []descriptor.Share{{Service: "plain", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: descriptor.KindSafe, Goal: 100 * time.Millisecond, Attempts: 2, Shares: []descriptor.Share{{Service: "plain", Weight: 1}}},
		},
		Services: map[string]*descriptor.Service{
			"engines": {Name: "engines", MaxConnections: 300, ColdRate: 13, Engine: &descriptor.Engine{Slots: 48, MemoryTokens: 63375, TokenBytes: 192512}},
			"plain":   {Name: "plain", Health: "/healthz", MaxConnections: 110},
			"fast":    {Name: "fast", Store: &descriptor.Store{Address: storeAddress(1), DataCentre: "a", Tokens: 176859, LinkMbps: 2e6, FirstByte: 500 * time.Microsecond}},
			"large":   {Name: "large", Store: &descriptor.Store{Address: storeAddress(2), DataCentre: "a", Tokens: 2100206, LinkMbps: 590000, FirstByte: 6 * time.Millisecond}},
		},
	}
}

func engine(n int, version int) descriptor.Target {
	return descriptor.Target{
		ID: fmt.Sprintf("engine-%d", n), Service: "engines", Address: address(n), DataCentre: "a", Slots: 48,
		Born: time.UnixMilli(1), Weights: map[string]int{model: version},
	}
}

func plain(n int) descriptor.Target {
	return descriptor.Target{ID: fmt.Sprintf("plain-%d", n), Service: "plain", Address: address(100 + n), DataCentre: "a", Slots: 6, Born: time.UnixMilli(1)}
}

// newHost returns a host with engines of version 1 and plain targets.
func newHost(t *testing.T, name string, engines, plains int) *host {
	t.Helper()
	h := &host{t: t, at: time.Unix(1000, 0)}
	h.State = New(Config{
		Host: name, DataCentre: "a", Regions: map[string]string{"a": "r"}, Boot: 1, Seed: 7,
		RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, LeaseTerm: leaseT, RevokeAfter: 5 * time.Second, WeightsWithin: 8 * time.Second,
	})
	h.do(ConfigListed{Config: testConfig(1)})
	h.do(ConfigConfirmed{AsOf: h.at})
	var list []descriptor.Target
	for n := range engines {
		list = append(list, engine(n+1, 1))
	}
	for n := range plains {
		list = append(list, plain(n+1))
	}
	h.do(TargetsListed{Targets: list, Whole: true})
	h.do(WeightsNamed{Model: model, Version: 1})
	return h
}

func (h *host) do(ev Event) []Effect { return h.Reduce(ev, h.at) }

// pass lets time pass without any event, as for a host that is suspended.
func (h *host) pass(d time.Duration) { h.at = h.at.Add(d) }

// tick lets time pass with ticks.
func (h *host) tick(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		h.pass(min(every, d))
		h.do(Tick{})
	}
}

// ask brings a request and returns its number and the effect on it.
func (h *host) ask(path, key string, prompt *descriptor.Prompt) (int64, Effect) {
	h.num++
	h.do(ConfigConfirmed{AsOf: h.at})
	if !h.silent {
		h.confirmStores()
	}
	effects := h.do(RequestArrived{Number: h.num, ID: fmt.Sprint("request-", h.num), Host: "h", Path: path, Key: key, Deadline: 5 * time.Second, Prompt: prompt})
	return h.num, own(effects)
}

// own returns the effect on a request, or nil.
func own(effects []Effect) Effect {
	for _, e := range effects {
		switch e.(type) {
		case Send, Refuse, Deliver:
			return e
		}
	}
	return nil
}

// all returns the effects of one type.
func all[E Effect](effects []Effect) []E {
	var list []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			list = append(list, e)
		}
	}
	return list
}

// longPrompt is a prompt with two shared parts.
func longPrompt(subject string) *descriptor.Prompt {
	return &descriptor.Prompt{
		Model: model, Tokens: 9190, MaxOutput: 13,
		Parts: []descriptor.Part{{ID: "start", Tokens: 2520}, {ID: subject, Tokens: 5000}, {ID: "own", Tokens: 1670}},
	}
}

// shortPrompt is a prompt that fits into one piece.
func shortPrompt(subject string) *descriptor.Prompt {
	return &descriptor.Prompt{
		Model: model, Tokens: 827, MaxOutput: 73,
		Parts: []descriptor.Part{{ID: "opening", Tokens: 119}, {ID: subject, Tokens: 531}, {ID: "own", Tokens: 177}},
	}
}

// hold lets a store hold parts of version 1.
func (h *host) hold(store netip.AddrPort, parts ...descriptor.Part) {
	changes := descriptor.PartChanges{Boot: 1, Next: 1}
	for _, p := range parts {
		changes.Changes = append(changes.Changes, descriptor.PartChange{Held: true, Salt: model + ":1", Part: p.ID, Tokens: p.Tokens})
	}
	h.do(PartsChanged{Store: store, Changes: changes, Whole: true, AsOf: h.at})
	h.storeAt(store).bootSeen = h.at.Add(-saveAfter)
}

// reportOf is the report of an engine with a version of the model.
func reportOf(version int) descriptor.Report {
	return descriptor.Report{Weights: map[string]int{model: version}}
}

// cmpAddress compares addresses by value.
var cmpAddress = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// learnLate tells a store's imports to have been late.
func (h *host) learnLate(store netip.AddrPort, late time.Duration) {
	h.now = h.at
	h.learnDelay(&request{sent: h.at.Add(-late), sources: []netip.AddrPort{store}})
}
