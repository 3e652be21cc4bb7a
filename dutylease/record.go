package dutylease

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// Record is one entry of the log of duties. Every record in the log was appended by
// a process that had read all entries before it.
type Record struct {
	// Holder is the process that wrote the record.
	Holder string
	// Takes is true when the process acquires the lease, and false when it
	// already holds it.
	Takes bool
	// Leaves is true when the process releases the lease.
	Leaves bool
	// Reports are the usage reports decided with the record, and earlier ones that
	// the log may have lost.
	Reports []Report
	// Epoch is the epoch of the log that the writer had read. An append that takes
	// effect in another epoch is void.
	Epoch uint64
	// FirstWindow is the first window whose report can't have been decided in an
	// earlier epoch. All records of an epoch have the same.
	FirstWindow int64 `msgpack:",omitempty"`
}

// RecordError says that an entry of the log can't be decoded.
type RecordError struct {
	Offset uint64
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("entry %d of the log of duties can't be decoded: %v", e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Encode returns the record as an entry of the log.
func (r Record) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// DecodeRecord decodes an entry of the log. It fails with a *RecordError.
func DecodeRecord(offset uint64, entry []byte) (Record, error) {
	var record Record
	if err := packed.Unmarshal(entry, &record); err != nil {
		return Record{}, &RecordError{Offset: offset, Cause: err}
	}
	return record, nil
}
