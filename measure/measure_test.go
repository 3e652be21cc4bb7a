package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// newTestEngine returns an engine that records the times of the first token and of
// the end in each call.
func newTestEngine(l *eventLoop) *engine {
	e := newEngine(l, route.Runner{Name: "runner"}, route.DefaultSpeed())
	e.onFirstToken = func(c *call) { c.firstTokenAt = l.now }
	e.onEnd = func(c *call) { c.endedAt = l.now }
	return e
}

// newTestCall returns a call whose prompt has a number of blocks. Calls with the
// same chain have the same blocks.
func newTestCall(e *engine, chain uint64, blocks, answer int) *call {
	c := &call{engine: e, answerTokens: answer}
	c.route.PromptTokens = 64 * blocks
	for i := range blocks {
		c.route.Blocks = append(c.route.Blocks, chain<<32+uint64(i))
	}
	return c
}

func TestEnginePrefillsOnceAndDecodesAtStepTime(t *testing.T) {
	c := qt.New(t)
	l := &eventLoop{}
	e := newTestEngine(l)
	first := newTestCall(e, 1, 50, 11)
	second := newTestCall(e, 1, 50, 11)

	e.accept(first)
	l.runUntil(time.Second)
	e.accept(second)
	l.runUntil(2 * time.Second)

	c.Assert(first.firstTokenAt, qt.Equals, 160*time.Millisecond)
	c.Assert(first.endedAt-first.firstTokenAt, qt.Equals, 300*time.Millisecond)
	c.Assert(second.uncachedTokens, qt.Equals, 0)
	c.Assert(second.meanTokenInterval(), qt.Equals, 30*time.Millisecond)
}

func TestEngineSlowsDownAboveFreeBatch(t *testing.T) {
	c := qt.New(t)
	l := &eventLoop{}
	e := newTestEngine(l)
	var last *call
	for range 36 {
		last = newTestCall(e, 1, 0, 101)
		e.accept(last)
	}
	l.runUntil(time.Minute)
	c.Assert(last.meanTokenInterval(), qt.Equals, 50*time.Millisecond)
}

func TestCancelSetsGeneratedTokens(t *testing.T) {
	c := qt.New(t)
	l := &eventLoop{}
	e := newTestEngine(l)
	moved := newTestCall(e, 1, 0, 101)
	e.accept(moved)
	l.runUntil(95 * time.Millisecond)

	e.cancel(moved)
	l.runUntil(time.Minute)

	c.Assert(moved.generatedTokens, qt.Equals, 4)
	c.Assert(moved.endedAt, qt.Equals, time.Duration(0))
	c.Assert(e.streamCount, qt.Equals, 0)
}

func TestBlockCacheEvictsEndOfOldestChain(t *testing.T) {
	c := qt.New(t)
	evicted := map[uint64]bool{}
	cache := newBlockCache(4*64, func(block uint64, stored bool) { evicted[block] = !stored })
	cache.store([]uint64{1, 2})
	cache.store([]uint64{3, 4})
	cache.store([]uint64{5})

	c.Assert(evicted, qt.DeepEquals, map[uint64]bool{1: false, 2: true, 3: false, 4: false, 5: false})
	c.Assert(cache.cachedPrefix([]uint64{1, 2}), qt.Equals, 1)
	c.Assert(cache.cachedPrefix([]uint64{3, 4}), qt.Equals, 2)
}

func TestRunsAreReproducible(t *testing.T) {
	c := qt.New(t)
	for _, tenant := range []Tenant{Porchlight(), Trust()} {
		one := runScenario(tenant, Scenarios()[1], route.NewScore(), 1, 0.3, 20*time.Second)
		other := runScenario(tenant, Scenarios()[1], route.NewScore(), 1, 0.3, 20*time.Second)
		c.Assert(one, qt.Equals, other)
		c.Assert(one.recomputeRatio >= 1, qt.IsTrue)
	}
}

func TestZoneReclaimFailsNoCall(t *testing.T) {
	c := qt.New(t)
	tenant := Porchlight()
	s := newSimulation(tenant, Scenarios()[1], route.NewScore(), 1, constantRate(40))
	s.run(warmUp + drainTime)
	c.Assert(s.movedCalls > 0, qt.IsTrue)
	for _, call := range s.calls {
		if call.arrivedAt < warmUp {
			c.Assert(call.refused, qt.IsFalse)
			c.Assert(call.endedAt > 0, qt.IsTrue)
		}
	}
}
