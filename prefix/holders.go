package prefix

// maxHolders bounds the runners that are remembered for one block.
const maxHolders = 16

// Holders remembers which runners cache which prompt blocks. Runners are
// named by small indexes, which the owner assigns. Knowledge may be stale in
// both directions: a runner may have evicted a block, and a lost cache event
// hides one. Holders is not safe for use by several goroutines.
type Holders struct {
	// index maps a block to its entry. It never has more entries than
	// entries has room for.
	index map[uint64]int32
	// entries has a fixed capacity; a full one evicts by the clock
	// algorithm.
	entries []holderEntry
	hand    int
}

// holderEntry is what is known of one block.
type holderEntry struct {
	block uint64
	// holders[:count] are distinct, the most recent one last.
	holders [maxHolders]uint16
	count   uint8
	// used is set by a look-up and cleared by the hand of the clock.
	used bool
}

// NewHolders returns an empty Holders that remembers up to capacity blocks.
func NewHolders(capacity int) *Holders {
	return &Holders{
		index:   make(map[uint64]int32, capacity),
		entries: make([]holderEntry, 0, capacity),
	}
}

// Len returns the number of blocks that are remembered.
func (h *Holders) Len() int { return len(h.index) }

// Add notes that runner caches block.
func (h *Holders) Add(block uint64, runner int) {
	entry := h.entry(block)
	entry.used = true
	entry.remove(uint16(runner))
	if entry.count == maxHolders {
		copy(entry.holders[:], entry.holders[1:])
		entry.count--
	}
	entry.holders[entry.count] = uint16(runner)
	entry.count++
}

// Remove notes that runner does not cache block.
func (h *Holders) Remove(block uint64, runner int) {
	if at, known := h.index[block]; known {
		h.entries[at].remove(uint16(runner))
	}
}

// Forget drops everything that is known of runner.
func (h *Holders) Forget(runner int) {
	for i := range h.entries {
		h.entries[i].remove(uint16(runner))
	}
}

// Match sets depths[runner] to the number of leading blocks that the runner
// caches. A cached block implies the ones before it, since a runner stores
// and evicts chains from their ends; so a lost event does not end a match.
// Entries of depths have to be zero on entry.
func (h *Holders) Match(blocks []uint64, depths []int32) {
	for i := len(blocks) - 1; i >= 0; i-- {
		at, known := h.index[blocks[i]]
		if !known {
			continue
		}
		entry := &h.entries[at]
		entry.used = true
		for _, runner := range entry.holders[:entry.count] {
			if depths[runner] == 0 {
				depths[runner] = int32(i + 1)
			}
		}
	}
}

// entry returns the entry of block, and makes room for a new one if needed.
func (h *Holders) entry(block uint64) *holderEntry {
	if at, known := h.index[block]; known {
		return &h.entries[at]
	}
	at := h.free()
	h.entries[at] = holderEntry{block: block}
	h.index[block] = int32(at)
	return &h.entries[at]
}

// free returns the position of an unused entry.
func (h *Holders) free() int {
	if len(h.entries) < cap(h.entries) {
		h.entries = append(h.entries, holderEntry{})
		return len(h.entries) - 1
	}
	for h.entries[h.hand].used {
		h.entries[h.hand].used = false
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
