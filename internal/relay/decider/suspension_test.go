package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestSuspensionBacklogDoesNotConfirmConfig guards against the use of revoked keys after a
// suspension. Messages that waited in the receive buffer carry ages that don't include the
// wait.
func TestSuspensionBacklogDoesNotConfirmConfig(t *testing.T) {
	h := newHost(t, "a", 1, 1)
	h.advance(4 * time.Second) // Suspended: no ticks.
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Config: 1, ConfigAge: 10 * time.Millisecond}})
	h.advanceTicking(400 * time.Millisecond)
	effects := h.handle(RequestArrived{Number: 1, ID: "x", Host: "h", Path: "/pay/", Key: key, Timeout: time.Second})
	refuse, ok := requestEffect(effects).(Refuse)
	assert.Assert(t, ok, "a key was accepted that was last confirmed before the suspension: %v", requestEffect(effects))
	assert.Equal(t, refuse.Kind, RefusalUnconfirmed)
	h.advanceTicking(1200 * time.Millisecond) // The ages in later messages are correct.
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 2, Config: 1, ConfigAge: 10 * time.Millisecond}})
	_, ok = requestEffect(h.handle(RequestArrived{Number: 2, ID: "y", Host: "h", Path: "/pay/", Key: key, Timeout: time.Second})).(Send)
	assert.Assert(t, ok, "a key is refused although it was confirmed again")
}

// TestSuspensionBacklogDoesNotConfirmStore guards against imports from a store that restarted
// and was written again during a suspension, because of relayed changes from the receive
// buffer.
func TestSuspensionBacklogDoesNotConfirmStore(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.storesUnconfirmed = true
	h.setStoreParts(storeAddress(2), descriptor.Part{ID: "start", Tokens: 2520}, descriptor.Part{ID: "s", Tokens: 5000})
	h.advance(4 * time.Second) // Suspended: no ticks.
	h.handle(PartsRelayed{Store: storeAddress(2), Boot: 1})
	_, effect := h.request("/long/", key, longPrompt("s"))
	send, ok := effect.(Send)
	assert.Assert(t, ok)
	for _, source := range send.Sources {
		assert.Assert(t, !source.IsValid(), "a part is imported from a store last confirmed before the suspension")
	}
}
