package ledger

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Options are the settings of a ledger.
type Options struct {
	// Stream is the stream of the log that holds the claims.
	Stream string
	// Daemon is the name of the VM.
	Daemon string
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Book has the same value at all daemons.
	Book claim.Options
	// Retention is how long the log is sure to keep records. A ledger that
	// starts on a stream whose first records are gone trusts it: with less
	// than the lifetime of keys it claims nothing until it has watched the
	// stream for that long.
	Retention time.Duration
	// FlushInterval is the shortest time between two appends.
	FlushInterval time.Duration
	// MaxFlushInterval bounds the interval that a log which refuses appends
	// for their rate leads to.
	MaxFlushInterval time.Duration
	// MaxGathered bounds the claims and the releases of one append.
	MaxGathered int
	// RingCapacity bounds the claims that wait for an append, and the
	// releases that do.
	RingCapacity int
	// AppendTimeout is when an append without an answer counts as
	// uncertain.
	AppendTimeout time.Duration
	// AppendTries is how often an append that the log refuses is tried
	// before its claims are refused.
	AppendTries int
	// ReadWait is how long the log holds a read of an empty tail.
	ReadWait time.Duration
	// ReadTimeout is when a read without an answer is given up, counted
	// from the end of ReadWait.
	ReadTimeout time.Duration
	// ReadLimit bounds the records of one read.
	ReadLimit int
	// RetryMin and RetryMax bound the backoff.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultOptions returns the options that apply without settings. Daemon
// and Incarnation have no default.
func DefaultOptions() Options {
	return Options{
		Stream:           "Claims",
		Book:             claim.DefaultOptions(),
		Retention:        48 * time.Hour,
		FlushInterval:    5 * time.Millisecond,
		MaxFlushInterval: 200 * time.Millisecond,
		MaxGathered:      512,
		RingCapacity:     1024,
		AppendTimeout:    2 * time.Second,
		AppendTries:      3,
		ReadWait:         10 * time.Second,
		ReadTimeout:      2 * time.Second,
		ReadLimit:        256,
		RetryMin:         20 * time.Millisecond,
		RetryMax:         2 * time.Second,
	}
}

// backoff returns how long to wait after a number of failures in a row.
func (o Options) backoff(failures int) time.Duration {
	wait := o.RetryMin
	for i := 1; i < failures && wait < o.RetryMax; i++ {
		wait *= 2
	}
	return min(wait, o.RetryMax)
}
