package hostinghttp

import "github.com/cranberrywalk/cranberrywalk/hosting"

// AppendRequest is the body of an append to a stream.
type AppendRequest struct {
	// Payloads become consecutive records; an append without payloads is refused.
	Payloads [][]byte
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	// Offset is the offset of the first appended record.
	Offset uint64
}

// TrimmedResponse is the response to a read of records that retention has removed.
type TrimmedResponse struct {
	// First is the oldest offset that the log retains.
	First uint64
}

// FencedResponse is the response to an order with a stale fencing token.
type FencedResponse struct {
	// Seen is the highest fencing token that the engine has seen.
	Seen uint64
}

// NoticesResponse is the response to a poll for reclaim notices.
type NoticesResponse struct {
	// Notices are ordered by sequence.
	Notices []hosting.Notice
}

// CacheEventsResponse is the response to a poll for cache events.
type CacheEventsResponse struct {
	// Events are ordered by sequence, possibly with gaps.
	Events []hosting.CacheEvent
}

// ExportRequest is the body of a KV cache export.
type ExportRequest struct {
	// RequestID is the X-Request-Id of the stream that is in progress.
	RequestID string
}

// SizeResponse is the response to a query for the size of a model.
type SizeResponse struct {
	// Bytes is the size of the model's weights.
	Bytes int64
}

// ReserveRequest is the body of a reservation of transfer rate.
type ReserveRequest struct {
	// Bytes is the size of the transfer.
	Bytes int64
}

// ReserveResponse is the response to a reservation of transfer rate.
type ReserveResponse struct {
	// Wait is the time until the transfer may start, as a duration string.
	Wait string
}
