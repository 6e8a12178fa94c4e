package specifier

import (
	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Model is the configuration of one model.
type Model struct {
	// Version is the weight version that targets must have; required.
	Version identifier.WeightVersion `json:"version"`
	// Adapters lists the adapters that requests may use.
	Adapters []identifier.Adapter `json:"adapters,omitempty"`
	// MaxPromptTokens is the maximum length of a prompt, in tokens; 1 to 16777216.
	MaxPromptTokens int `json:"max-prompt-tokens"`
	// MaxOutputTokens is the maximum length of an output, in tokens; 1 to 16777216.
	MaxOutputTokens int `json:"max-output-tokens"`
	// BlockBytes is the size of one cache block in a transfer, in bytes; 1 to 1099511627776.
	BlockBytes int64 `json:"block-bytes"`
}

// Limits of a model's values.
const (
	maxTokens     = 1 << 24
	maxBlockBytes = 1 << 40
)

// DefaultModel returns the defaults for a model.
func DefaultModel() Model {
	return Model{MaxPromptTokens: 32_768, MaxOutputTokens: 4_096, BlockBytes: 64 << 20}
}

// SetDefaults sets m to DefaultModel.
func (m *Model) SetDefaults() { *m = DefaultModel() }

func (v *validator) checkModel(key string, m Model) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	if m.Version == "" {
		v.Reportf(at("version"), "is empty, want the weight version in force")
	}
	checkDistinct(v, at("adapters"), m.Adapters)
	decoder.CheckRange(&v.Reporter, at("max-prompt-tokens"), m.MaxPromptTokens, 1, maxTokens)
	decoder.CheckRange(&v.Reporter, at("max-output-tokens"), m.MaxOutputTokens, 1, maxTokens)
	decoder.CheckRange(&v.Reporter, at("block-bytes"), m.BlockBytes, 1, maxBlockBytes)
}
