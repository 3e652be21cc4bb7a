package streamversion

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// Rule says which version began the streams of a service that have no record.
type Rule struct {
	// Default is the version that began the streams without a record, or empty if that is not
	// known: they can't be resumed.
	Default string
	// RecordsAll is true if streams of the default version are recorded as well, so that another
	// version can become the default one when no older stream is left.
	RecordsAll bool
	// Generation increases with each rule of a service.
	Generation uint64
	// Epoch is the epoch of the store for which the rule was written. After a restore of the
	// store, records of streams may be missing, and the rule says nothing until it is confirmed.
	Epoch uint64
}

// NeedsRecord reports whether a stream that a version begins has to be recorded.
func (r Rule) NeedsRecord(version string) bool { return r.RecordsAll || r.Default != version }

// WithEpoch returns a copy that holds for another epoch of the store.
func (r Rule) WithEpoch(epoch uint64) Rule {
	r.Epoch = epoch
	return r
}

// next returns the rule that follows, with another default version.
func (r Rule) next(version string, recordsAll bool) Rule {
	return Rule{Default: version, RecordsAll: recordsAll, Generation: r.Generation + 1, Epoch: r.Epoch}
}

// Encode returns the rule as it is stored.
func (r Rule) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// DecodeRule is the inverse of Encode. It fails with a *DecodeError.
func DecodeRule(content []byte) (Rule, error) {
	var rule Rule
	if err := packed.Unmarshal(content, &rule); err != nil {
		return Rule{}, &DecodeError{What: "rule", Cause: err}
	}
	return rule, nil
}

// DecodeError reports that a stored value can't be read.
type DecodeError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode " + e.What + " of streams: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }
