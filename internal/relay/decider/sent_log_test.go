package decider

import (
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestSentLineLacksParts guards against logs that can't tell which part the requests at a crashed
// engine have in common, and whether it was imported.
func TestSentLineLacksParts(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.setStoreParts(storeAddress(1), descriptor.Part{ID: "start", Tokens: 2520})
	h.lastNumber++
	h.handle(ConfigConfirmed{AsOf: h.clock})
	effects := h.handle(RequestArrived{Number: h.lastNumber, ID: "r", Host: "h", Path: "/long/", Key: key, Prompt: longPrompt("subject")})
	var fields map[any]any
	for _, line := range effectsOf[LogEntry](effects) {
		if line.Event != "sent" {
			continue
		}
		fields = map[any]any{}
		for i := 0; i+1 < len(line.Fields); i += 2 {
			fields[line.Fields[i]] = line.Fields[i+1]
		}
	}
	assert.Equal(t, fields["parts"], "start@"+storeAddress(1).String()+",subject")
}
