package streamversion

// Query asks which version began a stream that a caller resumes.
type Query struct {
	Service string
	Stream  Stream
	// HasID is false if the caller has not named the attempt that began the stream.
	HasID bool
}

// Source says how the version of a stream is known.
type Source string

const (
	// FromMemory means that this process began the stream.
	FromMemory Source = "Memory"
	// FromRecord means that the store holds a record of the stream.
	FromRecord Source = "Record"
	// FromRule means that the stream has no record, so that the default version began it.
	FromRule Source = "Rule"
)

// Found is the answer to a Query.
type Found struct {
	Version string
	Source  Source
}
