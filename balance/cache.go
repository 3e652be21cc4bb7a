package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/call"
)

// promptCache remembers the prompt parts that were sent to a runner, the last
// used ones up to a number of tokens.
type promptCache struct {
	parts  *simplelru.LRU[string, int]
	tokens int
	most   int
}

// mostParts bounds the parts that are remembered for a runner.
const mostParts = 4096

func newPromptCache() *promptCache {
	c := &promptCache{}
	// The only failure of NewLRU is a size below 1.
	c.parts, _ = simplelru.NewLRU(mostParts, func(_ string, tokens int) { c.tokens -= tokens })
	return c
}

func (c *promptCache) resize(most int) { c.most = most }

// match returns the tokens of the leading parts that are remembered.
func (c *promptCache) match(prompt []call.Part) int {
	total := 0
	for _, part := range prompt {
		if !c.parts.Contains(part.ID) {
			break
		}
		total += part.Tokens
	}
	return total
}

func (c *promptCache) add(prompt []call.Part) {
	// The first parts are used last, since the others are of no use without
	// them.
	for i := len(prompt) - 1; i >= 0; i-- {
		part := prompt[i]
		if _, found := c.parts.Get(part.ID); found {
			continue
		}
		c.parts.Add(part.ID, part.Tokens)
		c.tokens += part.Tokens
	}
	for c.tokens > c.most && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
