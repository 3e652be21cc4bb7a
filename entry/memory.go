package entry

import "github.com/cranberrywalk/cranberrywalk/platform"

// runtimeMemoryShare is the fraction of the process's memory that the Go runtime may use. The rest
// is for the program itself and for what is allocated before a collection ends.
const runtimeMemoryShare = 0.75

// RuntimeMemoryLimit returns the limit of the Go runtime's memory in bytes, or zero if the memory of
// the process is unknown.
func RuntimeMemoryLimit(settings platform.Settings) int {
	return int(runtimeMemoryShare * float64(settings.MemoryBytes))
}
