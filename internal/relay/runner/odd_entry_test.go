package runner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// deepNesting is a value that nests deeper than decoders bear.
var deepNesting = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// TestOddEntryStopsHost guards against hosts that don't start, or don't follow changes, because another
// writer left an entry that can't be decoded among those of the platform.
func TestOddEntryStopsHost(t *testing.T) {
	for name, odd := range map[string]string{
		"deep": deepNesting, "deep field": `{"service":"plain","x":` + deepNesting + `}`, "large number": `{"service":"plain","slots":1e999}`,
		"port out of range": `{"service":"plain","addr":"10.0.0.1:99999","zone":"a","state":"ready"}`, "other type": `7`, "unreadable": "{\"service\":\"\x00\"}",
		"breaks off": `{"service":"plain","addr":"127.0.`, "closes too much": `}}],"currentRev":999999}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := imitator.NewStore()
			store.Put(caller.KindConfig, caller.ConfigName, fmt.Sprintf(testConfig, 1))
			kinds := []string{caller.KindConfig, caller.KindTargets, caller.KindEvacuations, caller.KindWeights, caller.KindHosts, caller.KindQuarantine}
			for _, kind := range kinds {
				if kind != caller.KindEvacuations { // The name alone takes a data centre out of service.
					store.Put(kind, "an-odd-one", odd)
				}
			}
			targets := []*imitator.Target{{ID: "p-1"}, {ID: "p-2"}}
			put := func(target *imitator.Target) {
				srv := httptest.NewServer(target)
				t.Cleanup(srv.Close)
				store.Put(caller.KindTargets, target.ID, imitator.TargetSpec(descriptor.Target{
					ID: target.ID, Service: "plain", DataCentre: "a", Slots: 8, StartedAt: time.UnixMilli(1), Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
				}))
			}
			put(targets[0])
			r := startRelayOn(t, store, timer.BootClock{})
			status, _, err := r.send("/look/1", "a", "key", "")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)

			for _, kind := range kinds[1:] {
				if kind != caller.KindEvacuations {
					store.Put(kind, "another-odd-one", odd)
				}
			}
			store.Remove(caller.KindTargets, "p-1")
			put(targets[1])
			const applied = 2 * time.Second
			time.Sleep(applied)
			for n := range 5 {
				id := fmt.Sprint("b-", n)
				status, _, err := r.send("/look/1", id, "key", "")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, targets[1].Runs(id), 1, "a removed target is used")
			}
		})
	}
}
