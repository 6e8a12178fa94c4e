package bounder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func kindOf(t *testing.T, err error) Kind {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Kind
}

func readAll(t *testing.T, b *Buffer, text string) {
	t.Helper()
	n, err := b.ReadAll(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
}

func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, initialBytes - 1, initialBytes, initialBytes + 1, 9_999, 10_000} {
		want := bytes.Repeat([]byte("x"), size)
		got, err := ReadAll(iotest.HalfReader(bytes.NewReader(want)), 10_000)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want), "%d bytes", size)
	}
	_, err := ReadAll(strings.NewReader(strings.Repeat("x", 10_001)), 10_000)
	assert.Equal(t, kindOf(t, err), KindTooLong)
	_, err = ReadAll(endless{}, 10_000)
	assert.Equal(t, kindOf(t, err), KindTooLong)
	_, err = ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestEndlessBytesLeaveRoomForShortAnswers checks that the budget bounds all buffers together,
// but not their free part, and that released bytes can be used again.
func TestEndlessBytesLeaveRoomForShortAnswers(t *testing.T) {
	budget := NewBudget(100_000)
	var held []*Buffer
	for range 20 {
		b := budget.NewBuffer(1 << 20)
		held = append(held, b)
		n, err := b.ReadAll(endless{})
		assert.Equal(t, kindOf(t, err), KindExhausted)
		assert.Assert(t, n <= 100_000+freeBytes)
		assert.Assert(t, budget.Used() <= 100_000)
	}
	short := budget.NewBuffer(1 << 20)
	readAll(t, short, strings.Repeat("x", freeBytes/2))
	for _, b := range append(held, short) {
		b.Release()
		b.Release()
	}
	assert.Equal(t, budget.Used(), int64(0))
	long := budget.NewBuffer(1 << 20)
	readAll(t, long, strings.Repeat("x", 2*freeBytes))
	assert.Assert(t, budget.Used() > 0)
}

func TestDiscardKeepsTheRest(t *testing.T) {
	b := NewBudget(0).NewBuffer(10)
	readAll(t, b, "0123456789")
	b.Discard(7)
	assert.Equal(t, string(b.Bytes()), "789")
	readAll(t, b, "abcdefg")
	assert.Equal(t, string(b.Bytes()), "789abcdefg")
	_, err := b.ReadAll(endless{})
	assert.Equal(t, kindOf(t, err), KindTooLong)
}
