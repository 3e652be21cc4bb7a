package hosting

import (
	"context"
	"time"
)

// Engine is the control interface of a model engine on a runner. Requests
// for tokens do not go through it: they use the OpenAI-style HTTP API.
type Engine interface {
	// Load returns the engine's last load report, which may be out of date.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events with a sequence above after. Events
	// arrive with a delay, and a gap in the sequence means that some were lost.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order changes what the engine serves. A *FencedError means that the
	// engine has seen a higher fencing token.
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of a stream that is in progress.
	ExportKV(ctx context.Context, requestID string) (KVCache, error)
	// ImportKV adds a KV cache to the engine's prefix cache.
	ImportKV(ctx context.Context, cache KVCache) error
}

// LoadReport describes how busy a backend server is.
type LoadReport struct {
	// Running counts the streams in the current batch.
	Running int
	// Queued counts the requests that wait to join the batch.
	Queued int
	// QueuedTokens counts the prompt tokens of the waiting requests.
	QueuedTokens int
	// CachedTokens counts the tokens in the prefix cache.
	CachedTokens int
	// Models are the names of the loaded models.
	Models []string
	// Time is when the report was made, by the engine's clock.
	Time time.Time
}

// CacheEvent reports that a prompt block was added to or evicted from the prefix
// cache.
type CacheEvent struct {
	// Sequence starts at 1 and rises by 1 with every event.
	Sequence uint64
	// Block is the chained hash of the prompt up to the end of the block,
	// as package prefix computes it.
	Block uint64
	// Stored is true when the block was added, false when it was evicted.
	Stored bool
}

// Order is declarative: it describes the desired state, not a change.
type Order struct {
	// Fencing is the fencing token: the offset of the log record that won the lease
	// under which the order is sent.
	Fencing uint64
	// Models are the models to load; all others are unloaded.
	Models []string
	// Adapters are the adapters to load.
	Adapters []string
}

// KVCache is the exported KV cache of one stream.
type KVCache struct {
	RequestID string
	// Blocks are the chained hashes of the cached prompt blocks, in order.
	Blocks []uint64
	// Tokens counts the tokens that the cache covers.
	Tokens int
	// Payload is opaque to this system.
	Payload []byte
}
