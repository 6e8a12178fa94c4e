package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestBacklogOfASuspensionConfirmsNoKeys: messages that waited in the receive buffer
// while the host was suspended tell ages from before it.
func TestBacklogOfASuspensionConfirmsNoKeys(t *testing.T) {
	h := newHost(t, "a", 1, 1)
	h.pass(4 * time.Second) // Suspended: no tick comes.
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 1, Config: 1, ConfigAge: 10 * time.Millisecond}})
	h.tick(400 * time.Millisecond)
	effects := h.do(RequestArrived{Number: 1, ID: "x", Host: "h", Path: "/pay/", Key: key, Deadline: time.Second})
	refuse, ok := own(effects).(Refuse)
	assert.Assert(t, ok, "a key is used that was confirmed only before the suspension: %v", own(effects))
	assert.Equal(t, refuse.Kind, RefusalUnconfirmed)
	h.tick(1200 * time.Millisecond) // Messages that come later are as old as they say.
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 2, Config: 1, ConfigAge: 10 * time.Millisecond}})
	_, ok = own(h.do(RequestArrived{Number: 2, ID: "y", Host: "h", Path: "/pay/", Key: key, Deadline: time.Second})).(Send)
	assert.Assert(t, ok, "a key stays out of use after it was confirmed")
}

// TestBacklogOfASuspensionConfirmsNoStore: a store may have restarted meanwhile and
// be written again.
func TestBacklogOfASuspensionConfirmsNoStore(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.silent = true
	h.hold(storeAddress(2), descriptor.Part{ID: "start", Tokens: 2520}, descriptor.Part{ID: "s", Tokens: 5000})
	h.pass(4 * time.Second) // Suspended: no tick comes.
	h.do(PartsTold{Store: storeAddress(2), Boot: 1})
	_, effect := h.ask("/long/", key, longPrompt("s"))
	send, ok := effect.(Send)
	assert.Assert(t, ok)
	for _, source := range send.Sources {
		assert.Assert(t, !source.IsValid(), "a part is imported that the store was last known to hold before the suspension")
	}
}
