package streamversion

// UnknownReason says why it is not known which version began a stream.
type UnknownReason string

const (
	// NoRecord means that the stream has none, and that the rule names no default version.
	NoRecord UnknownReason = "NoRecord"
	// NoID means that the caller has not named the attempt that began the stream, while streams
	// of more than one version may exist.
	NoID UnknownReason = "NoID"
	// StoreUnavailable means that the store can't be read.
	StoreUnavailable UnknownReason = "StoreUnavailable"
	// StoreRestored means that the store may have lost records.
	StoreRestored UnknownReason = "StoreRestored"
)

// UnknownError reports that it is not known which version began a stream.
type UnknownError struct {
	Reason UnknownReason
	// Cause is the failure of the store, or nil.
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	text := "the version that began the stream is unknown: " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
