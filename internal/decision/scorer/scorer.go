// Package scorer estimates the time to first token of a prompt on a target and
// decides whether to import cached blocks of the prompt from a store.
package scorer

import "time"

// Target describes one candidate target.
type Target struct {
	// QueueWait is the expected wait before prefill starts.
	QueueWait time.Duration
	// PrefillTokensPerSecond is the target's prefill rate.
	PrefillTokensPerSecond float64
	// CachedBlocks is the assumed number of leading blocks in the target's cache.
	CachedBlocks int
	// Penalty is added to the time for other reasons, such as distance.
	Penalty time.Duration
}

// Prompt describes the prompt to place.
type Prompt struct {
	// Tokens is the length of the prompt, BlockTokens that of one block.
	Tokens      int
	BlockTokens int
	// StoredBlocks is the number of leading blocks that a store can serve.
	StoredBlocks int
	// ComputeWeight is the additional cost of one second of prefill, which delays
	// other prompts.
	ComputeWeight float64
}

// Link describes the link between the store and the targets.
type Link struct {
	// BytesPerSecond is the available bandwidth; 0 means no import.
	BytesPerSecond float64
	// BlockBytes is the size of one block.
	BlockBytes float64
	// Latency is the fixed cost of one import.
	Latency time.Duration
}

// Plan is the cheapest way to serve a prompt on one target.
type Plan struct {
	// FirstToken is the expected time to first token.
	FirstToken time.Duration
	// Score is FirstToken plus the weighted cost of prefill; lower is better.
	Score time.Duration
	// ImportBlocks is the number of blocks to import after the cached ones.
	ImportBlocks int
	// ComputedTokens is the number of tokens to prefill.
	ComputedTokens int
}

// Best returns the plan with the lowest score for p on t over l. It compares only
// importing no blocks with importing all of them, since the cost is linear in the
// number of imported blocks.
func Best(p Prompt, t Target, l Link) Plan {
	cached := min(t.CachedBlocks, p.Tokens/max(p.BlockTokens, 1))
	recompute := estimate(p, t, l, cached, 0)
	importable := p.StoredBlocks - cached
	if importable <= 0 || l.BytesPerSecond <= 0 {
		return recompute
	}
	imported := estimate(p, t, l, cached, importable)
	if imported.Score < recompute.Score {
		return imported
	}
	return recompute
}

// estimate returns the plan that imports the given number of blocks.
func estimate(p Prompt, t Target, l Link, cached, imported int) Plan {
	computed := max(p.Tokens-(cached+imported)*p.BlockTokens, 1)
	prefill := seconds(float64(computed) / max(t.PrefillTokensPerSecond, 1))
	first := t.QueueWait + t.Penalty + prefill
	if imported > 0 {
		first += l.Latency + seconds(float64(imported)*l.BlockBytes/l.BytesPerSecond)
	}
	score := first + time.Duration(p.ComputeWeight*float64(prefill))
	return Plan{FirstToken: first, Score: score, ImportBlocks: imported, ComputedTokens: computed}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
