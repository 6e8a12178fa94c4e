package scanner

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEndsOfEvents(t *testing.T) {
	for _, c := range []struct{ complete, rest string }{
		{"", ""},
		{"id: 1\ndata: a\n\n", ""},
		{"id: 1\ndata: a\n\n", "id: 2"},
		{"", "id: 1\ndata: a\n"},
		{"", "id: 1\ndata: a"},
		{"id: 1\r\ndata: a\r\n\r\n", ""},
		{"id: 1\r\ndata: a\r\n\r", ""},
		{"", "id: 1\r\ndata: a\r\n"},
		{"id: 1\rdata: a\r\r", ""},
		{"data: a\n\n: comment\n", ""},
		{"data: a\n\n", ": comm"},
		{"", "data: a\n: comment\n"},
		{"data: a\n: comment\n\n", ""},
		{"\n\n", ""},
		{"", "bytes that are no event"},
		{"data: \n\ndata: b\n\n\n", "data: c\nd"},
	} {
		var s Scanner
		stream := c.complete + c.rest
		assert.Equal(t, s.Scan([]byte(stream)), len(c.complete), "%q", stream)
		assert.Equal(t, s.InsideEvent(), c.rest != "", "%q", stream)
	}
}

// TestEndsDoNotDependOnReads checks that a stream has the same ends of events however it is split
// into reads.
func TestEndsDoNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SampledFrom([]string{"\n", "\r", "\r\n", ":", "id: 1", "data: x", " "})).Draw(t, "pieces")
		stream := []byte(strings.Join(pieces, ""))
		var whole Scanner
		want := whole.Scan(stream)
		var split Scanner
		got, at := 0, 0
		for at < len(stream) {
			n := rapid.IntRange(1, len(stream)-at).Draw(t, "read")
			if end := split.Scan(stream[at : at+n]); end > 0 {
				got = at + end
			}
			at += n
		}
		assert.Equal(t, got, want)
		assert.Equal(t, split.InsideEvent(), whole.InsideEvent())
	})
}
