package watcher

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

// TestStaleVersionsAreIgnored guards against a return to an old configuration when a
// peer offers an older version or the platform returns a stale one.
func TestStaleVersionsAreIgnored(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	store, err := rememberer.New(rememberer.Config{Clock: clock})
	assert.NilError(t, err)
	first, err := store.Put(ctx, specifier.FleetKey, []byte("first"), client.MustNotExist)
	assert.NilError(t, err)
	stale := store.Revision()
	second, err := store.Put(ctx, specifier.FleetKey, []byte("second"), first.Version)
	assert.NilError(t, err)

	var adopted []uint64
	w, err := New(Config{
		Store: store, Clock: clock, Jitter: client.NewJitter(rand.New(rand.NewPCG(1, 1))),
		Rank: func() int { return 0 }, Adopt: func(version uint64, _ []byte) { adopted = append(adopted, version) },
	})
	assert.NilError(t, err)
	assert.Assert(t, w.Offer(first.Version, first.Value))
	assert.NilError(t, w.read(ctx))
	store.SetStale(stale)
	assert.NilError(t, w.read(ctx))
	assert.Assert(t, !w.Offer(first.Version, first.Value))
	assert.Assert(t, !w.Offer(second.Version, second.Value))
	assert.DeepEqual(t, adopted, []uint64{first.Version, second.Version})
	assert.Equal(t, w.Version(), second.Version)
}
