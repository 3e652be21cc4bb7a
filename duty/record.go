package duty

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Record is one entry of the log of duties. A record that stands in the log
// was appended by the process that knew all entries before it.
type Record struct {
	// Holder is the process that wrote the record.
	Holder string
	// Takes is true when the process takes the duties over, and false when it
	// already has them.
	Takes bool
	// Leaves is true when the process gives the duties back.
	Leaves bool
	// Reports are the counts that were decided with the record.
	Reports []Report
}

// RecordError says that an entry of the log can't be read.
type RecordError struct {
	Offset uint64
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("entry %d of the duties can't be read: %v", e.Offset, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *RecordError) Unwrap() error { return e.Cause }

// Encode returns the entry of a record.
func (r Record) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// DecodeRecord returns the record of an entry or fails with a *RecordError.
func DecodeRecord(offset uint64, entry []byte) (Record, error) {
	var record Record
	if err := msgpack.Unmarshal(entry, &record); err != nil {
		return Record{}, &RecordError{Offset: offset, Cause: err}
	}
	return record, nil
}
