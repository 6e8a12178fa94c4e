package fingerprinter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDifferentRequestsShareFingerprint guards against blame for a request that differs in one thing from
// the one that crashes targets.
func TestDifferentRequestsShareFingerprint(t *testing.T) {
	base := Request{Method: "POST", Host: "h", URI: "/pay/1?a=1", Body: [][]byte{[]byte("body")}}
	same := base
	same.Body = [][]byte{nil, []byte("bo"), []byte("dy")}
	assert.Equal(t, Sum(base), Sum(same))
	for _, other := range []Request{
		{Method: "PUT", Host: "h", URI: "/pay/1?a=1", Body: [][]byte{[]byte("body")}},
		{Method: "POST", Host: "g", URI: "/pay/1?a=1", Body: [][]byte{[]byte("body")}},
		{Method: "POST", Host: "h", URI: "/pay/2?a=1", Body: [][]byte{[]byte("body")}},
		{Method: "POST", Host: "h", URI: "/pay/1?a=2", Body: [][]byte{[]byte("body")}},
		{Method: "POST", Host: "h", URI: "/pay/1?a=1", Body: [][]byte{[]byte("bodz")}},
		{Method: "POST", Host: "h", URI: "/pay/1?a=1"},
		{Method: "POST", Host: "h", URI: "/pay/1?a=1b", Body: [][]byte{[]byte("ody")}},
	} {
		assert.Assert(t, Sum(base) != Sum(other), "%+v", other)
	}
}

// BenchmarkSum measures what the fingerprint costs a request: a lookup without a body, a prompt, and the
// longest body.
func BenchmarkSum(b *testing.B) {
	for name, n := range map[string]int{"0": 0, "18KB": 18_000, "4MB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			r := Request{Method: "POST", Host: "host.example", URI: "/path/17/", Body: [][]byte{make([]byte, n)}}
			b.ReportAllocs()
			for b.Loop() {
				Sum(r)
			}
		})
	}
}
