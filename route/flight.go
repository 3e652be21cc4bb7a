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

// Flight is a call that this daemon has sent to a runner. Its owner keeps it
// and passes it to View.FirstToken and View.Ended.
type Flight struct {
	slot       int
	generation uint32
	// queued are the prompt tokens that count as queued until the first
	// token.
	queued float64
	ended  bool
}

// Began notes that the call was sent to the runner of the decision.
func (v *View) Began(call *Call, decision Decision, now time.Time) Flight {
	v.decay(now)
	slot := &v.slots[decision.slot]
	tokens := float64(decision.Uncached)
	slot.own.streams++
	slot.own.queued += tokens
	slot.own.rate += tokens / v.options.RateTime.Seconds()
	v.addBlocks(call.Blocks, decision.slot)
	return Flight{slot: decision.slot, generation: slot.generation, queued: tokens}
}

// FirstToken notes that the first token of a call has come.
func (v *View) FirstToken(flight *Flight) {
	if slot := v.flightSlot(flight); slot != nil {
		slot.own.queued -= flight.queued
		flight.queued = 0
	}
}

// Ended notes that a call has ended, for whatever reason.
func (v *View) Ended(flight *Flight, now time.Time) {
	slot := v.flightSlot(flight)
	if slot == nil || flight.ended {
		return
	}
	v.decay(now)
	v.FirstToken(flight)
	flight.ended = true
	slot.own.streams--
	v.drained += 1 / v.options.RateTime.Seconds()
}

// Usage notes the cached prompt tokens that the answer to a call reports. It
// corrects the estimate of the tokens that the runner had to prefill.
func (v *View) Usage(flight *Flight, call *Call, decision Decision, cachedTokens int) {
	slot := v.flightSlot(flight)
	if slot == nil {
		return
	}
	uncached := max(0, call.PromptTokens-cachedTokens)
	slot.own.rate += float64(uncached-decision.Uncached) / v.options.RateTime.Seconds()
	slot.own.rate = max(0, slot.own.rate)
	v.addBlocks(call.Blocks, flight.slot)
}

// CacheEvent notes that a block has entered or left the cache of a runner.
// Events may be late and some may be lost.
func (v *View) CacheEvent(runner string, block uint64, stored bool) {
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

// addBlocks notes that the runner of a slot caches blocks.
func (v *View) addBlocks(blocks []uint64, slot int) {
	for _, block := range blocks {
		v.holders.Add(block, slot)
	}
}

// flightSlot returns the slot of a flight; it is nil when the runner has gone.
func (v *View) flightSlot(flight *Flight) *slot {
	slot := &v.slots[flight.slot]
	if slot.generation != flight.generation {
		return nil
	}
	return slot
}

// cachedTokens turns a depth in blocks into tokens of a prompt.
func cachedTokens(depth int32, promptTokens int) int {
	return min(int(depth)*prefix.BlockTokens, promptTokens)
}
