package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/call"
)

// promptCache estimates which prompt segments a runner caches: those that were sent
// there, with the least recently used evicted above maxTokens.
type promptCache struct {
	segments  *simplelru.LRU[string, int]
	tokens    int
	maxTokens int
}

// maxSegments bounds the segments that are tracked for a runner.
const maxSegments = 4096

func newPromptCache() *promptCache {
	c := &promptCache{}
	// The only failure of NewLRU is a size below 1.
	c.segments, _ = simplelru.NewLRU(maxSegments, func(_ string, tokens int) { c.tokens -= tokens })
	return c
}

func (c *promptCache) resize(maxTokens int) { c.maxTokens = maxTokens }

// match returns the number of tokens in the leading cached segments of the prompt.
func (c *promptCache) match(prompt []call.PromptSegment) int {
	total := 0
	for _, segment := range prompt {
		if !c.segments.Contains(segment.ID) {
			break
		}
		total += segment.Tokens
	}
	return total
}

func (c *promptCache) add(prompt []call.PromptSegment) {
	// Touch the leading segments last, so that they are evicted last: a cached segment
	// is useless without the ones before it.
	for i := len(prompt) - 1; i >= 0; i-- {
		segment := prompt[i]
		if _, found := c.segments.Get(segment.ID); found {
			continue
		}
		c.segments.Add(segment.ID, segment.Tokens)
		c.tokens += segment.Tokens
	}
	for c.tokens > c.maxTokens && c.segments.Len() > 0 {
		c.segments.RemoveOldest()
	}
}
