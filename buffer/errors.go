package buffer

import "fmt"

// ExhaustedError means that the buffer of an account held the most bytes when the limit on
// the sum was exceeded, among those that were stalled or, without any, open.
type ExhaustedError struct {
	Owner string
	// Bytes is what the account held.
	Bytes      int
	LimitBytes int
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("what %s sends holds %d bytes, the most when the limit of %d bytes was exceeded", e.Owner, e.Bytes, e.LimitBytes)
}

// NoRoomError means that the body of a request does not fit beside the others.
type NoRoomError struct {
	Owner string
	// Bytes is what the body needs.
	Bytes int
	// OwnerBytes is what the bodies of the owner hold, and AllowedBytes what they may hold now.
	OwnerBytes, AllowedBytes int
	// HeldBytes is what all bodies hold.
	HeldBytes, LimitBytes int
	// FitsLater is false if the body does not fit without any others either.
	FitsLater bool
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("a body of %d bytes does not fit: %q holds %d bytes and may hold %d, all bodies hold %d, limit %d",
		e.Bytes, e.Owner, e.OwnerBytes, e.AllowedBytes, e.HeldBytes, e.LimitBytes)
}

// DroppedError means that a body was dropped for the sake of others, since its sender stalled.
type DroppedError struct{ Owner string }

// Error implements error.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("a body of %q that its sender did not go on with was dropped for the sake of others", e.Owner)
}
