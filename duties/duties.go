// Package duties carries out, on one daemon at a time, what only one may do: it
// reports the usage of customers and orders runners. The right to do so and the
// counts that were decided stand in a log of the platform's store.
package duties

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/duty"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/truetime"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Options sets how duties are carried out.
type Options struct {
	// Topic is the log of the duties.
	Topic string
	// Self names this start of the daemon.
	Self string
	// Period is the time between two rounds.
	Period time.Duration
	// Timeout bounds a call to the store or to the platform.
	Timeout time.Duration
	// UsageAfter is the time after the end of a window at which its counts are
	// decided, so that those of all daemons have arrived.
	UsageAfter time.Duration
	// UsageLimit is the time after the end of a window at which its report is
	// no longer of use.
	UsageLimit time.Duration
	// HasUsage and HasScaling say which duties there are.
	HasUsage, HasScaling bool
	// Orders bounds how often orders are considered.
	OrderPeriod time.Duration
	Lease       duty.Options
}

// Orders decides about runners.
type Orders interface {
	// Due returns the orders that are to be given now.
	Due(now time.Time) []duty.Order
	// Done and Refused tell what became of an order.
	Done(order duty.Order, now time.Time)
	Refused(order duty.Order, now time.Time)
	// Reset forgets what was ordered, since another daemon ordered meanwhile.
	Reset()
}

// Parts are what the duties work with.
type Parts struct {
	Store    store.Store
	Platform duty.Platform
	Usage    *usage.Book
	TrueTime *truetime.Clock
	Orders   Orders
}

// Duties is a daemon's part in the duties.
type Duties struct {
	telemetry.Common
	Parts
	options Options
	// started is the true time of the start.
	started time.Time
	done    chan struct{}
	// reported holds the windows that the platform has taken.
	reported map[int64]bool
	// ordered is when orders were last considered.
	ordered time.Time
	// isHolder is what was logged last.
	isHolder bool

	mutex sync.Mutex
	// holder is guarded by mutex.
	holder *duty.Holder
}

// New returns duties that do nothing before Run.
func New(common telemetry.Common, parts Parts, options Options) *Duties {
	return &Duties{
		Common: common, Parts: parts, options: options,
		started: parts.TrueTime.At(common.Clock.Now()), done: make(chan struct{}), reported: make(map[int64]bool),
		holder: duty.NewHolder(options.Lease, options.Self, clock.SinceBoot(common.Clock)),
	}
}

// Done is closed by Run when it returns.
func (d *Duties) Done() <-chan struct{} { return d.done }

// End returns the offset up to which the log of the duties is known.
func (d *Duties) End() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.holder.End()
}

// Heard notes how far another daemon knows the log.
func (d *Duties) Heard(end uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.holder.Heard(end, d.now())
}

// Started notes a start of a daemon: its earlier processes have ended. The names
// of processes rise with the time of their start.
func (d *Duties) Started(daemon, process string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	held := d.holder.HeldBy()
	if held < process && strings.HasPrefix(held, daemon+"/") {
		d.holder.Ended(held)
	}
}

// now reads the clock that also moves while the VM is suspended.
func (d *Duties) now() time.Time { return clock.SinceBoot(d.Clock) }

// Run carries out duties until ctx ends, and then gives them back.
func (d *Duties) Run(ctx context.Context) {
	defer close(d.done)
	for clock.Sleep(ctx, d.Clock, d.options.Period) == nil {
		d.round(ctx)
	}
	d.leave()
}

func (d *Duties) round(ctx context.Context) {
	d.hold(ctx)
	fence, holding := d.holding()
	d.noteHolding(fence, holding)
	if !holding {
		return
	}
	if d.options.HasUsage {
		d.reportUsage(ctx)
	}
	if d.options.HasScaling && d.Clock.Since(d.ordered) >= d.options.OrderPeriod {
		d.ordered = d.Clock.Now()
		d.order(ctx)
	}
}

func (d *Duties) holding() (uint64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.holder.Holding(d.now())
}

// noteHolding logs a change of holder.
func (d *Duties) noteHolding(fence uint64, holding bool) {
	if holding == d.isHolder {
		return
	}
	d.isHolder = holding
	if holding {
		d.Orders.Reset()
		d.Log.Info("DutiesTaken", "Fence", fence)
		return
	}
	d.Log.Info("DutiesLost", "Fence", fence)
}

// hold takes the duties over or keeps them.
func (d *Duties) hold(ctx context.Context) {
	d.mutex.Lock()
	mustRead, mustRenew := d.holder.MustRead(d.now()), d.holder.MustRenew(d.now())
	d.mutex.Unlock()
	switch {
	case mustRenew:
		d.append(ctx, duty.Record{Holder: d.options.Self})
	case mustRead:
		if !d.read(ctx) {
			return
		}
		d.mutex.Lock()
		mayTake := d.holder.MayTake(d.now())
		d.mutex.Unlock()
		if mayTake {
			d.append(ctx, duty.Record{Holder: d.options.Self, Takes: true})
		}
	}
}

// read folds what is new in the log. It reports whether all was read.
func (d *Duties) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	from := d.End()
	entries, err := d.Store.Read(ctx, d.options.Topic, from, 0)
	var gap *store.GapError
	if errors.As(err, &gap) {
		d.mutex.Lock()
		d.holder.Restart(gap.First, d.now())
		d.mutex.Unlock()
		d.Log.Info("DutyEntriesGone", "From", from, "First", gap.First)
		return false
	}
	if err != nil {
		d.Count("Duties.ReadsFailed", 1)
		return false
	}
	for i, entry := range entries {
		d.fold(from+uint64(i), entry)
	}
	return true
}

func (d *Duties) fold(offset uint64, entry []byte) {
	record, err := duty.DecodeRecord(offset, entry)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.Log.Error(err, "DutyEntryUnreadable")
		d.holder.Skip(d.now())
		return
	}
	d.holder.Fold(record, d.now())
	if d.isOwnEarlier(d.holder.HeldBy()) {
		d.holder.Ended(d.holder.HeldBy())
	}
}

// isOwnEarlier reports whether a process was an earlier start of this daemon.
func (d *Duties) isOwnEarlier(process string) bool {
	daemon, _, _ := strings.Cut(d.options.Self, "/")
	return process != d.options.Self && strings.HasPrefix(process, daemon+"/")
}

// append adds a record at the end of what is known. It reports whether the
// record took effect.
func (d *Duties) append(ctx context.Context, record duty.Record) bool {
	content, err := record.Encode()
	if err != nil {
		d.Log.Error(err, "DutyRecordNotEncoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	began := d.now()
	err = d.Store.Append(ctx, d.options.Topic, d.End(), content)
	if err == nil {
		d.mutex.Lock()
		d.holder.Appended(record, began, d.now())
		d.mutex.Unlock()
		return true
	}
	d.Count("Duties.AppendsFailed", 1)
	// The record may have taken effect without an answer, or another process
	// was first: the log tells.
	d.read(ctx)
	return false
}

// leave gives the duties back, so that another daemon need not wait.
func (d *Duties) leave() {
	d.mutex.Lock()
	isHolder := d.holder.IsHolder()
	d.mutex.Unlock()
	if isHolder {
		d.append(context.Background(), duty.Record{Holder: d.options.Self, Leaves: true})
	}
}

// lose ends the own right after the platform has seen a higher number.
func (d *Duties) lose() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.holder.Lose(d.now())
}
