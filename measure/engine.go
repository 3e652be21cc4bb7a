package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// cacheTokens is the size of a runner's prefix cache.
	cacheTokens = 60_000
	// longestAnswer bounds the tokens of an answer; it is a power of two.
	longestAnswer = 256
)

// engine is a fake runner. A step is either the prefill of one waiting prompt,
// whose first token comes at its end, or one token for each stream of the
// batch. Waiting prompts go before the batch, higher priorities first.
type engine struct {
	loop  *loop
	info  route.Runner
	speed route.Speed
	cache *blockCache
	// waiting holds the calls without a first token.
	waiting []*call
	// ending holds the streams by the number of the step that ends them,
	// modulo longestAnswer.
	ending  [longestAnswer][]*call
	streams int
	// steps counts the steps of the batch.
	steps int
	busy  bool
	gone  bool
	// events collects the cache events since they were last fetched.
	events []cacheEvent
	// busyTime sums the times of all steps, warmTime those of the warm-up.
	busyTime, warmTime time.Duration
	// hooks are called when a call gets its first token and when it ends.
	onFirst, onEnd func(c *call)
}

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	block  uint64
	stored bool
}

// newEngine returns an idle engine with an empty cache.
func newEngine(l *loop, info route.Runner, speed route.Speed) *engine {
	e := &engine{loop: l, info: info, speed: speed}
	e.cache = newBlockCache(cacheTokens, func(block uint64, stored bool) {
		e.events = append(e.events, cacheEvent{block: block, stored: stored})
	})
	return e
}

// accept adds a call. It reports false when the engine is gone.
func (e *engine) accept(c *call) bool {
	if e.gone {
		return false
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].route.Priority < c.route.Priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = c
	e.next()
	return true
}

// next starts a step when the engine is idle and has work.
func (e *engine) next() {
	switch {
	case e.busy || e.gone:
	case len(e.waiting) > 0:
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.prefill(e.cache.depth(c.blocks()) * prefix.BlockTokens)
		e.step(e.prefillTime(c), func() { e.start(c) })
	case e.streams > 0:
		e.step(e.stepTime(), e.decode)
	}
}

// step occupies the engine for a time and then calls done.
func (e *engine) step(length time.Duration, done func()) {
	e.busy = true
	e.busyTime += length
	if e.loop.now < warmUp {
		e.warmTime = e.busyTime
	}
	e.loop.after(length, func() {
		e.busy = false
		if !e.gone {
			done()
			e.next()
		}
	})
}

// start puts a call whose prompt is complete into the batch.
func (e *engine) start(c *call) {
	if c.engine != e {
		return
	}
	e.cache.store(c.blocks())
	c.startStep, c.startTokens = e.steps, c.generated
	c.running = true
	e.streams++
	c.generated++
	e.onFirst(c)
	if c.generated >= c.answer {
		e.finish(c)
		return
	}
	at := (e.steps + c.answer - c.generated) % longestAnswer
	e.ending[at] = append(e.ending[at], c)
}

// decode ends a step of the batch.
func (e *engine) decode() {
	e.steps++
	at := e.steps % longestAnswer
	ended := e.ending[at]
	e.ending[at] = nil
	for _, c := range ended {
		if c.engine == e {
			e.finish(c)
		}
	}
}

// finish ends a call.
func (e *engine) finish(c *call) {
	e.streams--
	c.running = false
	c.generated = c.answer
	e.onEnd(c)
}

// cancel takes a call out of the engine and brings its generated tokens up to
// date.
func (e *engine) cancel(c *call) {
	if c.running {
		c.generated = c.startTokens + 1 + e.steps - c.startStep
		e.streams--
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

// prefillTime returns the time to prefill the prompt of a call.
func (e *engine) prefillTime(c *call) time.Duration {
	return time.Duration(float64(c.uncached) / e.speed.PrefillTokensPerSecond * float64(time.Second))
}

// stepTime returns the time of a step of the batch.
func (e *engine) stepTime() time.Duration {
	return e.speed.Step + time.Duration(max(0, e.streams-e.speed.FreeBatch))*e.speed.StepPerStream
}

// takeEvents returns the cache events since the last time.
func (e *engine) takeEvents() []cacheEvent {
	events := e.events
	e.events = nil
	return events
}
