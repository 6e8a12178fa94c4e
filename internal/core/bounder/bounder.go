// Package bounder bounds the memory for bytes that other processes send, which may never end.
package bounder

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies errors of this package.
type Kind string

const (
	// KindTooLong reports more bytes than a buffer's limit.
	KindTooLong Kind = "too-long"
	// KindExhausted reports that the budget for all buffers is spent.
	KindExhausted Kind = "exhausted"
)

// Error describes bytes that were not read.
type Error struct{ failer.Detail[Kind] }

func newError(kind Kind, format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: "read", Kind: kind, Err: errors.Newf(format, args...)}}
}

// MaxHeaderBytes bounds the headers of a response.
const MaxHeaderBytes = 64 << 10

const (
	// initialBytes is the first size of a buffer.
	initialBytes = 2 << 10
	// freeBytes is the part of each buffer that isn't taken from the budget, so that bytes without
	// end in some buffers don't keep others from holding short answers.
	freeBytes = 16 << 10
	// maxChunkBytes is the most memory that ReadAll allocates at once for bytes to come.
	maxChunkBytes = 64 << 10
)

// Ledger is an account of which buffers are only a part.
type Ledger interface {
	// Reserve takes n bytes. It returns false if there is no room.
	Reserve(n int) bool
	// Return gives n bytes back.
	Return(n int)
}

// Budget bounds the bytes in all buffers of one kind. It is safe for concurrent use. A nil Budget
// has no bound.
type Budget struct {
	size int64
	used atomic.Int64
	// ledger replaces size if it isn't nil.
	ledger Ledger
}

// NewBudget returns a Budget of the given number of bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size} }

// NewLedgerBudget returns a Budget of what the ledger has.
func NewLedgerBudget(ledger Ledger) *Budget { return &Budget{ledger: ledger} }

// Used returns the number of bytes in use, without the free part of each buffer.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) take(n int) error {
	if b == nil || n == 0 {
		return nil
	}
	if b.ledger != nil {
		if !b.ledger.Reserve(n) {
			return newError(KindExhausted, "callers hold too much memory")
		}
		b.used.Add(int64(n))
		return nil
	}
	if b.used.Add(int64(n)) > b.size {
		b.used.Add(-int64(n))
		return newError(KindExhausted, "all buffers together hold more than %d bytes", b.size)
	}
	return nil
}

func (b *Budget) giveBack(n int) {
	if b == nil || n == 0 {
		return
	}
	b.used.Add(-int64(n))
	if b.ledger != nil {
		b.ledger.Return(n)
	}
}

// NewBuffer returns a Buffer for at most limit bytes.
func (b *Budget) NewBuffer(limit int) *Buffer { return &Buffer{budget: b, limit: limit} }

// Buffer holds bytes that were read and not yet used. Call Release when done.
type Buffer struct {
	budget *Budget
	limit  int
	data   []byte
	// taken is the number of bytes taken from the budget.
	taken int
}

// Bytes returns the bytes in the buffer, until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Fill reads once from r and returns the number of bytes read. It returns an Error if they exceed
// the limit, or if the budget is spent; other errors are those of r.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if len(b.data) > b.limit {
		return n, b.tooLong()
	}
	return n, err
}

func (b *Buffer) grow() error {
	size := min(max(2*cap(b.data), initialBytes), b.limit+1)
	if err := b.take(size); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// take takes what a buffer of the given size needs from the budget.
func (b *Buffer) take(size int) error {
	needed := max(b.taken, size-freeBytes)
	if err := b.budget.take(needed - b.taken); err != nil {
		return err
	}
	b.taken = needed
	return nil
}

// Chunks are bytes in several pieces.
type Chunks [][]byte

// Len returns the number of bytes.
func (c Chunks) Len() int {
	n := 0
	for _, chunk := range c {
		n += len(chunk)
	}
	return n
}

// ReadChunks reads r to its end in pieces, which belong to the buffer until it is released. Its errors are those of
// Fill without io.EOF; with one, the chunks are what was read before.
func (b *Buffer) ReadChunks(r io.Reader) (Chunks, error) {
	var full Chunks
	last, held := b.data, len(b.data)
	b.data = nil
	for {
		if len(last) == cap(last) {
			size := min(max(held, initialBytes), maxChunkBytes)
			if err := b.take(held + size); err != nil {
				return append(full, last), err
			}
			full, last = append(full, last), make([]byte, 0, size)
		}
		n, err := r.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		held += n
		switch {
		case held > b.limit:
			return append(full, last), b.tooLong()
		case errors.Is(err, io.EOF):
			return append(full, last), nil
		case err != nil:
			return append(full, last), err
		}
	}
}

// ReadAll reads r to its end and returns the number of bytes read. Its errors are those of Fill
// without io.EOF; after one, the buffer holds only some of the bytes.
func (b *Buffer) ReadAll(r io.Reader) (int, error) {
	before := len(b.data)
	chunks, err := b.ReadChunks(r) // Bytes without end are never copied.
	n := chunks.Len()
	if err == nil && n > len(chunks[len(chunks)-1]) {
		b.data = slices.Concat(chunks...)
	} else {
		b.data = chunks[len(chunks)-1]
	}
	return n - before, err
}

func (b *Buffer) tooLong() error { return newError(KindTooLong, "more than %d bytes", b.limit) }

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) { b.data = b.data[:copy(b.data, b.data[n:])] }

// Release gives the memory back to the budget and empties the buffer.
func (b *Buffer) Release() {
	b.budget.giveBack(b.taken)
	b.taken, b.data = 0, nil
}

// ReadAll reads r to its end. The bytes belong to the budget while they are read; the caller
// should decode them at once. It returns an Error after limit bytes, or if the budget is spent.
func (b *Budget) ReadAll(r io.Reader, limit int) ([]byte, error) {
	buf := b.NewBuffer(limit)
	defer buf.Release()
	if _, err := buf.ReadAll(r); err != nil {
		return nil, err
	}
	return buf.data, nil
}

// ReadAll reads r to its end. It returns an Error of KindTooLong after limit bytes.
func ReadAll(r io.Reader, limit int) ([]byte, error) { return (*Budget)(nil).ReadAll(r, limit) }
