package lease

import (
	"fmt"
	"time"
)

// HeldError says that an Acquire came while the lease of another record was
// valid, or may have been.
type HeldError struct {
	Duty string
	// Until is when the lease lapses by the log's clock.
	Until time.Time
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("duty %s is held until %s", e.Duty, e.Until.Format(time.RFC3339Nano))
}

// NotHeldError says that a Renew or Release is not about the lease in force.
type NotHeldError struct {
	Duty   string
	Number uint64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %d of duty %s is not in force", e.Number, e.Duty)
}

// OffsetError says that a record is not the next one of the stream.
type OffsetError struct {
	Offset uint64
	Next   uint64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("record %d was folded in place of %d", e.Offset, e.Next)
}

// OptionsError says that a lease cannot work with its options.
type OptionsError struct {
	Options Options
}

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("lease duration %s and margin %s must be above zero", e.Options.Duration, e.Options.Margin)
}
