package claimer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

// BenchmarkClaim counts the calls to the platform and the bytes written for each
// claimed and answered request, for several sizes of the response body.
func BenchmarkClaim(b *testing.B) {
	for _, body := range []int{256, 4096, 65536} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			clock := clockwork.NewRealClock()
			store, err := rememberer.New(rememberer.Config{Clock: clock})
			if err != nil {
				b.Fatal(err)
			}
			written := 0
			store.SetHook(func(c rememberer.Call) rememberer.Fault {
				written += len(c.Value)
				return rememberer.FaultNone
			})
			c, err := New(Config{
				Store: store, Clock: clock, Jitter: client.NewJitter(rand.New(rand.NewPCG(1, 1))), Secret: []byte("secret of 16 bytes"),
			})
			if err != nil {
				b.Fatal(err)
			}
			answer := Answer{Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte("x"), body)}
			b.ResetTimer()
			for i := range b.N {
				claimOnce(b, c, i, answer)
			}
			n := float64(b.N)
			b.ReportMetric(float64(store.Calls(rememberer.OpPut))/n, "writes/claim")
			b.ReportMetric(float64(store.Calls(rememberer.OpGet))/n, "reads/claim")
			b.ReportMetric(float64(written)/n, "B-written/claim")
		})
	}
}

func claimOnce(b *testing.B, c *Claimer, i int, answer Answer) {
	ctx := context.Background()
	outcome, err := c.Claim(ctx, ClaimRequest{
		Team: "team-00001", Key: fmt.Sprint(i), Request: identifier.Request(fmt.Sprintf("request-%d", i)), Fingerprint: "0123456789abcdef",
	})
	if err != nil {
		b.Fatal(err)
	}
	won, ok := outcome.(Won)
	if !ok {
		b.Fatalf("claim %d ended as %T", i, outcome)
	}
	if err := c.Answer(ctx, won.Held, answer); err != nil {
		b.Fatal(err)
	}
}
