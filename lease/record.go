package lease

import (
	"encoding/json"
	"fmt"
)

// Record is one record of one process about one duty. Exactly one of Acquire,
// Renew and Release is set.
type Record struct {
	Duty        string
	Daemon      string
	Incarnation string
	// Sequence identifies the record among those of the process.
	Sequence uint64
	Acquire  *Acquire `json:",omitempty"`
	Renew    *Renew   `json:",omitempty"`
	Release  *Release `json:",omitempty"`
}

// Acquire requests a duty that nobody holds.
type Acquire struct{}

// Renew extends a lease.
type Renew struct {
	// Number is the number of the lease.
	Number uint64
}

// Release ends a lease. The holder gives no more orders after sending it.
type Release struct {
	// Number is the number of the lease.
	Number uint64
}

// RecordError reports that a payload is not a lease record.
type RecordError struct {
	// Offset is the position of the record in its stream.
	Offset uint64
	// Cause is the decoding error, or nil when the record does not have exactly
	// one of Acquire, Renew and Release.
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("lease record %d does not have exactly one action", e.Offset)
	}
	return fmt.Sprintf("invalid lease record %d: %v", e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Encode returns the payload of the record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// decode returns the record of a payload or a *RecordError.
func decode(offset uint64, payload []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(payload, &record); err != nil {
		return Record{}, &RecordError{Offset: offset, Cause: err}
	}
	parts := 0
	for _, isSet := range []bool{record.Acquire != nil, record.Renew != nil, record.Release != nil} {
		if isSet {
			parts++
		}
	}
	if parts != 1 {
		return Record{}, &RecordError{Offset: offset}
	}
	return record, nil
}
