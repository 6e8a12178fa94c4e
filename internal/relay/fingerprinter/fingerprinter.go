// Package fingerprinter identifies requests that are repeated.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// size is the size of a fingerprint in bytes.
const size = 16

// Request is what a target sees of a request that stays the same when its caller repeats it, apart from
// the caller itself. The ID, other headers and the framing of the body differ between repeats.
type Request struct {
	Method string
	Host   string
	// URI is the path and query as the caller sent them.
	URI string
	// Body is the body in any number of pieces.
	Body [][]byte
}

// Sum returns the fingerprint of a request, in hexadecimal. Callers can't construct another request with the
// same fingerprint.
func Sum(r Request) string {
	h := sha256.New()
	writeField(h, []byte(r.Method))
	writeField(h, []byte(r.Host))
	writeField(h, []byte(r.URI))
	writeField(h, r.Body...)
	return hex.EncodeToString(h.Sum(nil)[:size])
}

// writeField writes a field with its length, so that a field can't continue in the next one.
func writeField(h hash.Hash, pieces ...[]byte) {
	n := 0
	for _, piece := range pieces {
		n += len(piece)
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = h.Write(length[:]) // Writes to a hash never fail.
	for _, piece := range pieces {
		_, _ = h.Write(piece)
	}
}
