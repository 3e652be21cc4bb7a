package usage

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// HandoverError says that a handover can't be decoded.
type HandoverError struct {
	Offset uint64
	Cause  error
}

// Error implements error.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("handover %d of counts can't be decoded: %v", e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *HandoverError) Unwrap() error { return e.Cause }

// EncodeHandover encodes the last counts of a process that stops.
func EncodeHandover(counts ProcessCounts) ([]byte, error) {
	var content bytes.Buffer
	encoder := msgpack.NewEncoder(&content)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(counts); err != nil {
		return nil, err
	}
	return content.Bytes(), nil
}

// DecodeHandover decodes the last counts of a process, which were read at an offset. It
// fails with a *HandoverError.
func DecodeHandover(offset uint64, content []byte) (ProcessCounts, error) {
	var counts ProcessCounts
	if err := packed.Unmarshal(content, &counts); err != nil {
		return ProcessCounts{}, &HandoverError{Offset: offset, Cause: err}
	}
	return counts, nil
}
