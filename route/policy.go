package route

import "time"

// Policy chooses a runner. An implementation is deterministic: it depends on
// its arguments only.
type Policy interface {
	// Name returns the name of the policy in tables.
	Name() string
	// Choose returns the runner for a call. It fails with a *NoBackendError
	// or an *OverloadError.
	Choose(call *Call, view *View, now time.Time) (Decision, error)
}

// decide returns the decision for the runner of a slot.
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

// prepare fills the scratch space of a decision: the cached depth by slot, and the
// means over the allowed runners.
func (v *View) prepare(call *Call) {
	clear(v.depths)
	v.holders.Match(call.Blocks, v.depths)
	var own, peers, rate, runners float64
	for at := range v.slots {
		if v.usable(call, at) {
			own += v.slots[at].own.inFlight
			peers += v.slots[at].peers.inFlight
			rate += v.slots[at].own.prefillRate + v.slots[at].peers.prefillRate
			runners++
		}
	}
	runners = max(1, runners)
	v.ownMean, v.peerMean = own/runners, peers/runners
	prefillShare := v.options.Speed.prefillSeconds(rate / runners)
	v.meanStep = v.options.Speed.stepSeconds(v.ownMean+v.peerMean, prefillShare)
}

// expectedInFlight estimates the calls in flight at a runner, with the deviation
// from the mean weighted by OwnGain and PeerGain.
func (v *View) expectedInFlight(s *slot) float64 {
	gain := min(v.options.OwnGain, float64(1+len(v.peers)))
	own := v.ownMean + gain*(s.own.inFlight-v.ownMean)
	peers := v.peerMean + v.options.PeerGain*(s.peers.inFlight-v.peerMean)
	return max(0, own+peers)
}

// estimate is the predicted latency of a call at a runner.
type estimate struct {
	// uncached are the prompt tokens to prefill.
	uncached int
	// firstToken is the time to first token in seconds.
	firstToken float64
	// firstLoad and betweenLoad are the ratios of the two times to their
	// targets; 0 without a target.
	firstLoad, betweenLoad float64
}

// load returns the larger of the two ratios.
func (e *estimate) load() float64 { return max(e.firstLoad, e.betweenLoad) }

// estimate predicts the latency of a call at the runner of a slot. It requires the
// scratch space filled by prepare. Queued prompts of peers are ignored, since they
// have been prefilled by the time the peers' digests arrive.
func (v *View) estimate(call *Call, at int) estimate {
	slot := &v.slots[at]
	speed := &v.options.Speed
	uncached := call.PromptTokens - cachedTokens(v.depths[at], call.PromptTokens)
	prefillShare := speed.prefillSeconds(slot.own.prefillRate + slot.peers.prefillRate)
	step := speed.stepSeconds(v.expectedInFlight(slot)+1, prefillShare)
	wait := speed.prefillSeconds(slot.own.queuedTokens + float64(uncached))
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
