package prefix

// maxHolders bounds the runners that are tracked for one block.
const maxHolders = 16

// Holders tracks which runners cache which prompt blocks. Runners are identified by
// small indexes, which the caller assigns. The information may be stale in both
// directions: a runner may have evicted a block, and a block may be missing because a
// cache event was lost. Holders is not safe for concurrent use.
type Holders struct {
	// index maps a block to the position of its entry. It never has more elements
	// than the capacity of entries.
	index map[uint64]int32
	// entries has a fixed capacity. When it is full, the clock algorithm selects
	// the entry to evict.
	entries []holderEntry
	// hand is the position of the clock hand.
	hand int
}

// holderEntry holds the runners that cache one block.
type holderEntry struct {
	block uint64
	// holders[:count] are distinct runners, the most recently added one last.
	holders [maxHolders]uint16
	count   uint8
	// referenced is set by a lookup and cleared by the clock hand.
	referenced bool
}

// NewHolders returns an empty Holders that tracks up to capacity blocks.
func NewHolders(capacity int) *Holders {
	return &Holders{
		index:   make(map[uint64]int32, capacity),
		entries: make([]holderEntry, 0, capacity),
	}
}

// Len returns the number of tracked blocks.
func (h *Holders) Len() int { return len(h.index) }

// Add records that runner caches block.
func (h *Holders) Add(block uint64, runner int) {
	entry := h.entry(block)
	entry.referenced = true
	entry.remove(uint16(runner))
	if entry.count == maxHolders {
		copy(entry.holders[:], entry.holders[1:])
		entry.count--
	}
	entry.holders[entry.count] = uint16(runner)
	entry.count++
}

// Remove records that runner does not cache block.
func (h *Holders) Remove(block uint64, runner int) {
	if at, known := h.index[block]; known {
		h.entries[at].remove(uint16(runner))
	}
}

// Forget removes runner from all blocks.
func (h *Holders) Forget(runner int) {
	for i := range h.entries {
		h.entries[i].remove(uint16(runner))
	}
}

// Match sets depths[runner] to the number of leading blocks that the runner caches. A
// cached block implies the ones before it, since a runner extends and evicts chains at
// their ends; so a lost event does not shorten a match. The elements of depths must be
// zero on entry.
func (h *Holders) Match(blocks []uint64, depths []int32) {
	for i := len(blocks) - 1; i >= 0; i-- {
		at, known := h.index[blocks[i]]
		if !known {
			continue
		}
		entry := &h.entries[at]
		entry.referenced = true
		for _, runner := range entry.holders[:entry.count] {
			if depths[runner] == 0 {
				depths[runner] = int32(i + 1)
			}
		}
	}
}

// entry returns the entry of block. It creates a missing one, which may evict another.
func (h *Holders) entry(block uint64) *holderEntry {
	if at, known := h.index[block]; known {
		return &h.entries[at]
	}
	at := h.free()
	h.entries[at] = holderEntry{block: block}
	h.index[block] = int32(at)
	return &h.entries[at]
}

// free returns the position of a free entry. If there is none, it evicts one.
func (h *Holders) free() int {
	if len(h.entries) < cap(h.entries) {
		h.entries = append(h.entries, holderEntry{})
		return len(h.entries) - 1
	}
	for h.entries[h.hand].referenced {
		h.entries[h.hand].referenced = false
		h.hand = (h.hand + 1) % len(h.entries)
	}
	at := h.hand
	h.hand = (h.hand + 1) % len(h.entries)
	delete(h.index, h.entries[at].block)
	return at
}

// remove deletes runner from the holders of the entry.
func (e *holderEntry) remove(runner uint16) {
	for i, holder := range e.holders[:e.count] {
		if holder == runner {
			copy(e.holders[i:], e.holders[i+1:e.count])
			e.count--
			return
		}
	}
}
