package route

// rendezvousKey returns the key of the prompt's leading blocks, at most count of
// them. A chained hash covers all blocks before it, so the last one suffices.
// Each call without blocks gets a different key, which spreads such calls.
func (v *View) rendezvousKey(call *Call, count int) uint64 {
	if len(call.Blocks) == 0 {
		v.rotation++
		return splitMix64(v.rotation)
	}
	return call.Blocks[min(count, len(call.Blocks))-1]
}

// splitMix64 returns a hash of x by the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
