package daemon

import (
	"crypto/rand"
	"encoding/hex"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// requestIDBytes is the number of random bytes of a request ID.
const requestIDBytes = 12

// newRequestID returns a request ID that is unique over all daemons and their lives.
func newRequestID() identifier.Request {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // It never fails.
	return identifier.Request(hex.EncodeToString(raw[:]))
}
