package engine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// maxEvents bounds the cache events that an engine remembers.
const maxEvents = 20_000

// cache is a prefix cache of bounded size that evicts the block that was used
// least recently. It is not safe for concurrent use.
type cache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	// events are ordered by sequence; the last has sequence sequence.
	events   []publication
	sequence uint64
	now      time.Time
}

// publication is a cache event and when it happened.
type publication struct {
	event hosting.CacheEvent
	time  time.Time
}

func newCache(tokens int) *cache {
	c := &cache{}
	evicted := func(block uint64, _ struct{}) { c.publish(block, false) }
	blocks, err := simplelru.NewLRU(max(1, tokens/prefix.BlockTokens), evicted)
	if err != nil {
		panic(err) // The size is positive.
	}
	c.blocks = blocks
	return c
}

// use returns the number of leading tokens that are cached, and caches all
// blocks. The first blocks become the most recent ones, because the later
// ones are of no use without them.
func (c *cache) use(blocks []uint64, now time.Time) int {
	c.now = now
	hits := 0
	for hits < len(blocks) && c.blocks.Contains(blocks[hits]) {
		hits++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		known := c.blocks.Contains(blocks[i])
		c.blocks.Add(blocks[i], struct{}{})
		if !known {
			c.publish(blocks[i], true)
		}
	}
	return hits * prefix.BlockTokens
}

func (c *cache) tokens() int { return c.blocks.Len() * prefix.BlockTokens }

func (c *cache) publish(block uint64, stored bool) {
	c.sequence++
	event := hosting.CacheEvent{Sequence: c.sequence, Block: block, Stored: stored}
	c.events = append(c.events, publication{event: event, time: c.now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// published returns the events above a sequence that happened until shown,
// without those whose sequence is a multiple of lostEvery.
func (c *cache) published(after uint64, shown time.Time, lostEvery uint64) []hosting.CacheEvent {
	events := []hosting.CacheEvent{}
	for _, p := range c.events {
		isLost := lostEvery > 0 && p.event.Sequence%lostEvery == 0
		if p.event.Sequence > after && !p.time.After(shown) && !isLost {
			events = append(events, p.event)
		}
	}
	return events
}
