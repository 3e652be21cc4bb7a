package route

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// Decision is the choice of a runner for a call.
type Decision struct {
	// Runner is the name of the VM.
	Runner string
	// Uncached estimates the prompt tokens that the runner has to prefill.
	Uncached int
	// FirstToken estimates the time to first token.
	FirstToken time.Duration
	// Load is the expected load of the runner; 1 is at the latency target.
	Load float64

	slot int
}

// Flight is a call that this daemon has in flight at a runner. The caller keeps it
// and passes it to View.RecordFirstToken and View.RecordEnd.
type Flight struct {
	slot       int
	generation uint32
	// queuedTokens are the tokens to prefill; 0 after the first token.
	queuedTokens float64
	ended        bool
}

// RecordStart records that the call was sent to the runner of the decision.
func (v *View) RecordStart(call *Call, decision Decision, now time.Time) Flight {
	v.decay(now)
	slot := &v.slots[decision.slot]
	tokens := float64(decision.Uncached)
	slot.own.inFlight++
	slot.own.queuedTokens += tokens
	slot.own.prefillRate += tokens / v.options.RateTimeConstant.Seconds()
	v.addBlocks(call.Blocks, decision.slot)
	return Flight{slot: decision.slot, generation: slot.generation, queuedTokens: tokens}
}

// RecordFirstToken records that the first token of a call was received.
func (v *View) RecordFirstToken(flight *Flight) {
	if slot := v.flightSlot(flight); slot != nil {
		slot.own.queuedTokens -= flight.queuedTokens
		flight.queuedTokens = 0
	}
}

// RecordEnd records that a call has ended, for any reason. Only the first call for a
// Flight has an effect.
func (v *View) RecordEnd(flight *Flight, now time.Time) {
	slot := v.flightSlot(flight)
	if slot == nil || flight.ended {
		return
	}
	v.decay(now)
	v.RecordFirstToken(flight)
	flight.ended = true
	slot.own.inFlight--
	v.completionRate += 1 / v.options.RateTimeConstant.Seconds()
}

// RecordUsage records the cached prompt tokens that the answer to a call reports. It
// corrects the estimated number of tokens that the runner had to prefill.
func (v *View) RecordUsage(flight *Flight, call *Call, decision Decision, cachedTokens int) {
	slot := v.flightSlot(flight)
	if slot == nil {
		return
	}
	uncached := max(0, call.PromptTokens-cachedTokens)
	slot.own.prefillRate += float64(uncached-decision.Uncached) / v.options.RateTimeConstant.Seconds()
	slot.own.prefillRate = max(0, slot.own.prefillRate)
	v.addBlocks(call.Blocks, flight.slot)
}

// RecordCacheEvent records that a runner has stored or evicted a block. Events may be
// late or lost.
func (v *View) RecordCacheEvent(runner string, block uint64, stored bool) {
	at, known := v.index[runner]
	if !known {
		return
	}
	if stored {
		v.holders.Add(block, at)
		return
	}
	v.holders.Remove(block, at)
}

// addBlocks records that the runner of a slot caches blocks.
func (v *View) addBlocks(blocks []uint64, slot int) {
	for _, block := range blocks {
		v.holders.Add(block, slot)
	}
}

// flightSlot returns the slot of a flight, or nil if its runner was removed.
func (v *View) flightSlot(flight *Flight) *slot {
	slot := &v.slots[flight.slot]
	if slot.generation != flight.generation {
		return nil
	}
	return slot
}

// cachedTokens converts a cached depth in blocks into prompt tokens.
func cachedTokens(depth int32, promptTokens int) int {
	return min(int(depth)*prefix.BlockTokens, promptTokens)
}
