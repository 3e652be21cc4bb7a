package logstream

import "fmt"

// ClosedError reports that a publisher or a subscriber was used after Close.
type ClosedError struct {
	Topic string
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("topic %s was used after its publisher or subscriber was closed", e.Topic)
}

// MetadataError reports that metadata of a message is missing or malformed.
type MetadataError struct {
	Key   string
	Value string
}

// Error implements error.
func (e *MetadataError) Error() string {
	return fmt.Sprintf("metadata %s of the message is invalid: %q", e.Key, e.Value)
}
