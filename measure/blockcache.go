package measure

import "github.com/cranberrywalk/cranberrywalk/prefix"

// blockCache is the prefix cache of a fake runner. It evicts the block that
// was used least recently, the end of a chain before its beginning.
type blockCache struct {
	// positions maps a block to its node.
	positions map[uint64]int32
	// nodes form a list in the order of use; node 0 is its anchor.
	nodes []blockNode
	// changed is told of every block that is stored or evicted.
	changed func(block uint64, stored bool)
}

// blockNode is one block of the list.
type blockNode struct {
	block          uint64
	newer, earlier int32
}

// newBlockCache returns an empty cache with room for tokens.
func newBlockCache(tokens int, changed func(uint64, bool)) *blockCache {
	capacity := tokens / prefix.BlockTokens
	return &blockCache{
		positions: make(map[uint64]int32, capacity),
		nodes:     make([]blockNode, 1, capacity+1),
		changed:   changed,
	}
}

// depth returns the number of leading blocks that are cached.
func (c *blockCache) depth(blocks []uint64) int {
	for i, block := range blocks {
		if _, cached := c.positions[block]; !cached {
			return i
		}
	}
	return len(blocks)
}

// store caches blocks and marks them as used, the first one last.
func (c *blockCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		at, cached := c.positions[blocks[i]]
		if cached {
			c.unlink(at)
		} else {
			at = c.free()
			c.nodes[at].block = blocks[i]
			c.positions[blocks[i]] = at
			c.changed(blocks[i], true)
		}
		c.link(at)
	}
}

// free returns an unused node; it evicts the oldest block when there is none.
func (c *blockCache) free() int32 {
	if len(c.nodes) < cap(c.nodes) {
		c.nodes = append(c.nodes, blockNode{})
		return int32(len(c.nodes) - 1)
	}
	oldest := c.nodes[0].newer
	evicted := c.nodes[oldest].block
	c.unlink(oldest)
	delete(c.positions, evicted)
	c.changed(evicted, false)
	return oldest
}

// unlink takes a node out of the list.
func (c *blockCache) unlink(at int32) {
	node := c.nodes[at]
	c.nodes[node.newer].earlier = node.earlier
	c.nodes[node.earlier].newer = node.newer
}

// link puts a node at the most recent end of the list, before the anchor.
func (c *blockCache) link(at int32) {
	latest := c.nodes[0].earlier
	c.nodes[at].earlier, c.nodes[at].newer = latest, 0
	c.nodes[latest].newer = at
	c.nodes[0].earlier = at
}
