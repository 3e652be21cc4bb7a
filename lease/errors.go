package lease

import (
	"fmt"
	"time"
)

// HeldError reports that an Acquire was rejected because a lease of the duty
// was valid, or may have been.
type HeldError struct {
	Duty string
	// Until is when the lease expires by the log's clock.
	Until time.Time
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("duty %s is held until %s", e.Duty, e.Until.Format(time.RFC3339Nano))
}

// NotHeldError reports that a Renew or Release does not name the current lease.
type NotHeldError struct {
	Duty   string
	Number uint64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %d of duty %s is not the current lease of the process", e.Number, e.Duty)
}

// OffsetError reports that a record is not the next one of the stream.
type OffsetError struct {
	Offset uint64
	Next   uint64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("got record %d, want record %d", e.Offset, e.Next)
}

// OptionsError reports that the options are invalid.
type OptionsError struct {
	Options Options
}

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("lease duration %s and margin %s must be positive", e.Options.Duration, e.Options.Margin)
}
