package lease

import (
	"encoding/json"
	"fmt"
)

// Record is one record of one process about one duty. It has exactly one of
// the parts.
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

// Acquire asks for a duty that nobody holds.
type Acquire struct{}

// Renew extends a lease.
type Renew struct {
	// Number is that of the lease.
	Number uint64
}

// Release ends a lease. The holder gives no order after it was sent.
type Release struct {
	// Number is that of the lease.
	Number uint64
}

// RecordError says that a payload is not a record.
type RecordError struct {
	// Offset is the position of the record in its stream.
	Offset uint64
	// Cause is the failure to decode, or nil when the record does not have
	// exactly one part.
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d is not about a lease: %v", e.Offset, e.Cause)
}

// Unwrap returns the failure underneath.
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
