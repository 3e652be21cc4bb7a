package route

import "time"

// Policy chooses a runner. An implementation is deterministic: it depends on
// its arguments only.
type Policy interface {
	// Name names the policy in tables.
	Name() string
	// Choose returns the runner for a call. It fails with a *NoBackendError
	// or an *OverloadError.
	Choose(call *Call, view *View, now time.Time) (Decision, error)
}

// decide completes the decision for a slot.
func (v *View) decide(call *Call, at int) Decision {
	estimate := v.estimate(call, at)
	return Decision{
		Runner:     v.slots[at].runner.Name,
		Uncached:   estimate.uncached,
		FirstToken: time.Duration(estimate.firstToken * float64(time.Second)),
		Load:       max(estimate.firstLoad, estimate.betweenLoad),
		slot:       at,
	}
}

// match fills the scratch space with the cached depth of each slot.
func (v *View) match(call *Call) {
	clear(v.depths)
	v.holders.Match(call.Blocks, v.depths)
}

// estimate is what a call is expected to meet at a runner.
type estimate struct {
	// uncached are the prompt tokens to prefill.
	uncached int
	// firstToken is the time to first token in seconds.
	firstToken float64
	// firstLoad and betweenLoad are the ratios of the two times to their
	// targets; 0 without a target.
	firstLoad, betweenLoad float64
}

// estimate predicts what call meets at the runner of a slot. The scratch
// space has to hold the depths of the call.
func (v *View) estimate(call *Call, at int) estimate {
	slot := &v.slots[at]
	speed := &v.options.Speed
	uncached := call.PromptTokens - cachedTokens(v.depths[at], call.PromptTokens)
	share := speed.prefillSeconds(slot.own.rate + slot.peers.rate)
	step := speed.stepSeconds(slot.own.streams+slot.peers.streams+1, share)
	wait := speed.prefillSeconds(slot.own.queued + slot.peers.queued + float64(uncached))
	result := estimate{
		uncached:   uncached,
		firstToken: wait + step/2,
	}
	if slot.runner.Zone != v.options.Zone {
		result.firstToken += v.options.ZoneDelay.Seconds()
	}
	if call.FirstToken > 0 {
		result.firstLoad = result.firstToken / call.FirstToken.Seconds()
	}
	if call.BetweenTokens > 0 {
		result.betweenLoad = step / call.BetweenTokens.Seconds()
	}
	return result
}
