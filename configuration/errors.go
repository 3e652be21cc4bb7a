package configuration

import "fmt"

// GapError reports that the log service has removed records that the state needs and that
// no snapshot bridges the gap.
type GapError struct {
	// Needed is the offset of the first missing record.
	Needed uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the log no longer has record %d of the configuration and holds no snapshot after it", e.Needed)
}
