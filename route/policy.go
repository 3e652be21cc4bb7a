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
		Load:       estimate.load(),
		slot:       at,
	}
}

// match fills the scratch space for a decision: the cached depth of each slot
// and the mean calls in flight.
func (v *View) match(call *Call) {
	clear(v.depths)
	v.holders.Match(call.Blocks, v.depths)
	var own, peers, rate, runners float64
	for at := range v.slots {
		if v.usable(call, at) {
			own += v.slots[at].own.streams
			peers += v.slots[at].peers.streams
			rate += v.slots[at].own.rate + v.slots[at].peers.rate
			runners++
		}
	}
	runners = max(1, runners)
	v.ownMean, v.peerMean = own/runners, peers/runners
	share := v.options.Speed.prefillSeconds(rate / runners)
	v.meanStep = v.options.Speed.stepSeconds(v.ownMean+v.peerMean, share)
}

// expectedStreams estimates the calls in flight at a runner.
func (v *View) expectedStreams(s *slot) float64 {
	gain := min(v.options.OwnGain, float64(1+len(v.peers)))
	own := v.ownMean + gain*(s.own.streams-v.ownMean)
	peers := v.peerMean + v.options.PeerGain*(s.peers.streams-v.peerMean)
	return max(0, own+peers)
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

// load returns the larger ratio.
func (e *estimate) load() float64 { return max(e.firstLoad, e.betweenLoad) }

// estimate predicts what call meets at the runner of a slot. The scratch
// space has to be filled by match. The prompts that wait for peers do not
// count: they are prefilled before their digests arrive.
func (v *View) estimate(call *Call, at int) estimate {
	slot := &v.slots[at]
	speed := &v.options.Speed
	uncached := call.PromptTokens - cachedTokens(v.depths[at], call.PromptTokens)
	share := speed.prefillSeconds(slot.own.rate + slot.peers.rate)
	step := speed.stepSeconds(v.expectedStreams(slot)+1, share)
	wait := speed.prefillSeconds(slot.own.queued + float64(uncached))
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
