// Package messenger defines the JSON messages between daemons and the systems
// that they order about: model engines, plain services, store hosts and the
// membership list.
package messenger

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Paths of a model engine.
const (
	// PathGenerate takes a POST of GenerateRequest and answers with one
	// GenerateFrame in JSON on each line.
	PathGenerate = "/v1/generate"
	// PathCancel takes a POST of CancelRequest.
	PathCancel = "/v1/cancel"
	// PathImport takes a POST of ImportRequest and answers with TransferResult.
	PathImport = "/v1/import"
	// PathExport takes a POST of ExportRequest and answers with TransferResult.
	PathExport = "/v1/export"
	// PathLoad takes a GET and answers with LoadReport; plain services have it too.
	PathLoad = "/v1/load"
	// PathEvents takes a GET with the query parameter "after" and answers with CacheEvents.
	PathEvents = "/v1/events"
	// PathOrder takes a POST of Order and answers with OrderResult.
	PathOrder = "/v1/order"
)

// Paths of a store host.
const (
	// PathLookup takes a POST of LookupRequest and answers with LookupResult.
	PathLookup = "/v1/lookup"
	// PathBlocks begins the paths of single blocks: PUT, GET and DELETE PathBlocks + KEY.
	PathBlocks = "/v1/blocks/"
	// PathCommit takes a POST of BlockRef and makes a written block readable.
	PathCommit = "/v1/commit"
)

// PathMembers is the path of the membership list, which answers a GET with Members.
const PathMembers = "/v1/members"

// Headers that targets set on every answer.
const (
	// HeaderIncarnation carries the target's incarnation as a decimal number.
	HeaderIncarnation = "Cardamom-Incarnation"
	// HeaderRun carries a Run on a refusal.
	HeaderRun = "Cardamom-Run"
	// HeaderRequest carries the request ID in both directions.
	HeaderRequest = "Cardamom-Request"
	// HeaderDeadline carries the time left as a Go duration.
	HeaderDeadline = "Cardamom-Deadline"
	// HeaderClass carries the class of a caller's request.
	HeaderClass = "Cardamom-Class"
	// HeaderIdempotencyKey carries the caller's key of a request that may not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Run says whether a request has run.
type Run string

// The values of Run.
const (
	// RunNot states that nothing of the request has run or will run.
	RunNot Run = "not-run"
	// RunUnknown states that the request may have run.
	RunUnknown Run = "unknown"
	// RunDone states that the request has run.
	RunDone Run = "ran"
)

// GenerateRequest asks an engine to run a prompt or to resume a run.
type GenerateRequest struct {
	RequestID     identifier.Request       `json:"request-id"`
	Attempt       int                      `json:"attempt"`
	Model         identifier.Model         `json:"model"`
	Adapter       identifier.Adapter       `json:"adapter,omitempty"`
	WeightVersion identifier.WeightVersion `json:"weight-version"`
	// Prompt is the prompt's text.
	Prompt string `json:"prompt"`
	// PromptTokens counts the prompt's tokens.
	PromptTokens int `json:"prompt-tokens"`
	// Blocks are the keys of the prompt's full blocks in order.
	Blocks    []identifier.BlockKey `json:"blocks"`
	MaxTokens int                   `json:"max-tokens"`
	// ResumeOffset is the number of tokens that the caller already has; the
	// engine continues behind them.
	ResumeOffset int `json:"resume-offset"`
	// Generated holds the tokens before ResumeOffset, joined as text.
	Generated string `json:"generated,omitempty"`
	// ExpectIncarnation is the only incarnation that may run the request; 0 means any.
	ExpectIncarnation identifier.Incarnation `json:"expect-incarnation,omitempty"`
	// Priority is higher for more important work.
	Priority int `json:"priority"`
	// DeadlineMilliseconds is the time left; the engine stops the run after it.
	DeadlineMilliseconds int64 `json:"deadline-ms"`
}

// GenerateFrame is one line of an engine's answer.
type GenerateFrame struct {
	RequestID identifier.Request `json:"request-id"`
	Attempt   int                `json:"attempt"`
	// Offset is the position of Token in the whole answer, from 0.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Done marks the end of a whole answer; its Offset is the number of tokens.
	Done bool `json:"done,omitempty"`
	// CachedTokens counts prompt tokens that were not computed again; on the first frame.
	CachedTokens int `json:"cached-tokens,omitempty"`
	// Incarnation is the engine's incarnation.
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Load is the engine's load as of this frame; on the first and last frame.
	Load *LoadReport `json:"load,omitempty"`
}

// Refusal is the body of a target's answer other than 2xx.
type Refusal struct {
	Kind        string                 `json:"kind"`
	Message     string                 `json:"message"`
	Run         Run                    `json:"run"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// CancelRequest asks an engine to stop a run.
type CancelRequest struct {
	RequestID identifier.Request `json:"request-id"`
	Attempt   int                `json:"attempt"`
}

// BlockRef names one generation of one block on a store host.
type BlockRef struct {
	Key        identifier.BlockKey `json:"key"`
	Generation uint64              `json:"generation"`
	// Checksum is the xxh3 hash of the block's bytes.
	Checksum uint64 `json:"checksum"`
}

// ImportRequest orders an engine to copy blocks from a store host into its cache.
type ImportRequest struct {
	RequestID     identifier.Request       `json:"request-id"`
	Store         netip.AddrPort           `json:"store"`
	Model         identifier.Model         `json:"model"`
	WeightVersion identifier.WeightVersion `json:"weight-version"`
	Blocks        []BlockRef               `json:"blocks"`
	// Probe asks only how many of the leading blocks the cache holds; nothing is copied.
	Probe bool `json:"probe,omitempty"`
	// BytesPerSecond is the link's share that the engine may use.
	BytesPerSecond       int64 `json:"bytes-per-second"`
	DeadlineMilliseconds int64 `json:"deadline-ms"`
}

// ExportRequest orders an engine to copy blocks from its cache to a store host.
type ExportRequest struct {
	Store  netip.AddrPort        `json:"store"`
	Blocks []identifier.BlockKey `json:"blocks"`
	// BytesPerSecond is the link's share that the engine may use.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// TransferResult reports an import or export.
type TransferResult struct {
	// Blocks counts the blocks that were copied and checked, from the first on.
	Blocks int `json:"blocks"`
	// Bytes counts the bytes that crossed the link.
	Bytes int64 `json:"bytes"`
	// Reason says why fewer blocks were copied than asked for.
	Reason string `json:"reason,omitempty"`
}

// LoadReport is a target's own account of its load; it lags.
type LoadReport struct {
	Target      identifier.Target      `json:"target"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Cold is true while the target bears only its cold limit.
	Cold bool `json:"cold"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens counts prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued-tokens"`
	// PrefillTokensPerSecond is the measured prefill rate.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second"`
	CachedBlocks           int     `json:"cached-blocks"`
	CacheBlocks            int     `json:"cache-blocks"`
	// Weights lists the loaded weights.
	Weights []LoadedWeights `json:"weights,omitempty"`
	// Fence is the highest fencing number that the target has seen.
	Fence uint64 `json:"fence,omitempty"`
}

// LoadedWeights names weights that a target has loaded.
type LoadedWeights struct {
	Model    identifier.Model         `json:"model"`
	Version  identifier.WeightVersion `json:"version"`
	Adapters []identifier.Adapter     `json:"adapters,omitempty"`
}

// CacheEvent reports that a block entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64              `json:"sequence"`
	Key      identifier.BlockKey `json:"key"`
	// Evicted is true when the block left the cache.
	Evicted bool `json:"evicted"`
}

// CacheEvents is a batch of events; a jump in sequence numbers is a gap.
type CacheEvents struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Events      []CacheEvent           `json:"events"`
}

// Order states the wanted end state of a target, so that repeating it is harmless.
type Order struct {
	// Fence is the fencing number of the order's sender.
	Fence   uint64          `json:"fence"`
	Weights []LoadedWeights `json:"weights"`
	Role    string          `json:"role,omitempty"`
}

// OrderResult reports an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Message  string `json:"message,omitempty"`
	// Fence is the highest fencing number that the target has seen.
	Fence uint64 `json:"fence"`
}

// LookupRequest asks a store host which blocks it can serve.
type LookupRequest struct {
	Keys []identifier.BlockKey `json:"keys"`
}

// LookupResult lists the committed blocks of a LookupRequest, from its first
// key on up to the first one that is missing.
type LookupResult struct {
	Blocks []LookupBlock `json:"blocks"`
	// BlockBytes is the size of one block on the link.
	BlockBytes int64 `json:"block-bytes"`
	// FreeBytes is the store's free space.
	FreeBytes int64 `json:"free-bytes"`
}

// LookupBlock is one committed block of a store host.
type LookupBlock struct {
	BlockRef
	// OnDisk is true for a block of the slower tier.
	OnDisk bool `json:"on-disk,omitempty"`
}

// MemberState is the state of a host in the membership list.
type MemberState string

// The states of a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// MemberRole says what runs on a host.
type MemberRole string

// The roles of a member.
const (
	RoleDaemon MemberRole = "daemon"
	RoleTarget MemberRole = "target"
	RoleStore  MemberRole = "store"
)

// Member is one host of the membership list.
type Member struct {
	Name       string                `json:"name"`
	Role       MemberRole            `json:"role"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is where a daemon's peers or a target's callers reach it.
	Address netip.AddrPort `json:"address"`
	State   MemberState    `json:"state"`
}

// Members is the membership list; it lags behind the truth.
type Members struct {
	AsOf    time.Time `json:"as-of"`
	Members []Member  `json:"members"`
}
