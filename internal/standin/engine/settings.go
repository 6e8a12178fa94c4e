package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors, which are also sent as the kinds of refusals.
const (
	// KindInvalid reports settings, faults or messages out of range.
	KindInvalid Kind = "invalid"
	// KindOverloaded reports a full queue.
	KindOverloaded Kind = "overloaded"
	// KindRefusing reports an engine that refuses all requests because of Faults.Refuse.
	KindRefusing Kind = "refusing"
	// KindWrongIncarnation reports a request that expects another incarnation.
	KindWrongIncarnation Kind = "wrong-incarnation"
	// KindWrongVersion reports a request for weights that are not loaded.
	KindWrongVersion Kind = "wrong-version"
	// KindDeadline reports a request whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindCancelled reports a request that its caller cancelled.
	KindCancelled Kind = "cancelled"
	// KindNotFound reports a cancellation of a request that does not run here.
	KindNotFound Kind = "not-found"
	// KindTransfer reports a failed transfer of a block to or from a store host.
	KindTransfer Kind = "transfer"
	// KindWeights reports weights that could not be loaded.
	KindWeights Kind = "weights"
)

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Settings configures the capacity and timing of a simulated model engine.
type Settings struct {
	warmer.Settings
	// RunningLimit is the highest number of requests that run at once, and
	// QueueLimit of those that wait.
	RunningLimit int `json:"running-limit"`
	QueueLimit   int `json:"queue-limit"`
	// PrefillTokensPerSecond is the rate of prefill, which handles one request at a time.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second"`
	// DecodeTokensPerSecond is the rate of a stream that is decoded alone.
	// BatchSlowdown is the share by which each further stream in the batch
	// lengthens the decode step.
	DecodeTokensPerSecond float64 `json:"decode-tokens-per-second"`
	BatchSlowdown         float64 `json:"batch-slowdown"`
	// BlockTokens is the number of prompt tokens in one cache block.
	BlockTokens int `json:"block-tokens"`
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int `json:"cache-blocks"`
	// BlockBytes is the simulated size of one block in transfers.
	BlockBytes int64 `json:"block-bytes"`
	// EventLag is the delay before cache events are published, and EventDropShare
	// the share of them that is dropped, from 0 to 1.
	EventLag       server.Duration `json:"event-lag"`
	EventDropShare float64         `json:"event-drop-share"`
	// LoadLag is the age of the load in load reports.
	LoadLag server.Duration `json:"load-lag"`
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool `json:"checks-fence"`
	// RestartTime is how long a restarting engine resets new connections.
	RestartTime server.Duration `json:"restart-time"`
	// WeightLoadTime is the time to load weights if there is no weight store.
	WeightLoadTime server.Duration `json:"weight-load-time"`
	// WeightStore is the address of the weight store. It is optional.
	WeightStore netip.AddrPort `json:"weight-store"`
	// Weights lists the weights that are loaded initially.
	Weights []messenger.LoadedWeights `json:"weights"`
}

// DefaultSettings returns the settings of an engine that starts cold and without
// weights.
func DefaultSettings() Settings {
	return Settings{
		Settings: warmer.Settings{
			ColdLimit:    2,
			WarmTime:     server.Duration{Duration: 2 * time.Second},
			WarmRequests: 8,
		},
		RunningLimit:           32,
		QueueLimit:             64,
		PrefillTokensPerSecond: 20_000,
		DecodeTokensPerSecond:  50,
		BatchSlowdown:          0.01,
		BlockTokens:            1024,
		CacheBlocks:            512,
		BlockBytes:             1 << 20,
		EventLag:               server.Duration{Duration: 300 * time.Millisecond},
		EventDropShare:         0.02,
		LoadLag:                server.Duration{Duration: 200 * time.Millisecond},
		ChecksFence:            true,
		WeightLoadTime:         server.Duration{Duration: 400 * time.Millisecond},
	}
}

// WeightLoader loads weights. Load returns when they are loaded or ctx ends.
type WeightLoader interface {
	Load(ctx context.Context, model identifier.Model, version identifier.WeightVersion) error
}

// Config configures an Engine.
type Config struct {
	Settings
	Name  identifier.Target
	Clock clockwork.Clock
	// Seed seeds the random choice of dropped cache events.
	Seed uint64
	// Loader loads weights. If it is nil, they are loaded from Settings.WeightStore,
	// or else in Settings.WeightLoadTime.
	Loader WeightLoader
	// Transport connects to store hosts and the weight store. The default is a new
	// http.Transport.
	Transport http.RoundTripper
}

func (c Config) validate() error {
	if c.Clock == nil {
		return invalid("the clock is missing")
	}
	if c.RunningLimit < 1 || c.QueueLimit < 0 {
		return invalid("running-limit is %d and queue-limit %d, want at least 1 and 0", c.RunningLimit, c.QueueLimit)
	}
	if c.PrefillTokensPerSecond <= 0 || c.DecodeTokensPerSecond <= 0 {
		return invalid("prefill-tokens-per-second is %v and decode-tokens-per-second %v, want both above 0",
			c.PrefillTokensPerSecond, c.DecodeTokensPerSecond)
	}
	if c.BatchSlowdown < 0 {
		return invalid("batch-slowdown is %v, want at least 0", c.BatchSlowdown)
	}
	if c.BlockTokens < 1 || c.CacheBlocks < 0 || c.BlockBytes < 0 {
		return invalid("block-tokens is %d, cache-blocks %d and block-bytes %d, want at least 1, 0 and 0",
			c.BlockTokens, c.CacheBlocks, c.BlockBytes)
	}
	if c.EventDropShare < 0 || c.EventDropShare > 1 {
		return invalid("event-drop-share is %v, want from 0 to 1", c.EventDropShare)
	}
	for _, d := range []server.Duration{c.EventLag, c.LoadLag, c.RestartTime, c.WeightLoadTime} {
		if d.Duration < 0 {
			return invalid("event-lag, load-lag, restart-time or weight-load-time is %v, want at least 0", d)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return newError("check settings", KindInvalid, errors.Newf(format, args...))
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
