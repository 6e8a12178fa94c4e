package lister

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// fixedListTransport responds to each request with the same list.
type fixedListTransport struct{ body []byte }

func (l fixedListTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(l.body)), Request: r}, nil
}

// BenchmarkRead measures one read of the membership list.
func BenchmarkRead(b *testing.B) {
	for _, members := range []int{32, 1000, 13000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var list messenger.Members
			for i := range members {
				list.Members = append(list.Members, messenger.Member{Name: fmt.Sprintf("target-%05d", i), Role: messenger.RoleTarget, DataCentre: "dc-00", State: messenger.MemberLive})
			}
			body, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			l, err := New(Config{Clock: clockwork.NewRealClock(), Transport: fixedListTransport{body}, URL: "http://127.0.0.1:1"})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := l.Read(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "B")
		})
	}
}
