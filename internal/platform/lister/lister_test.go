package lister

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// listTransport responds with the next list at each request, and fails when none is left.
type listTransport struct{ next []messenger.Members }

func (t *listTransport) RoundTrip(*http.Request) (*http.Response, error) {
	if len(t.next) == 0 {
		return nil, errors.New("no response")
	}
	data, err := json.Marshal(t.next[0])
	t.next = t.next[1:]
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
}

// TestFailedAndStaleReadsKeepLastList guards against a list that is replaced by an
// older one, or lost when a read fails.
func TestFailedAndStaleReadsKeepLastList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	list := func(age time.Duration, names ...string) messenger.Members {
		members := messenger.Members{AsOf: start.Add(-age)}
		for _, name := range names {
			members.Members = append(members.Members, messenger.Member{Name: name})
		}
		return members
	}
	transport := &listTransport{next: []messenger.Members{
		list(2*time.Second, "a"), list(3*time.Second, "old"), list(time.Second, "a"), list(0, "a", "b"),
	}}
	changes := 0
	l, err := New(Config{
		Clock:     clock,
		Transport: transport,
		URL:       "http://platform",
		OnChange:  func(messenger.Members) { changes++ },
	})
	assert.NilError(t, err)
	_, known := l.List()
	assert.Assert(t, !known)
	steps := []struct {
		members  int
		failures int
		changes  int
	}{{1, 0, 1}, {1, 1, 1}, {1, 0, 1}, {2, 0, 2}, {2, 1, 2}, {2, 2, 2}}
	for _, step := range steps {
		assert.Assert(t, l.poll(context.Background()) > 0)
		got, _ := l.List()
		assert.Equal(t, len(got.Members.Members), step.members)
		assert.Equal(t, got.Failures, step.failures)
		assert.Equal(t, changes, step.changes)
	}
	clock.Advance(time.Minute)
	age, known := l.Age()
	assert.Assert(t, known && age == time.Minute)
}
