package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// cacheTokens is the size of a runner's prefix cache.
	cacheTokens = 60_000
	// stepRingSize is the size of the ring of steps at which streams end, a power
	// of two. An answer has at most that many tokens.
	stepRingSize = 256
)

// engine simulates a runner. A step is either the prefill of one waiting prompt,
// which ends with the first token, or a decode step, which generates one token
// for each stream of the batch. Prefills go before decode steps, in the order of
// their priority.
type engine struct {
	loop  *eventLoop
	info  route.Runner
	speed route.Speed
	cache *blockCache
	// waiting is the queue of calls that wait for their prefill.
	waiting []*call
	// endingByStep holds the streams by the number of the decode step that ends
	// them, modulo stepRingSize.
	endingByStep [stepRingSize][]*call
	streamCount  int
	decodeSteps  int
	busy         bool
	stopped      bool
	// events are the cache events since the last fetch.
	events []cacheEvent
	// busyTime is the sum of the durations of all steps, warmUpBusyTime the sum
	// for the steps that start in the warm-up.
	busyTime, warmUpBusyTime time.Duration
	// onFirstToken and onEnd are called when a call gets its first token and
	// when it ends.
	onFirstToken, onEnd func(c *call)
}

// cacheEvent reports a block that was stored in the prefix cache or evicted.
type cacheEvent struct {
	block  uint64
	stored bool
}

// newEngine returns an idle engine with an empty cache.
func newEngine(l *eventLoop, info route.Runner, speed route.Speed) *engine {
	e := &engine{loop: l, info: info, speed: speed}
	e.cache = newBlockCache(cacheTokens, func(block uint64, stored bool) {
		e.events = append(e.events, cacheEvent{block: block, stored: stored})
	})
	return e
}

// accept queues a call by priority. It returns false when the engine has stopped.
func (e *engine) accept(c *call) bool {
	if e.stopped {
		return false
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].route.Priority < c.route.Priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = c
	e.startNextStep()
	return true
}

// startNextStep starts a step when the engine is idle and has work.
func (e *engine) startNextStep() {
	switch {
	case e.busy || e.stopped:
	case len(e.waiting) > 0:
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.recordPrefill(e.cache.cachedPrefix(c.blocks()) * prefix.BlockTokens)
		e.runStep(e.prefillTime(c), func() { e.addToBatch(c) })
	case e.streamCount > 0:
		e.runStep(e.decodeStepTime(), e.endDecodeStep)
	}
}

// runStep keeps the engine busy for a duration and then calls onDone, unless the
// engine has stopped.
func (e *engine) runStep(duration time.Duration, onDone func()) {
	e.busy = true
	e.busyTime += duration
	if e.loop.now < warmUp {
		e.warmUpBusyTime = e.busyTime
	}
	e.loop.after(duration, func() {
		e.busy = false
		if !e.stopped {
			onDone()
			e.startNextStep()
		}
	})
}

// addToBatch adds a call to the batch after its prefill, which generates the
// first token.
func (e *engine) addToBatch(c *call) {
	if c.engine != e {
		return
	}
	e.cache.store(c.blocks())
	c.startStep, c.startTokens = e.decodeSteps, c.generatedTokens
	c.running = true
	e.streamCount++
	c.generatedTokens++
	e.onFirstToken(c)
	if c.generatedTokens >= c.answerTokens {
		e.finish(c)
		return
	}
	at := (e.decodeSteps + c.answerTokens - c.generatedTokens) % stepRingSize
	e.endingByStep[at] = append(e.endingByStep[at], c)
}

// endDecodeStep ends the streams that got their last token in the step.
func (e *engine) endDecodeStep() {
	e.decodeSteps++
	at := e.decodeSteps % stepRingSize
	ended := e.endingByStep[at]
	e.endingByStep[at] = nil
	for _, c := range ended {
		if c.engine == e {
			e.finish(c)
		}
	}
}

// finish ends a call that is complete.
func (e *engine) finish(c *call) {
	e.streamCount--
	c.running = false
	c.generatedTokens = c.answerTokens
	e.onEnd(c)
}

// cancel removes a call from the engine and updates its generated tokens.
func (e *engine) cancel(c *call) {
	if c.running {
		c.generatedTokens = c.startTokens + 1 + e.decodeSteps - c.startStep
		e.streamCount--
		c.running = false
	}
	for i, waiting := range e.waiting {
		if waiting == c {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	c.engine = nil
}

// prefillTime returns the time to prefill the uncached tokens of a call.
func (e *engine) prefillTime(c *call) time.Duration {
	return time.Duration(float64(c.uncachedTokens) / e.speed.PrefillTokensPerSecond * float64(time.Second))
}

// decodeStepTime returns the duration of a decode step of the current batch.
func (e *engine) decodeStepTime() time.Duration {
	return e.speed.Step + time.Duration(max(0, e.streamCount-e.speed.FreeBatch))*e.speed.StepPerStream
}

// takeEvents returns the cache events since the last call.
func (e *engine) takeEvents() []cacheEvent {
	events := e.events
	e.events = nil
	return events
}
