package engine

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestBatch returns a batch that does not run; the test calls admit and emit.
func newTestBatch(parameters Parameters) *batch {
	return newBatch(clock.NewFake(start), parameters, func() float64 { return 1 })
}

func newTestStream(id string, priority, promptTokens, length int) *stream {
	return &stream{id: id, priority: priority, promptTokens: promptTokens, remaining: length, words: make(chan string, length)}
}

func TestStepTakesPrefillAndDecodeTime(t *testing.T) {
	for _, scenario := range []struct {
		name         string
		streams      int
		promptTokens int
		duration     time.Duration
	}{
		{"decode only", 1, 0, 30 * time.Millisecond},
		{"prefill", 1, 2000, 130 * time.Millisecond},
		{"full batch", 16, 0, 30 * time.Millisecond},
		{"above a full batch", 20, 0, 34 * time.Millisecond},
		{"prefill of part of the queue", 4, 3000, 330 * time.Millisecond},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestBatch(DefaultParameters())
			for range scenario.streams {
				c.Assert(b.submit(newTestStream("", 0, scenario.promptTokens, 1)), qt.IsNil)
			}

			duration, busy := b.admit()

			c.Assert(busy, qt.IsTrue)
			c.Assert(duration, qt.Equals, scenario.duration)
		})
	}
}

func TestQueueIsOrderedByPriority(t *testing.T) {
	c := qt.New(t)
	parameters := DefaultParameters()
	parameters.MaxBatch = 1
	parameters.MaxQueue = 3
	b := newTestBatch(parameters)
	c.Assert(b.submit(newTestStream("tagging", 5, 1, 1)), qt.IsNil)
	c.Assert(b.submit(newTestStream("chat", -5, 1, 1)), qt.IsNil)
	c.Assert(b.submit(newTestStream("late chat", -5, 1, 1)), qt.IsNil)

	err := b.submit(newTestStream("refused", -9, 1, 1))

	var full *QueueFullError
	c.Assert(errors.As(err, &full), qt.IsTrue)
	for _, id := range []string{"chat", "late chat", "tagging"} {
		b.admit()
		c.Assert(b.running, qt.HasLen, 1)
		c.Assert(b.running[0].id, qt.Equals, id)
		b.emit()
	}
	_, busy := b.admit()
	c.Assert(busy, qt.IsFalse)
}

func TestCancelledStreamLeavesBatchAndQueue(t *testing.T) {
	c := qt.New(t)
	parameters := DefaultParameters()
	parameters.MaxBatch = 1
	b := newTestBatch(parameters)
	running, waiting := newTestStream("running", 0, 1, 9), newTestStream("waiting", 0, 1, 9)
	c.Assert(b.submit(running), qt.IsNil)
	c.Assert(b.submit(waiting), qt.IsNil)
	b.admit()
	b.emit()
	c.Assert(b.loadReport().Queued, qt.Equals, 1)

	running.cancelled.Store(true)
	waiting.cancelled.Store(true)

	_, busy := b.admit()
	c.Assert(busy, qt.IsFalse)
	c.Assert(b.loadReport().Running+b.loadReport().Queued, qt.Equals, 0)
}

func TestCacheEvictsLeastRecentBlock(t *testing.T) {
	c := qt.New(t)
	cached := newCache(3 * 64)
	cached.access([]uint64{1, 2}, start)
	cached.access([]uint64{3}, start)
	c.Assert(cached.access([]uint64{1, 2}, start), qt.Equals, 2*64)

	cached.access([]uint64{4}, start.Add(time.Second))

	c.Assert(cached.access([]uint64{3}, start.Add(time.Minute)), qt.Equals, 0)
	c.Assert(cached.tokens(), qt.Equals, 3*64)
	c.Assert(cached.publishedEvents(3, start.Add(time.Second), 4), qt.DeepEquals, []hosting.CacheEvent{
		{Sequence: 5, Block: 4, Stored: true},
	})
}
