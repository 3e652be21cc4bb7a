package engine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// maxEvents limits the cache events that an engine retains.
const maxEvents = 20_000

// cache is an LRU prefix cache of bounded size. It is not safe for concurrent use.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// events holds the latest events in order; sequence is the sequence number
	// of the last event.
	events   []timedEvent
	sequence uint64
	// now is the time of the current access, at which its events happen.
	now time.Time
}

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	event hosting.CacheEvent
	time  time.Time
}

func newCache(tokens int) *cache {
	c := &cache{}
	evicted := func(block uint64, _ struct{}) { c.recordEvent(block, false) }
	blocks, err := simplelru.NewLRU(max(1, tokens/prefix.BlockTokens), evicted)
	if err != nil {
		panic(err) // The size is positive.
	}
	c.blocks = blocks
	return c
}

// access returns the number of leading tokens that are cached, and caches all
// blocks. The first blocks become the most recently used ones, because later
// blocks are useless without them.
func (c *cache) access(blocks []uint64, now time.Time) int {
	c.now = now
	hits := 0
	for hits < len(blocks) && c.blocks.Contains(blocks[hits]) {
		hits++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		isCached := c.blocks.Contains(blocks[i])
		c.blocks.Add(blocks[i], struct{}{})
		if !isCached {
			c.recordEvent(blocks[i], true)
		}
	}
	return hits * prefix.BlockTokens
}

func (c *cache) tokens() int { return c.blocks.Len() * prefix.BlockTokens }

func (c *cache) recordEvent(block uint64, stored bool) {
	c.sequence++
	event := hosting.CacheEvent{Sequence: c.sequence, Block: block, Stored: stored}
	c.events = append(c.events, timedEvent{event: event, time: c.now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// publishedEvents returns the events whose sequence number is above after and that
// happened no later than until. It omits events whose sequence number is a multiple
// of lostEvery, unless lostEvery is 0.
func (c *cache) publishedEvents(after uint64, until time.Time, lostEvery uint64) []hosting.CacheEvent {
	events := []hosting.CacheEvent{}
	for _, p := range c.events {
		isLost := lostEvery > 0 && p.event.Sequence%lostEvery == 0
		if p.event.Sequence > after && !p.time.After(until) && !isLost {
			events = append(events, p.event)
		}
	}
	return events
}
