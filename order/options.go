package order

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/lease"
	"github.com/cranberrywalk/cranberrywalk/placement"
)

// Options are the settings of the duty.
type Options struct {
	// Stream is the stream of the log that holds the leases.
	Stream string
	// Duty is the name of the duty. Each region has its own.
	Duty string
	// Daemon is the name of the VM.
	Daemon string
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Lease has the same value at all daemons.
	Lease lease.Options
	// Placement shapes the orders.
	Placement placement.Options
	// RenewInterval is the time between two appends to the stream. Several
	// fit into the duration of a lease.
	RenewInterval time.Duration
	// AcquireSpread is the longest wait of a daemon before it asks for a free
	// duty, so that as a rule one daemon does.
	AcquireSpread time.Duration
	// AppendTimeout is when an append without an answer counts as
	// uncertain.
	AppendTimeout time.Duration
	// ReadWait is how long the log holds a read of an empty tail.
	ReadWait time.Duration
	// ReadTimeout is when a read without an answer is given up, counted
	// from the end of ReadWait.
	ReadTimeout time.Duration
	// ReadLimit bounds the records of one read.
	ReadLimit int
	// ReadRetry is the wait after a read that failed.
	ReadRetry time.Duration
	// RoundInterval is the time between two decisions.
	RoundInterval time.Duration
	// ReportTimeout bounds the wait for the load report of an engine.
	ReportTimeout time.Duration
	// OrderTimeout bounds an order. The end of the lease does so as well.
	OrderTimeout time.Duration
}

// DefaultOptions returns the options that apply without settings. Duty,
// Daemon and Incarnation have no default.
func DefaultOptions() Options {
	return Options{
		Stream:        "Leases",
		Lease:         lease.DefaultOptions(),
		Placement:     placement.DefaultOptions(),
		RenewInterval: 3 * time.Second,
		AcquireSpread: 5 * time.Second,
		AppendTimeout: 2 * time.Second,
		ReadWait:      10 * time.Second,
		ReadTimeout:   2 * time.Second,
		ReadLimit:     256,
		ReadRetry:     500 * time.Millisecond,
		RoundInterval: time.Second,
		ReportTimeout: time.Second,
		OrderTimeout:  5 * time.Second,
	}
}

// identity returns the process as the leases name it.
func (o Options) identity() lease.Identity {
	return lease.Identity{Duty: o.Duty, Daemon: o.Daemon, Incarnation: o.Incarnation}
}
