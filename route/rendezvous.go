package route

// rendezvousKey returns the key of the prompt's first blocks, at most count of
// them. A chained hash covers the blocks before it, so the last one suffices.
// A call without blocks gets a key of its own, so that such calls spread.
func (v *View) rendezvousKey(call *Call, count int) uint64 {
	if len(call.Blocks) == 0 {
		v.turn++
		return mix(v.turn)
	}
	return call.Blocks[min(count, len(call.Blocks))-1]
}

// mix returns a hash of x by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
