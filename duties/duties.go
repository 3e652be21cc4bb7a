// Package duties carries out the singleton duties on one daemon at a time: it reports
// the usage of customers and orders runners. The lease on the duties and the decided
// usage reports are kept in a log in the platform's store.
package duties

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/clocksync"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Options configures the duties.
type Options struct {
	// Topic is the topic of the store that holds the log of duties.
	Topic string
	// CountsTopic is the topic of the store to which processes that stop hand over
	// their last counts.
	CountsTopic string
	// Process identifies this process, that is, this start of the daemon.
	Process string
	// Period is the time between two rounds.
	Period time.Duration
	// Timeout bounds each call to the store or the platform.
	Timeout time.Duration
	// UsageDelay is the delay after the end of a window, and after the start of this
	// process, before the window's counts are decided, so that the counts of all
	// daemons have arrived.
	UsageDelay time.Duration
	// OutstandingDelay is how much longer a window waits for the counts of processes
	// that were heard in it and not since its end.
	OutstandingDelay time.Duration
	// ReportDelay is the time between the decision of a report and its sending, in
	// which other daemons learn of it. A report that nobody else knows may be lost with
	// this process and the log, and must then not have been sent.
	ReportDelay time.Duration
	// UsageMaxAge is the maximum age, counted from the end of a window, at which
	// the window is still reported.
	UsageMaxAge time.Duration
	// ReportsUsage enables the usage reports, and SendsScaleOrders the orders for
	// runners.
	ReportsUsage, SendsScaleOrders bool
	// OrderPeriod is the minimum time between two evaluations of the orders.
	OrderPeriod time.Duration
	Lease       dutylease.Options
}

// Scaler decides how many runners to order.
type Scaler interface {
	// Due returns the orders to send now.
	Due(now time.Time) []dutylease.ScaleOrder
	// Accepted and Refused report the result of an order.
	Accepted(order dutylease.ScaleOrder, now time.Time)
	Refused(order dutylease.ScaleOrder, now time.Time)
	// Reset clears what is known of earlier orders, since another daemon may have
	// ordered in the meantime.
	Reset()
}

// Dependencies are the dependencies of the duties.
type Dependencies struct {
	Store       store.Store
	Platform    dutylease.Platform
	Usage       *usage.Counter
	SyncedClock *clocksync.Clock
	Scaler      Scaler
	// PeerDelay returns how much later than in a small group reports of other daemons
	// arrive.
	PeerDelay func() time.Duration
}

// Duties competes for the lease on the duties and carries them out while it holds
// the lease.
type Duties struct {
	telemetry.Common
	Dependencies
	options Options
	// started is when the process started, by its own clock.
	started time.Time
	done    chan struct{}
	// reported holds the windows whose reports the platform has accepted.
	reported map[int64]bool
	// lastOrders is when the orders were last evaluated.
	lastOrders time.Time
	// handoversEnd is the position up to which the handovers have been read, and
	// handoversReadFor the last window before whose decision they were.
	handoversEnd     latest.Position
	handoversReadFor int64
	// wasHolding is whether the process held the lease when that was last logged, and
	// loggedToken is its fencing token.
	wasHolding  bool
	loggedToken uint64

	// logMutex is held during each sequence of calls that read the log of duties or
	// append to it, so that the log is applied to the lease in order. It is locked
	// before mutex.
	logMutex sync.Mutex

	mutex sync.Mutex
	// epochEnteredAt is when this process learned that the log was restored, by its own
	// clock; guarded by mutex.
	epochEnteredAt time.Time
	// lease is this process's view of the lease, guarded by mutex.
	lease *dutylease.LeaseState
}

// New returns Duties that do nothing before Run.
func New(common telemetry.Common, dependencies Dependencies, options Options) *Duties {
	return &Duties{
		Common: common, Dependencies: dependencies, options: options,
		started: common.Clock.Now(), done: make(chan struct{}), reported: make(map[int64]bool),
		lease: dutylease.NewLeaseState(options.Lease, options.Process, clock.SuspendAwareNow(common.Clock)),
	}
}

// Done returns a channel that is closed when Run has returned.
func (d *Duties) Done() <-chan struct{} { return d.done }

// End returns the position up to which the log of duties has been read.
func (d *Duties) End() latest.Position {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lease.End()
}

// ObservePeerEnd records how far another daemon has read the log of duties.
func (d *Duties) ObservePeerEnd(end latest.Position) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lease.ObservePeer(end, d.now())
}

// ObservePeerProcess records the current process of a daemon, whose earlier processes
// have therefore ended. The names of a daemon's processes sort by start time.
func (d *Duties) ObservePeerProcess(daemon, process string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	holder := d.lease.Holder()
	if holder < process && strings.HasPrefix(holder, daemon+"/") {
		d.lease.ProcessEnded(holder)
	}
}

// ObserveReports takes over the usage reports that another daemon knows to be decided.
func (d *Duties) ObserveReports(reports []dutylease.Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, report := range reports {
		d.lease.ObserveReport(report, d.now())
	}
}

// ReportsToShare returns the usage reports that other daemons should know in case the
// log of duties is lost: those that this process has learned of lately while it holds the
// lease, and all that could be decided anew after the log was restored or for a daemon
// that has just started.
func (d *Duties) ReportsToShare(toNew bool) []dutylease.Report {
	first := d.firstReportable()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case toNew, d.lease.EpochAge(d.now()) < sharingAfterRestore:
		return d.lease.RecentReports(first)
	case d.lease.IsHolder():
		return d.lease.ReportsLearnedSince(d.now().Add(-sharedReportAge), first)
	}
	return nil
}

const (
	// sharedReportAge is how long the holder of the lease shares a report. A window may
	// be decided long after its end, so this counts from the decision.
	sharedReportAge = 10 * time.Second
	// sharingAfterRestore is how long every daemon shares reports after the log was
	// restored. The next holder of the lease hears them before it may acquire it.
	sharingAfterRestore = 5 * time.Second
)

// now reads the clock that also advances while the VM is suspended.
func (d *Duties) now() time.Time { return clock.SuspendAwareNow(d.Clock) }

// Run carries out the duties until ctx ends, and then releases the lease. The lease is
// renewed beside the calls to the platform, which may take longer than it lasts.
func (d *Duties) Run(ctx context.Context) {
	defer close(d.done)
	var loops sync.WaitGroup
	for _, step := range []func(context.Context){d.acquireOrRenew, d.round} {
		loops.Go(func() { d.repeat(ctx, step) })
	}
	loops.Wait()
	d.release()
}

// repeat runs a step in each period until ctx ends.
func (d *Duties) repeat(ctx context.Context, step func(context.Context)) {
	for clock.Sleep(ctx, d.Clock, d.options.Period) == nil {
		step(ctx)
	}
}

// round carries out the duties once, if this process holds the lease.
func (d *Duties) round(ctx context.Context) {
	fencingToken, holding := d.Holding()
	d.logHolderChange(fencingToken, holding)
	if !holding {
		return
	}
	if d.options.ReportsUsage {
		d.reportUsage(ctx)
	}
	if d.options.SendsScaleOrders && d.Clock.Since(d.lastOrders) >= d.options.OrderPeriod {
		d.lastOrders = d.Clock.Now()
		d.sendOrders(ctx, fencingToken)
	}
}

// Holding returns whether this process holds the lease on the duties, and its fencing token.
func (d *Duties) Holding() (fencingToken uint64, holding bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lease.Holding(d.now())
}

// logHolderChange logs when this process acquires or loses the lease. Another token means
// that it was lost and acquired again since.
func (d *Duties) logHolderChange(fencingToken uint64, holding bool) {
	if holding == d.wasHolding && (!holding || fencingToken == d.loggedToken) {
		return
	}
	d.wasHolding, d.loggedToken = holding, fencingToken
	if holding {
		d.Scaler.Reset()
		d.Log.Info("DutiesTaken", "Fence", fencingToken, "FirstWindow", d.firstWindow())
		return
	}
	d.Log.Info("DutiesLost", "Fence", fencingToken)
}

// acquireOrRenew acquires the lease when it is free and renews it when this process
// holds it.
func (d *Duties) acquireOrRenew(ctx context.Context) {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	peerDelay := d.PeerDelay()
	d.mutex.Lock()
	mustRead, mustRenew := d.lease.MustRead(peerDelay, d.now()), d.lease.MustRenew(d.now())
	d.mutex.Unlock()
	switch {
	case mustRenew:
		d.append(ctx, dutylease.Record{Holder: d.options.Process})
	case mustRead:
		if !d.read(ctx) {
			return
		}
		d.mutex.Lock()
		mayAcquire, unlogged := d.lease.MayAcquire(d.now()), d.lease.UnloggedReports()
		d.mutex.Unlock()
		if mayAcquire {
			d.append(ctx, dutylease.Record{Holder: d.options.Process, Takes: true, Reports: unlogged})
		}
	}
}

// release releases the lease, so that another daemon need not wait for its expiry.
func (d *Duties) release() {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	d.mutex.Lock()
	isHolder := d.lease.IsHolder()
	d.mutex.Unlock()
	if isHolder {
		d.append(context.Background(), dutylease.Record{Holder: d.options.Process, Leaves: true})
	}
}

// revokeLease ends this process's lease after the platform has seen a higher fencing token.
// A renewal that is under way ends before, so that it does not restore the lease.
func (d *Duties) revokeLease() {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lease.Revoke(d.now())
}
