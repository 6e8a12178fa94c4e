package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// cannedTransport returns the same response body for each request.
type cannedTransport struct{ body []byte }

func (t cannedTransport) RoundTripper(dialer.Endpoint) (http.RoundTripper, error) { return t, nil }

func (t cannedTransport) CloseAll() {}

func (t cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(t.body)), Request: r}, nil
}

// countingSink counts the tokens of a response.
type countingSink struct{ tokens int }

func (s *countingSink) Started(reducer.ResponseStarted) {}
func (s *countingSink) Token(int, string) error         { s.tokens++; return nil }

func cannedResponse(b *testing.B, attempt identifier.Attempt, tokens int) []byte {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for i := range tokens + 1 {
		frame := messenger.GenerateFrame{RequestID: attempt.Request, Attempt: attempt.Number, Offset: i, Token: " word", Incarnation: 7}
		if i == tokens {
			frame.Token, frame.Done = "", true
		}
		if err := enc.Encode(frame); err != nil {
			b.Fatal(err)
		}
	}
	return body.Bytes()
}

// BenchmarkGenerate measures reading and validating the frames of a response.
func BenchmarkGenerate(b *testing.B) {
	attempt := identifier.Attempt{Request: "0192f0c1-8c5a-7cc0-a8a1-3b8f5f9a1c11", Number: 1}
	for _, tokens := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			clock := clockwork.NewRealClock()
			c, err := New(Config{Transports: cannedTransport{cannedResponse(b, attempt, tokens)}, Clock: clock})
			if err != nil {
				b.Fatal(err)
			}
			start := reducer.Start{Attempt: attempt, Target: "t", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 7, Deadline: clock.Now().Add(time.Hour), StallTimeout: time.Minute}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sink := &countingSink{}
				ev := c.Generate(context.Background(), start, messenger.GenerateRequest{RequestID: attempt.Request}, sink)
				if sink.tokens != tokens {
					b.Fatalf("got %d tokens, want %d: %+v", sink.tokens, tokens, ev)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}
