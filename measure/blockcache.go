package measure

import "github.com/cranberrywalk/cranberrywalk/prefix"

// blockCache is the prefix cache of a fake runner, with LRU eviction. Of the
// blocks of one prompt, the last one is evicted first.
type blockCache struct {
	// positions maps a block to its node.
	positions map[uint64]int32
	// nodes form a list in the order of last use; node 0 is its sentinel.
	nodes []blockNode
	// onChange is called for every block that is stored or evicted.
	onChange func(block uint64, stored bool)
}

// blockNode is one block of the list.
type blockNode struct {
	block        uint64
	newer, older int32
}

// newBlockCache returns an empty cache with room for tokens.
func newBlockCache(tokens int, onChange func(uint64, bool)) *blockCache {
	capacity := tokens / prefix.BlockTokens
	return &blockCache{
		positions: make(map[uint64]int32, capacity),
		nodes:     make([]blockNode, 1, capacity+1),
		onChange:  onChange,
	}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *blockCache) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if _, cached := c.positions[block]; !cached {
			return i
		}
	}
	return len(blocks)
}

// store caches blocks and marks them as used, in reverse order, so that the
// first block of a prompt is the most recently used one.
func (c *blockCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		at, cached := c.positions[blocks[i]]
		if cached {
			c.unlink(at)
		} else {
			at = c.allocate()
			c.nodes[at].block = blocks[i]
			c.positions[blocks[i]] = at
			c.onChange(blocks[i], true)
		}
		c.link(at)
	}
}

// allocate returns an unused node. When there is none, it evicts the least
// recently used block.
func (c *blockCache) allocate() int32 {
	if len(c.nodes) < cap(c.nodes) {
		c.nodes = append(c.nodes, blockNode{})
		return int32(len(c.nodes) - 1)
	}
	oldest := c.nodes[0].newer
	evicted := c.nodes[oldest].block
	c.unlink(oldest)
	delete(c.positions, evicted)
	c.onChange(evicted, false)
	return oldest
}

// unlink removes a node from the list.
func (c *blockCache) unlink(at int32) {
	node := c.nodes[at]
	c.nodes[node.newer].older = node.older
	c.nodes[node.older].newer = node.newer
}

// link inserts a node at the most recently used end of the list.
func (c *blockCache) link(at int32) {
	latest := c.nodes[0].older
	c.nodes[at].older, c.nodes[at].newer = latest, 0
	c.nodes[latest].newer = at
	c.nodes[0].older = at
}
