package route

import "time"

// Runner is a backend server as far as routing depends on it.
type Runner struct {
	// Name is the name of the VM.
	Name string
	// Zone is the availability zone.
	Zone  string
	Class string
	// Price is the cost of one hour.
	Price       float64
	Reclaimable bool
	// Leaving says that the runner gets no new work.
	Leaving bool
	// Models are the models that the runner serves.
	Models []string
	// Service is the plain service that runs there; empty on a runner with
	// a model engine.
	Service string
}

// Speed is the model of how fast a runner works, by which load is turned into
// time.
type Speed struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens that are not
	// cached are computed.
	PrefillTokensPerSecond float64
	// Step is the time that one token takes for each stream of a batch of up
	// to FreeBatch streams.
	Step time.Duration
	// FreeBatch is the number of streams up to which Step does not grow.
	FreeBatch int
	// StepPerStream is added to Step for each stream above FreeBatch.
	StepPerStream time.Duration
}

// DefaultSpeed is the speed of the runners in use today.
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

// stepSeconds returns the time between two tokens in a batch of streams,
// while prefill takes the share of the runner's time.
func (s Speed) stepSeconds(streams, share float64) float64 {
	step := s.Step.Seconds()
	if extra := streams - float64(s.FreeBatch); extra > 0 {
		step += extra * s.StepPerStream.Seconds()
	}
	return step / max(1-share, minShare)
}

// minShare bounds the share of a runner's time that is left for decoding.
const minShare = 0.05
