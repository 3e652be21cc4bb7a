package engine

import "time"

// Parameters describe the speed and the limits of an engine.
type Parameters struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens that are not
	// cached are processed; with 0, prefill takes no time.
	PrefillTokensPerSecond float64
	// PrefillStepTokens is the number of uncached prompt tokens after which no
	// further stream joins the batch in the same step.
	PrefillStepTokens int
	// DecodeInterval is the time per token in a batch of up to FullBatch
	// streams.
	DecodeInterval time.Duration
	// FullBatch is the number of streams above which decoding slows down.
	FullBatch int
	// StreamInterval is added to DecodeInterval for each stream above
	// FullBatch.
	StreamInterval time.Duration
	// MaxBatch is the largest number of streams in the batch.
	MaxBatch int
	// MaxQueue is the largest number of waiting requests.
	MaxQueue int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// AnswerTokens is the length of an answer without max_tokens.
	AnswerTokens int
	// Models are the models that are loaded at the start. Without any, every
	// model is accepted.
	Models []string
	// ChecksFencing makes the engine reject orders with stale fencing tokens.
	ChecksFencing bool
	// LoadLag is the age at which a load report is renewed.
	LoadLag time.Duration
	// EventLag is the delay until a cache event is published.
	EventLag time.Duration
	// LostEventEvery drops every cache event whose sequence number is a
	// multiple of this number; 0 drops none.
	LostEventEvery uint64
}

// DefaultParameters returns the parameters of an engine that decodes a token in
// 30 ms.
func DefaultParameters() Parameters {
	return Parameters{
		PrefillTokensPerSecond: 20_000,
		PrefillStepTokens:      4096,
		DecodeInterval:         30 * time.Millisecond,
		FullBatch:              16,
		StreamInterval:         time.Millisecond,
		MaxBatch:               64,
		MaxQueue:               1024,
		CacheTokens:            60_000,
		AnswerTokens:           32,
		LoadLag:                500 * time.Millisecond,
		EventLag:               time.Second,
		LostEventEvery:         10,
	}
}

// WithSpeed returns the parameters of an engine that is factor times as fast.
func (p Parameters) WithSpeed(factor float64) Parameters {
	p.PrefillTokensPerSecond *= factor
	p.DecodeInterval = time.Duration(float64(p.DecodeInterval) / factor)
	p.StreamInterval = time.Duration(float64(p.StreamInterval) / factor)
	return p
}

// prefillTime returns the time to process prompt tokens.
func (p Parameters) prefillTime(tokens int) time.Duration {
	if p.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second))
}

// decodeTime returns the time to decode one token of each stream.
func (p Parameters) decodeTime(streams int) time.Duration {
	excess := max(0, streams-p.FullBatch)
	return p.DecodeInterval + time.Duration(excess)*p.StreamInterval
}
