// Package messenger defines the JSON messages between daemons and the systems
// that they use: model engines, plain services, store hosts and the membership
// list.
package messenger

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Paths of a model engine.
const (
	// PathGenerate accepts a POST of GenerateRequest and streams the response as
	// one GenerateFrame in JSON per line.
	PathGenerate = "/v1/generate"
	// PathCancel accepts a POST of CancelRequest.
	PathCancel = "/v1/cancel"
	// PathImport accepts a POST of ImportRequest and returns TransferResult.
	PathImport = "/v1/import"
	// PathExport accepts a POST of ExportRequest and returns TransferResult.
	PathExport = "/v1/export"
	// PathLoad returns LoadReport on a GET. Plain services have it too.
	PathLoad = "/v1/load"
	// PathEvents returns the CacheEvents after the sequence number in the query
	// parameter "after" on a GET.
	PathEvents = "/v1/events"
	// PathOrder accepts a POST of Order and returns OrderResult.
	PathOrder = "/v1/order"
)

// Paths of a store host.
const (
	// PathLookup accepts a POST of LookupRequest and returns LookupResult.
	PathLookup = "/v1/lookup"
	// PathBlocks is the prefix of the paths of blocks: PUT, GET and DELETE PathBlocks + KEY.
	PathBlocks = "/v1/blocks/"
	// PathCommit accepts a POST of BlockRef and makes a written block readable.
	PathCommit = "/v1/commit"
)

// PathMembers is the path of the membership list, which returns Members on a GET.
const PathMembers = "/v1/members"

// HTTP headers of requests and responses.
const (
	// HeaderIncarnation carries the target's incarnation as a decimal number in
	// every response.
	HeaderIncarnation = "Cardamom-Incarnation"
	// HeaderRun carries a RunState on a refusal.
	HeaderRun = "Cardamom-Run"
	// HeaderRequest carries the request ID in both directions.
	HeaderRequest = "Cardamom-Request"
	// HeaderDeadline carries the time until the deadline as a Go duration.
	HeaderDeadline = "Cardamom-Deadline"
	// HeaderClass carries the class of a caller's request.
	HeaderClass = "Cardamom-Class"
	// HeaderIdempotencyKey carries the caller's key for a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// RunState is whether a refused request has run.
type RunState string

// The values of RunState.
const (
	// RunStateNotRun means that no part of the request has run or will run.
	RunStateNotRun RunState = "not-run"
	// RunStateUnknown means that the request may have run.
	RunStateUnknown RunState = "unknown"
	// RunStateRan means that the request has run.
	RunStateRan RunState = "ran"
)

// GenerateRequest asks an engine to run a prompt, or to resume an interrupted run.
type GenerateRequest struct {
	RequestID     identifier.Request       `json:"request-id"`
	Attempt       int                      `json:"attempt"`
	Model         identifier.Model         `json:"model"`
	Adapter       identifier.Adapter       `json:"adapter,omitempty"`
	WeightVersion identifier.WeightVersion `json:"weight-version"`
	// Prompt is the text of the prompt.
	Prompt string `json:"prompt"`
	// PromptTokens counts the prompt's tokens.
	PromptTokens int `json:"prompt-tokens"`
	// Blocks are the keys of the prompt's full blocks in order.
	Blocks    []identifier.BlockKey `json:"blocks"`
	MaxTokens int                   `json:"max-tokens"`
	// ResumeOffset is the number of tokens that the caller already has. The engine
	// continues after them.
	ResumeOffset int `json:"resume-offset"`
	// Generated is the text of the tokens before ResumeOffset.
	Generated string `json:"generated,omitempty"`
	// ExpectIncarnation is the only incarnation that may run the request; 0 means any.
	ExpectIncarnation identifier.Incarnation `json:"expect-incarnation,omitempty"`
	// Priority is higher for more important work.
	Priority int `json:"priority"`
	// DeadlineMilliseconds is the time left, after which the engine stops the run.
	DeadlineMilliseconds int64 `json:"deadline-ms"`
}

// GenerateFrame is one line of an engine's response.
type GenerateFrame struct {
	RequestID identifier.Request `json:"request-id"`
	Attempt   int                `json:"attempt"`
	// Offset is the position of Token in the complete response, from 0.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Done marks the end of a complete response. Its Offset is the number of tokens.
	Done bool `json:"done,omitempty"`
	// CachedTokens is the number of prompt tokens read from the cache; on the first frame.
	CachedTokens int `json:"cached-tokens,omitempty"`
	// Incarnation is the engine's incarnation.
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Load is the engine's load at the time of this frame; on the first and last frame.
	Load *LoadReport `json:"load,omitempty"`
}

// Refusal is the body of a target's response with a status other than 2xx.
type Refusal struct {
	Kind        string                 `json:"kind"`
	Message     string                 `json:"message"`
	Run         RunState               `json:"run"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// CancelRequest asks an engine to stop a run.
type CancelRequest struct {
	RequestID identifier.Request `json:"request-id"`
	Attempt   int                `json:"attempt"`
}

// BlockRef identifies one generation of a block on a store host.
type BlockRef struct {
	Key        identifier.BlockKey `json:"key"`
	Generation uint64              `json:"generation"`
	// Checksum is the xxh3 hash of the block's bytes.
	Checksum uint64 `json:"checksum"`
}

// ImportRequest asks an engine to copy blocks from a store host into its cache.
type ImportRequest struct {
	RequestID     identifier.Request       `json:"request-id"`
	Store         netip.AddrPort           `json:"store"`
	Model         identifier.Model         `json:"model"`
	WeightVersion identifier.WeightVersion `json:"weight-version"`
	Blocks        []BlockRef               `json:"blocks"`
	// Probe requests only the number of leading blocks in the cache. Nothing is copied.
	Probe bool `json:"probe,omitempty"`
	// BytesPerSecond is the part of the link's bandwidth that the engine may use.
	BytesPerSecond       int64 `json:"bytes-per-second"`
	DeadlineMilliseconds int64 `json:"deadline-ms"`
}

// ExportRequest asks an engine to copy blocks from its cache to a store host.
type ExportRequest struct {
	Store  netip.AddrPort        `json:"store"`
	Blocks []identifier.BlockKey `json:"blocks"`
	// BytesPerSecond is the part of the link's bandwidth that the engine may use.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// TransferResult reports the outcome of an import or export.
type TransferResult struct {
	// Blocks is the number of leading blocks that were copied and verified.
	Blocks int `json:"blocks"`
	// Bytes is the number of bytes transferred over the link.
	Bytes int64 `json:"bytes"`
	// Reason says why fewer blocks were copied than requested.
	Reason string `json:"reason,omitempty"`
}

// LoadReport is the load of a target as reported by itself, with some delay.
type LoadReport struct {
	Target      identifier.Target      `json:"target"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Cold is true while the target accepts only up to its cold limit.
	Cold bool `json:"cold"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	QueuedTokens int `json:"queued-tokens"`
	// PrefillTokensPerSecond is the measured prefill rate.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second"`
	CachedBlocks           int     `json:"cached-blocks"`
	CacheBlocks            int     `json:"cache-blocks"`
	// Weights lists the loaded weights.
	Weights []LoadedWeights `json:"weights,omitempty"`
	// Fence is the highest fencing token that the target has received.
	Fence uint64 `json:"fence,omitempty"`
}

// LoadedWeights identifies weights that a target has loaded, or should load.
type LoadedWeights struct {
	Model    identifier.Model         `json:"model"`
	Version  identifier.WeightVersion `json:"version"`
	Adapters []identifier.Adapter     `json:"adapters,omitempty"`
}

// CacheEvent reports that a block was added to an engine's cache or evicted from it.
type CacheEvent struct {
	Sequence uint64              `json:"sequence"`
	Key      identifier.BlockKey `json:"key"`
	// Evicted is true if the block was evicted, and false if it was added.
	Evicted bool `json:"evicted"`
}

// CacheEvents is a batch of events. A gap in the sequence numbers means that
// events were missed.
type CacheEvents struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Events      []CacheEvent           `json:"events"`
}

// Order describes the desired state of a target, which makes it idempotent.
type Order struct {
	// Fence is the fencing token of the sender.
	Fence   uint64          `json:"fence"`
	Weights []LoadedWeights `json:"weights"`
	Role    string          `json:"role,omitempty"`
}

// OrderResult reports whether a target accepted an Order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Message  string `json:"message,omitempty"`
	// Fence is the highest fencing token that the target has received.
	Fence uint64 `json:"fence"`
}

// LookupRequest asks a store host which blocks it can serve.
type LookupRequest struct {
	Keys []identifier.BlockKey `json:"keys"`
}

// LookupResult lists the committed blocks of a LookupRequest from its first key
// up to the first one that is missing.
type LookupResult struct {
	Blocks []LookupBlock `json:"blocks"`
	// BlockBytes is the size of one block as transferred over the link.
	BlockBytes int64 `json:"block-bytes"`
	// FreeBytes is the free space of the store.
	FreeBytes int64 `json:"free-bytes"`
}

// LookupBlock is one committed block of a store host.
type LookupBlock struct {
	BlockRef
	// OnDisk is true for a block in the slower storage tier.
	OnDisk bool `json:"on-disk,omitempty"`
}

// MemberState is the state of a host in the membership list.
type MemberState string

// The states of a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// MemberRole is the kind of process that runs on a host.
type MemberRole string

// The roles of a member.
const (
	RoleDaemon MemberRole = "daemon"
	RoleTarget MemberRole = "target"
	RoleStore  MemberRole = "store"
)

// Member is an entry of the membership list.
type Member struct {
	Name       string                `json:"name"`
	Role       MemberRole            `json:"role"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Address is the daemon's address for peers, or the target's for callers.
	Address netip.AddrPort `json:"address"`
	State   MemberState    `json:"state"`
}

// Members is the membership list, which may be outdated.
type Members struct {
	AsOf    time.Time `json:"as-of"`
	Members []Member  `json:"members"`
}
