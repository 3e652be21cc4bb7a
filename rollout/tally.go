package rollout

import "time"

// Outcome is what an attempt has come to.
type Outcome struct {
	// Loaded is true if the runner had more than half of its slots occupied when the attempt
	// was sent.
	Loaded bool
	// Failed is true for a response that a version is to blame for: an error of the runner, a
	// response that broke off or that did not come in time. Refusals are no responses.
	Failed bool
	// Latency is the time to the response or, for a stream, to its first event. Zero stands for
	// the time since the attempt was sent. It is ignored if Failed.
	Latency time.Duration
}

// Tally holds what one daemon process has observed of an order. It is not safe for concurrent
// use; the Controller guards it.
type Tally struct {
	exposure *Exposure
	counts   counts
	// longestOld is the longest time that an attempt has been in flight at another version.
	longestOld time.Duration
	// oldStarted counts the attempts at other versions.
	oldStarted uint64
}

// NewTally returns a Tally without observations.
func NewTally(options Options, random func() float64) *Tally {
	return &Tally{exposure: NewExposure(options, random)}
}

// add counts a response.
func (t *Tally) add(route string, target bool, outcome Outcome) {
	counted := t.counts.cell(route, outcome.Loaded, target)
	if outcome.Failed {
		counted.failed++
		return
	}
	counted.good++
	counted.times[timeBin(outcome.Latency)]++
}

// fail counts a response as failed that was counted as good. Its time still counts.
func (t *Tally) fail(route string, target bool, outcome Outcome) {
	counted := t.counts.cell(route, outcome.Loaded, target)
	counted.good--
	counted.failed++
}

// abandon counts a response for which the caller stopped waiting.
func (t *Tally) abandon(route string, target, isLoaded bool, waited time.Duration) {
	t.counts.cell(route, isLoaded, target).abandoned[timeBin(waited)]++
}
