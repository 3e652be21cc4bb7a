package claimlog

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Options are the settings of a claimer.
type Options struct {
	// Stream is the stream of the log that holds the claims.
	Stream string
	// Daemon is the name of the VM.
	Daemon string
	// Incarnation is unique to this start of the process.
	Incarnation string
	// ClaimOptions must be the same for all daemons.
	ClaimOptions claim.Options
	// Retention is how long the log is guaranteed to keep records. A claimer
	// that starts on a stream whose first records were removed relies on it: if
	// Retention is shorter than the lifetime of keys, the claimer makes no claims
	// until it has read the stream for that lifetime.
	Retention time.Duration
	// FlushInterval is the shortest time between two appends.
	FlushInterval time.Duration
	// MaxFlushInterval bounds the interval between two appends when the log
	// throttles them.
	MaxFlushInterval time.Duration
	// MaxBatch bounds the claims of one append, and likewise its releases.
	MaxBatch int
	// QueueCapacity bounds the claims that wait for an append, and likewise the
	// releases.
	QueueCapacity int
	// AppendTimeout is the time after which an append without a response counts
	// as uncertain.
	AppendTimeout time.Duration
	// MaxAppendAttempts is how often an append that the log refuses is
	// attempted before its claims are refused.
	MaxAppendAttempts int
	// ReadWait is how long the log waits for new records before it responds to a
	// read at the end of the stream.
	ReadWait time.Duration
	// ReadTimeout is the time after which a read without a response is
	// abandoned, counted from the end of ReadWait.
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
		Stream:            "Claims",
		ClaimOptions:      claim.DefaultOptions(),
		Retention:         48 * time.Hour,
		FlushInterval:     5 * time.Millisecond,
		MaxFlushInterval:  200 * time.Millisecond,
		MaxBatch:          512,
		QueueCapacity:     1024,
		AppendTimeout:     2 * time.Second,
		MaxAppendAttempts: 3,
		ReadWait:          10 * time.Second,
		ReadTimeout:       2 * time.Second,
		ReadLimit:         256,
		RetryMin:          20 * time.Millisecond,
		RetryMax:          2 * time.Second,
	}
}

// backoff returns how long to wait after a number of consecutive failures.
func (o Options) backoff(failures int) time.Duration {
	wait := o.RetryMin
	for i := 1; i < failures && wait < o.RetryMax; i++ {
		wait *= 2
	}
	return min(wait, o.RetryMax)
}
