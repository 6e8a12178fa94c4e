package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

func TestStreamLimit(t *testing.T) {
	assert.Equal(t, streamLimit(nil), int64(maxUnsizedStream))
	assert.Equal(t, streamLimit(&descriptor.Prompt{}), int64(maxUnsizedStream))
	assert.Equal(t, streamLimit(&descriptor.Prompt{MaxOutput: 100}), int64(maxEventSize+100*maxTokenSize))
	assert.Equal(t, streamLimit(&descriptor.Prompt{MaxOutput: 1 << 40}), int64(maxStreamSize))
}
