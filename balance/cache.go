package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/call"
)

// promptCache estimates which prompt parts a runner caches: those that were sent
// there, with the least recently used evicted above maxTokens.
type promptCache struct {
	parts     *simplelru.LRU[string, int]
	tokens    int
	maxTokens int
}

// maxParts bounds the parts that are tracked for a runner.
const maxParts = 4096

func newPromptCache() *promptCache {
	c := &promptCache{}
	// The only failure of NewLRU is a size below 1.
	c.parts, _ = simplelru.NewLRU(maxParts, func(_ string, tokens int) { c.tokens -= tokens })
	return c
}

func (c *promptCache) resize(maxTokens int) { c.maxTokens = maxTokens }

// match returns the number of tokens in the leading cached parts of the prompt.
func (c *promptCache) match(prompt []call.PromptSegment) int {
	total := 0
	for _, part := range prompt {
		if !c.parts.Contains(part.ID) {
			break
		}
		total += part.Tokens
	}
	return total
}

func (c *promptCache) add(prompt []call.PromptSegment) {
	// Touch the leading parts last, so that they are evicted last: a cached part
	// is useless without the ones before it.
	for i := len(prompt) - 1; i >= 0; i-- {
		part := prompt[i]
		if _, found := c.parts.Get(part.ID); found {
			continue
		}
		c.parts.Add(part.ID, part.Tokens)
		c.tokens += part.Tokens
	}
	for c.tokens > c.maxTokens && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
