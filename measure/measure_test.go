package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// newTestEngine returns an engine whose calls are noted by the test.
func newTestEngine(l *loop) *engine {
	e := newEngine(l, route.Runner{Name: "runner"}, route.DefaultSpeed())
	e.onFirst = func(c *call) { c.first = l.now }
	e.onEnd = func(c *call) { c.ended = l.now }
	return e
}

// newTestCall returns a call of blocks that are told apart by their seed.
func newTestCall(e *engine, seed uint64, blocks, answer int) *call {
	c := &call{engine: e, answer: answer}
	c.route.PromptTokens = 64 * blocks
	for i := range blocks {
		c.route.Blocks = append(c.route.Blocks, seed<<32+uint64(i))
	}
	return c
}

func TestEngineTimes(t *testing.T) {
	c := qt.New(t)
	l := &loop{}
	e := newTestEngine(l)
	first := newTestCall(e, 1, 50, 11)
	second := newTestCall(e, 1, 50, 11)

	e.accept(first)
	l.runUntil(time.Second)
	e.accept(second)
	l.runUntil(2 * time.Second)

	c.Assert(first.first, qt.Equals, 160*time.Millisecond)
	c.Assert(first.ended-first.first, qt.Equals, 300*time.Millisecond)
	c.Assert(second.uncached, qt.Equals, 0)
	c.Assert(second.between(), qt.Equals, 30*time.Millisecond)
}

func TestEngineSlowsDownAboveFreeBatch(t *testing.T) {
	c := qt.New(t)
	l := &loop{}
	e := newTestEngine(l)
	var last *call
	for range 36 {
		last = newTestCall(e, 1, 0, 101)
		e.accept(last)
	}
	l.runUntil(time.Minute)
	c.Assert(last.between(), qt.Equals, 50*time.Millisecond)
}

func TestCancelledStreamKnowsItsTokens(t *testing.T) {
	c := qt.New(t)
	l := &loop{}
	e := newTestEngine(l)
	moved := newTestCall(e, 1, 0, 101)
	e.accept(moved)
	l.runUntil(95 * time.Millisecond)

	e.cancel(moved)
	l.runUntil(time.Minute)

	c.Assert(moved.generated, qt.Equals, 4)
	c.Assert(moved.ended, qt.Equals, time.Duration(0))
	c.Assert(e.streams, qt.Equals, 0)
}

func TestBlockCacheEvictsEndOfOldestChain(t *testing.T) {
	c := qt.New(t)
	evicted := map[uint64]bool{}
	cache := newBlockCache(4*64, func(block uint64, stored bool) { evicted[block] = !stored })
	cache.store([]uint64{1, 2})
	cache.store([]uint64{3, 4})
	cache.store([]uint64{5})

	c.Assert(evicted, qt.DeepEquals, map[uint64]bool{1: false, 2: true, 3: false, 4: false, 5: false})
	c.Assert(cache.depth([]uint64{1, 2}), qt.Equals, 1)
	c.Assert(cache.depth([]uint64{3, 4}), qt.Equals, 2)
}

func TestRunsRepeat(t *testing.T) {
	c := qt.New(t)
	for _, tenant := range []Tenant{Porchlight(), Trust()} {
		one := run(tenant, Scenarios()[1], route.NewScore(), 1, 0.3, 20*time.Second)
		other := run(tenant, Scenarios()[1], route.NewScore(), 1, 0.3, 20*time.Second)
		c.Assert(one, qt.Equals, other)
		c.Assert(one.recompute >= 1, qt.IsTrue)
	}
}

func TestWaveEndsNoCall(t *testing.T) {
	c := qt.New(t)
	tenant := Porchlight()
	s := newSimulation(tenant, Scenarios()[1], route.NewScore(), 1, steady(40))
	s.run(warmUp + drainTime)
	c.Assert(s.moved > 0, qt.IsTrue)
	for _, call := range s.calls {
		if call.arrived < warmUp {
			c.Assert(call.refused, qt.IsFalse)
			c.Assert(call.ended > 0, qt.IsTrue)
		}
	}
}
