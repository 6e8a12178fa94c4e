package gossiper

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestRelayedPartsAreSmall guards against messages about stores that fill the link of an aggregator.
// The hosts of a large fleet save 2,000 parts a second, and an aggregator sends each change to forty
// hosts; that may take a quarter of a link of 20 Mbit/s if two aggregators share the stores.
func TestRelayedPartsAreSmall(t *testing.T) {
	const changes, changesPerSecond, receivers, link = 400, 2000, 40, 20e6 / 8
	parts := decider.PartsRelayed{
		Store: netip.MustParseAddrPort("172.20.0.4:8482"), Boot: 53227583204012, Age: 123 * time.Millisecond, Next: 70, Held: 200, Counted: true, PassedOn: true,
	}
	for n := range changes {
		parts.Changes = append(parts.Changes, descriptor.PartChange{Held: n%7 != 0, Salt: fmt.Sprint("daka510000:", n/300), Part: fmt.Sprintf("%08x", n), Tokens: 5000 * min(1, n%7)})
	}
	raw, err := cbor.Marshal(encodeParts(parts))
	assert.NilError(t, err)
	var decoded relayedParts
	assert.NilError(t, cbor.Unmarshal(raw, &decoded))
	assert.DeepEqual(t, decodeParts(decoded), parts, cmpopts.EquateComparable(netip.AddrPort{}))
	used := float64(len(raw)) / changes * changesPerSecond * receivers / 2 / link
	t.Logf("%d bytes for %d changes, %.2f of the link", len(raw), changes, used)
	assert.Assert(t, used < 0.25, "%.2f of the link", used)
}
