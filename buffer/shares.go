package buffer

// Divisors of the memory of a process, beside those of answers and bodies.
const (
	headerDivisor     = 12
	messageDivisor    = 24
	connectionDivisor = 8
)

// ConnectionBytes is the memory of a caller's connection that is idle: buffers, stacks and state.
const ConnectionBytes = 20 << 10

// HeaderOptionsFor returns the options for header sections in a process with memoryBytes; zero means
// unknown.
func HeaderOptionsFor(memoryBytes int) Options {
	return Options{LimitBytes: orSmallest(memoryBytes) / headerDivisor}
}

// MessageOptionsFor returns the options for messages of other daemons.
func MessageOptionsFor(memoryBytes int) Options {
	return Options{LimitBytes: orSmallest(memoryBytes) / messageDivisor, FreeBytes: freeBytes}
}

// ConnectionsFor returns the number of callers' connections that the memory suffices for.
func ConnectionsFor(memoryBytes int) int {
	return orSmallest(memoryBytes) / connectionDivisor / ConnectionBytes
}

// runtimeMemoryShare is the fraction of the process's memory that the Go runtime may use. The rest
// is for the program itself and for what is allocated before a collection ends.
const runtimeMemoryShare = 0.75

// RuntimeLimitFor returns the Go runtime's memory limit for a process with memoryBytes, or zero if
// memoryBytes is zero.
func RuntimeLimitFor(memoryBytes int) int { return int(runtimeMemoryShare * float64(memoryBytes)) }
