package order

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/lease"
	"github.com/cranberrywalk/cranberrywalk/placement"
)

// Options configures a Controller.
type Options struct {
	// Stream is the stream of the log service that holds the leases.
	Stream string
	// Duty is the name of the duty that the lease covers. Each region has its own.
	Duty string
	// Daemon is the name of the VM that the daemon runs on.
	Daemon string
	// Incarnation identifies this start of the process.
	Incarnation string
	// Lease must be the same at all daemons.
	Lease lease.Options
	// Placement configures the planner that decides the orders.
	Placement placement.Options
	// RenewInterval is the minimum time between two appends to the stream. It is
	// a fraction of the lease duration.
	RenewInterval time.Duration
	// MaxAcquireDelay is the maximum delay before a daemon tries to acquire a free
	// lease, so that usually only one daemon does.
	MaxAcquireDelay time.Duration
	// AppendTimeout is the time after which an append without a response counts
	// as uncertain.
	AppendTimeout time.Duration
	// ReadWait is the long-poll time of a read at the end of the stream.
	ReadWait time.Duration
	// ReadTimeout bounds the wait for the response to a read, counted from the end
	// of ReadWait.
	ReadTimeout time.Duration
	// ReadLimit is the maximum number of records of one read.
	ReadLimit int
	// ReadRetry is the delay before a failed read is retried.
	ReadRetry time.Duration
	// RoundInterval is the time between two rounds of planning and ordering.
	RoundInterval time.Duration
	// ReportTimeout bounds the wait for the load report of an engine.
	ReportTimeout time.Duration
	// OrderTimeout bounds an order, which also ends with the lease.
	OrderTimeout time.Duration
}

// DefaultOptions returns the default options. Duty, Daemon and Incarnation have no
// default.
func DefaultOptions() Options {
	return Options{
		Stream:          "Leases",
		Lease:           lease.DefaultOptions(),
		Placement:       placement.DefaultOptions(),
		RenewInterval:   3 * time.Second,
		MaxAcquireDelay: 5 * time.Second,
		AppendTimeout:   2 * time.Second,
		ReadWait:        10 * time.Second,
		ReadTimeout:     2 * time.Second,
		ReadLimit:       256,
		ReadRetry:       500 * time.Millisecond,
		RoundInterval:   time.Second,
		ReportTimeout:   time.Second,
		OrderTimeout:    5 * time.Second,
	}
}

// identity returns the identity of this process in lease records.
func (o Options) identity() lease.Identity {
	return lease.Identity{Duty: o.Duty, Daemon: o.Daemon, Incarnation: o.Incarnation}
}
