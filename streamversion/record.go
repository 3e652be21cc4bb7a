package streamversion

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// Record says which version began a stream.
type Record struct {
	Stream Stream
	// Number increases with each record of a stream; the highest one holds. A stream has a second
	// record if the runner of the first one sent no event.
	Number  int
	Version string
}

// EncodeBatch returns records as they are stored together. Each is an array without the names of
// its fields.
func EncodeBatch(records []Record) ([]byte, error) {
	var content bytes.Buffer
	encoder := msgpack.NewEncoder(&content)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(records); err != nil {
		return nil, err
	}
	return content.Bytes(), nil
}

// DecodeBatch is the inverse of EncodeBatch. It fails with a *DecodeError.
func DecodeBatch(content []byte) ([]Record, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(content))
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, &DecodeError{What: "batch", Cause: err}
	}
	if count < 0 || count > len(content) {
		return nil, &DecodeError{What: "batch", Cause: &CountError{Records: count, Bytes: len(content)}}
	}
	if err := packed.Check(content); err != nil {
		return nil, &DecodeError{What: "batch", Cause: err}
	}
	records := make([]Record, count)
	for i := range records {
		if err := decoder.Decode(&records[i]); err != nil {
			return nil, &DecodeError{What: "batch", Cause: err}
		}
	}
	return records, nil
}

// CountError reports that a batch can't hold as many records as it says.
type CountError struct{ Records, Bytes int }

// Error implements error.
func (e *CountError) Error() string { return fmt.Sprintf("%d records in %d bytes", e.Records, e.Bytes) }
