package hasher

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkDigests measures hashing a prompt, per block.
func BenchmarkDigests(b *testing.B) {
	for _, blocks := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			prompt := strings.Repeat("x", blocks*BlockBytes)
			b.ReportAllocs()
			for range b.N {
				Digests(prompt)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*blocks), "ns/block")
		})
	}
}

// BenchmarkKeys measures deriving the keys of a prompt in one scope, per block.
func BenchmarkKeys(b *testing.B) {
	keyer := New(Config{Secret: []byte("secret of 16 bytes")})
	for _, blocks := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			digests := Digests(strings.Repeat("x", blocks*BlockBytes))
			b.ReportAllocs()
			for range b.N {
				keyer.Keys(Scope{Team: "team", Model: "model", Version: "v1"}, digests)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*blocks), "ns/block")
		})
	}
}
