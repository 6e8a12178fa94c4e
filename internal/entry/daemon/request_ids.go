package daemon

import (
	"crypto/rand"
	"encoding/hex"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// requestIDBytes is the number of random bytes of a request ID.
const requestIDBytes = 12

// newRequestID returns a random request ID, unique across daemons and restarts.
func newRequestID() identifier.Request {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // rand.Read never returns an error.
	return identifier.Request(hex.EncodeToString(raw[:]))
}
