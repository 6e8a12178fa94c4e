package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/xxh3"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	*Storer
	client *http.Client
	url    string
}

func newFixture(t *testing.T, change func(*Settings), clock clockwork.Clock) *fixture {
	t.Helper()
	settings := DefaultSettings()
	settings.BlockBytes = 1 << 10
	settings.DiskDelay.Duration = 0
	change(&settings)
	s, err := New(Config{Settings: settings, Clock: clock})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-done)
	})
	return &fixture{Storer: s, client: &http.Client{Transport: transport}, url: "http://" + ln.Addr().String()}
}

// call sends a request and returns the status, the body and the kind of the
// refusal, if any.
func (f *fixture) call(method, path string, body []byte) (int, []byte, Kind, error) {
	req, err := http.NewRequest(method, f.url+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	var refusal messenger.Refusal
	if resp.StatusCode >= http.StatusBadRequest {
		err = json.Unmarshal(answer, &refusal)
	}
	return resp.StatusCode, answer, Kind(refusal.Kind), err
}

func (f *fixture) put(key identifier.BlockKey, payload []byte) (messenger.BlockRef, Kind, error) {
	var ref messenger.BlockRef
	_, answer, kind, err := f.call(http.MethodPut, messenger.PathBlocks+key.String(), payload)
	if err == nil && kind == "" {
		err = json.Unmarshal(answer, &ref)
	}
	return ref, kind, err
}

func (f *fixture) commitRef(ref messenger.BlockRef) (Kind, error) {
	body, err := json.Marshal(ref)
	if err != nil {
		return "", err
	}
	_, _, kind, err := f.call(http.MethodPost, messenger.PathCommit, body)
	return kind, err
}

func (f *fixture) get(ref messenger.BlockRef) ([]byte, Kind, error) {
	_, body, kind, err := f.call(http.MethodGet, fmt.Sprintf("%s%v?generation=%d", messenger.PathBlocks, ref.Key, ref.Generation), nil)
	return body, kind, err
}

// putAndCommit stores a block that must be accepted.
func (f *fixture) putAndCommit(t *testing.T, key identifier.BlockKey, payload []byte) messenger.BlockRef {
	t.Helper()
	ref, kind, err := f.put(key, payload)
	assert.NilError(t, err)
	assert.Equal(t, kind, Kind(""))
	kind, err = f.commitRef(ref)
	assert.NilError(t, err)
	assert.Equal(t, kind, Kind(""))
	return ref
}

func newBlockKey(n byte) identifier.BlockKey { return identifier.BlockKey{n} }

// A block must be readable only after its commit, only with the written checksum
// and only under its current generation.
func TestCommitChecksGenerationAndChecksum(t *testing.T) {
	f := newFixture(t, func(*Settings) {}, clockwork.NewRealClock())
	key, payload := newBlockKey(1), []byte("first")
	ref, _, err := f.put(key, payload)
	assert.NilError(t, err)
	assert.Equal(t, ref.Checksum, xxh3.Hash(payload))

	expect := func(want Kind, got Kind, err error) {
		t.Helper()
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	_, kind, err := f.get(ref)
	expect(KindPartial, kind, err)
	wrong := ref
	wrong.Checksum++
	kind, err = f.commitRef(wrong)
	expect(KindChecksum, kind, err)
	wrong = ref
	wrong.Generation++
	kind, err = f.commitRef(wrong)
	expect(KindMissing, kind, err)
	kind, err = f.commitRef(ref)
	expect("", kind, err)
	body, kind, err := f.get(ref)
	expect("", kind, err)
	assert.DeepEqual(t, body, payload)

	second := f.putAndCommit(t, key, []byte("second"))
	assert.Assert(t, second.Generation > ref.Generation)
	_, kind, err = f.get(ref)
	expect(KindGeneration, kind, err)
	_, _, kind, err = f.call(http.MethodDelete, messenger.PathBlocks+key.String(), nil)
	expect("", kind, err)
	_, kind, err = f.get(second)
	expect(KindMissing, kind, err)
	kind, err = f.commitRef(second)
	expect(KindMissing, kind, err)
}

// A block that is freed while its payload is still being transferred must not be
// stored when the transfer ends.
func TestWriteFailsWhenBlockIsFreedMeanwhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(t, func(s *Settings) { s.LinkBytesPerSecond = s.BlockBytes }, clock)
	key := newBlockKey(1)
	type written struct {
		kind Kind
		err  error
	}
	done := make(chan written, 1)
	go func() {
		_, kind, err := f.put(key, []byte("late"))
		done <- written{kind, err}
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	status, _, _, err := f.call(http.MethodDelete, messenger.PathBlocks+key.String(), nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
	clock.Advance(time.Second)
	late := <-done
	assert.NilError(t, late.err)
	assert.Equal(t, late.kind, KindFreed)
	assert.Equal(t, f.Stats().MemoryBlocks, 0)
}

// The least recently used blocks must move from memory to disk, and be evicted
// only from there.
func TestMemorySpillsToDiskAndEvicts(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.MemoryBytes, s.DiskBytes = 2*s.BlockBytes, s.BlockBytes }, clockwork.NewRealClock())
	refs := make([]messenger.BlockRef, 4)
	for i := range refs {
		refs[i] = f.putAndCommit(t, newBlockKey(byte(i)), []byte{byte(i)})
	}
	_, kind, err := f.get(refs[0])
	assert.NilError(t, err)
	assert.Equal(t, kind, KindMissing)
	stats := f.Stats()
	assert.Equal(t, stats.MemoryBlocks, 2)
	assert.Equal(t, stats.DiskBlocks, 1)
	assert.Equal(t, stats.Evicted, 1)
	body, _, err := f.get(refs[1])
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{1})
	assert.Equal(t, f.Stats().DiskReads, 1)
}

func TestLookupStopsAtFirstMissingBlock(t *testing.T) {
	f := newFixture(t, func(*Settings) {}, clockwork.NewRealClock())
	for _, n := range []byte{1, 2, 4} {
		f.putAndCommit(t, newBlockKey(n), []byte{n})
	}
	_, _, err := f.put(newBlockKey(3), []byte("partial"))
	assert.NilError(t, err)
	body, err := json.Marshal(messenger.LookupRequest{Keys: []identifier.BlockKey{newBlockKey(1), newBlockKey(2), newBlockKey(3), newBlockKey(4)}})
	assert.NilError(t, err)
	_, answer, _, err := f.call(http.MethodPost, messenger.PathLookup, body)
	assert.NilError(t, err)
	var result messenger.LookupResult
	assert.NilError(t, json.Unmarshal(answer, &result))
	assert.Equal(t, len(result.Blocks), 2)
}

// A killed store must come back empty and must not reuse generations; otherwise
// references from before would match other payloads.
func TestKillReviveAndWriteFaults(t *testing.T) {
	f := newFixture(t, func(*Settings) {}, clockwork.NewRealClock())
	ref := f.putAndCommit(t, newBlockKey(1), []byte("x"))
	f.Kill()
	_, _, err := f.get(ref)
	assert.Assert(t, err != nil)
	f.Revive()
	_, kind, err := f.get(ref)
	assert.NilError(t, err)
	assert.Equal(t, kind, KindMissing)
	full, notFull := true, false
	assert.NilError(t, f.Apply(Faults{Full: &full}))
	_, kind, err = f.put(newBlockKey(2), []byte("y"))
	assert.NilError(t, err)
	assert.Equal(t, kind, KindFull)
	assert.NilError(t, f.Apply(Faults{Full: &notFull, DieInNextWrite: true}))
	_, _, err = f.put(newBlockKey(2), []byte("y"))
	assert.Assert(t, err != nil)
	assert.Assert(t, f.Stats().Killed)
	f.Revive()
	assert.Assert(t, f.putAndCommit(t, newBlockKey(1), []byte("x")).Generation > ref.Generation)
}

func TestLinkRateNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		const rate = 1e6
		l := &link{clock: clock, rate: rate}
		var sum int64
		for range rapid.IntRange(1, 60).Draw(t, "transfers") {
			n := rapid.Int64Range(1, 200_000).Draw(t, "bytes")
			clock.Advance(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap")))
			begin, end := l.reserve(n)
			l.recordTransfer(n, begin, end)
			sum += n
		}
		stats := l.snapshot()
		assert.Equal(t, stats.Bytes, sum)
		assert.Assert(t, stats.PeakBytesPerSecond <= rate*1.0001, "peak %v", stats.PeakBytesPerSecond)
	})
}

func TestReadWaitsForLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(t, func(s *Settings) { s.LinkBytesPerSecond = s.BlockBytes }, clock)
	s := f.Storer
	generation := s.blocks.beginWrite(newBlockKey(1))
	ref, err := s.finishWrite(generation, []byte("x"), xxh3.Hash([]byte("x")))
	assert.NilError(t, err)
	assert.NilError(t, s.commit(ref))
	half := 0.5
	assert.NilError(t, s.Apply(Faults{LinkFactor: &half}))
	done := make(chan error, 1)
	go func() {
		_, _, err := f.get(ref)
		done <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(1999 * time.Millisecond)
	assert.Equal(t, s.Stats().Link.Bytes, int64(0))
	clock.Advance(time.Millisecond)
	assert.NilError(t, <-done)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Stats().Link.Bytes == 1<<10 {
			return poll.Success()
		}
		return poll.Continue("the link carries the block")
	}, poll.WithTimeout(waitTimeout))
}
