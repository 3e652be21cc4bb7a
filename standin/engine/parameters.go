package engine

import "time"

// Parameters describe an engine.
type Parameters struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens that are
	// not cached are processed; 0 takes no time.
	PrefillTokensPerSecond float64
	// PrefillStepTokens bounds the prompt tokens that join the batch in one
	// step, unless a single prompt is longer.
	PrefillStepTokens int
	// DecodeInterval is the time between tokens up to FullBatch streams.
	DecodeInterval time.Duration
	// FullBatch is the number of streams above which decoding slows down.
	FullBatch int
	// StreamInterval is added for each stream above FullBatch.
	StreamInterval time.Duration
	// MaxBatch is the largest number of streams in the batch.
	MaxBatch int
	// MaxQueue is the largest number of waiting requests.
	MaxQueue int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// AnswerTokens is the length of an answer without max_tokens.
	AnswerTokens int
	// Models are the models that are loaded at first. Without any, every
	// model is accepted.
	Models []string
	// ChecksFencing makes the engine refuse orders with old numbers.
	ChecksFencing bool
	// LoadLag is the age at which a load report is renewed.
	LoadLag time.Duration
	// EventLag is the time after which a cache event is published.
	EventLag time.Duration
	// LostEventEvery loses each event whose sequence is a multiple of it; 0
	// loses none.
	LostEventEvery uint64
}

// DefaultParameters returns an engine that decodes a token in 30 ms.
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

// WithSpeed returns parameters of an engine that computes factor times as
// fast.
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
