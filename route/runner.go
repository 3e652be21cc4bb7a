package route

import "time"

// Runner is a backend server as far as routing depends on it.
type Runner struct {
	// Name is the name of the VM.
	Name string
	// Zone is the availability zone.
	Zone  string
	Class string
	// Price is the price of one hour.
	Price       float64
	Reclaimable bool
	// Leaving is true when the runner is being drained and gets no new calls.
	Leaving bool
	// Models are the models that the runner serves.
	Models []string
	// Service is the plain service that the runner hosts; it is empty on a
	// runner with a model engine.
	Service string
}

// Speed is the performance model of a runner, which converts load into latency.
type Speed struct {
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are
	// prefilled.
	PrefillTokensPerSecond float64
	// Step is the duration of one decoding step, which yields one token for each
	// stream of a batch, for batches of up to FreeBatch streams.
	Step time.Duration
	// FreeBatch is the largest batch size that does not increase Step.
	FreeBatch int
	// StepPerStream is added to Step for each stream above FreeBatch.
	StepPerStream time.Duration
}

// DefaultSpeed returns the speed of the runners in use today.
func DefaultSpeed() Speed {
	return Speed{
		PrefillTokensPerSecond: 20_000,
		Step:                   30 * time.Millisecond,
		FreeBatch:              16,
		StepPerStream:          time.Millisecond,
	}
}

// prefillSeconds returns the time to prefill tokens.
func (s Speed) prefillSeconds(tokens float64) float64 {
	return tokens / s.PrefillTokensPerSecond
}

// stepSeconds returns the time between two tokens in a batch of streams, while
// prefill takes the given share of the runner's time.
func (s Speed) stepSeconds(streams, prefillShare float64) float64 {
	step := s.Step.Seconds()
	if extra := streams - float64(s.FreeBatch); extra > 0 {
		step += extra * s.StepPerStream.Seconds()
	}
	return step / max(1-prefillShare, minDecodeShare)
}

// minDecodeShare is the least share of a runner's time that is assumed to be left
// for decoding.
const minDecodeShare = 0.05
