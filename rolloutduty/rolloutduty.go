// Package rolloutduty carries out the part of roll-outs that only the holder of the lease on the
// duties does: it keeps their states in a topic of the platform's store, and tells the operator.
// Daemons that learn of a state neither from others nor as the holder read it there.
package rolloutduty

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clocksync"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configures a Duty.
type Options struct {
	// Topic is the topic of the store that holds the states.
	Topic string
	// Period is the time between two steps.
	Period time.Duration
	// Timeout bounds a call to the store.
	Timeout time.Duration
	// ListPeriod is the time after which the holder reads the topics again, in case the store was
	// restored unnoticed.
	ListPeriod time.Duration
	// UnknownAfter is how long a daemon waits at least for others to tell the state of an order before
	// it reads the store, and at most twice as long: all daemons learn of an order at once. One that has
	// just started does not wait.
	UnknownAfter time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions(timeout time.Duration) Options {
	return Options{
		Topic: "keyed.rollouts", Period: 250 * time.Millisecond, Timeout: timeout, ListPeriod: 10 * time.Second,
		UnknownAfter: 1500 * time.Millisecond,
	}
}

// Lease tells whether this process holds the lease on the duties.
type Lease interface {
	Holding() (fencingToken uint64, holding bool)
}

// Status is what the operator is told of an order.
type Status struct {
	Service, Target string
	Phase           rollout.Phase
}

// Statuses translates what the operator is told.
type Statuses interface {
	// Topic returns the topic of the store that the operator reads.
	Topic() string
	// Encode returns the record of a status.
	Encode(status Status) (latest.Record, error)
}

// System tells what the holder knows of the rest of the system.
type System interface {
	// Environment describes a service. The caller sets Fence.
	Environment(service, target string) rollout.Environment
	// Epoch returns the epoch of the store.
	Epoch() uint64
}

// Dependencies are the dependencies of a Duty.
type Dependencies struct {
	Controller  *rollout.Controller
	Store       store.Store
	Lease       Lease
	Statuses    Statuses
	System      System
	SyncedClock *clocksync.Clock
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Duty carries out the duty. Its fields belong to the goroutine of Run.
type Duty struct {
	telemetry.Common
	Dependencies
	options Options
	started time.Time
	// wake receives a value when a step is due at once.
	wake chan struct{}
	done chan struct{}
	// statesRead is closed once hasRead is true: the states were read since the start, or there are no
	// roll-outs.
	statesRead chan struct{}
	hasRead    bool
	// nextRead is when a read that failed is tried again.
	nextRead time.Time
	// fence is the fencing token under which the copies of the topics are used.
	fence uint64
	// states and statuses are the copies of the topics.
	states, statuses *topicCopy
	// unknownSince is since when the state of an order is not known; zero if all are.
	unknownSince time.Time
	// refusalRead is the time left at which the store is read while requests are refused; zero before it
	// is drawn, and negative once it was read.
	refusalRead time.Duration
	// unknownDelay is how long after unknownSince the store is read.
	unknownDelay time.Duration
	// logged holds what was last logged of each service.
	logged map[string]loggedPhase
}

// New returns a Duty that does nothing before Run.
func New(common telemetry.Common, dependencies Dependencies, options Options) *Duty {
	return &Duty{
		Common: common, Dependencies: dependencies, options: options, started: common.Clock.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), statesRead: make(chan struct{}),
		logged: make(map[string]loggedPhase),
		states: newTopicCopy(options.Topic), statuses: newTopicCopy(dependencies.Statuses.Topic()),
	}
}

// Done returns a channel that is closed when Run has returned.
func (d *Duty) Done() <-chan struct{} { return d.done }

// StatesRead returns a channel that is closed once the states of the store are known: another daemon may
// have decided an order whose record is gone.
func (d *Duty) StatesRead() <-chan struct{} { return d.statesRead }

// Wake has a step made at once, since an order or a state is new.
func (d *Duty) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run makes the steps until ctx ends. The first one is made at once, since callers wait for the states.
func (d *Duty) Run(ctx context.Context) {
	defer close(d.done)
	for ctx.Err() == nil {
		d.step(ctx)
		timer := d.Clock.NewTimer(d.options.Period)
		select {
		case <-timer.Chan():
		case <-d.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step makes one step: that of the holder, or that of a daemon which may lack states.
func (d *Duty) step(ctx context.Context) {
	defer d.logEvents()
	d.readAtStart(ctx)
	states := d.Controller.Newest()
	if len(states) == 0 {
		return
	}
	fence, holding := d.Lease.Holding()
	if !holding {
		d.forget()
		d.readUnknown(ctx, states)
		d.readDecision(ctx)
		return
	}
	if fence != d.fence || d.isOutdated() {
		d.forget()
	}
	d.fence = fence
	if !d.refresh(ctx) {
		return
	}
	for _, state := range d.Controller.Newest() {
		// A write that failed for the service before has the topic read again.
		if !d.refresh(ctx) {
			return
		}
		d.advance(ctx, state)
	}
}

// readAtStart reads the states of the store once after the start.
func (d *Duty) readAtStart(ctx context.Context) {
	now := d.Clock.Now()
	if d.hasRead || now.Before(d.nextRead) {
		return
	}
	if d.Controller.IsEnabled() {
		if !d.list(ctx, d.states) {
			d.nextRead = now.Add(d.jitteredDelay())
			return
		}
		d.applyStates()
		// The copy may be outdated once this process holds the lease.
		d.forget()
	}
	d.hasRead = true
	close(d.statesRead)
}

// forget has the topics read again before they are written.
func (d *Duty) forget() { d.states.isKnown, d.statuses.isKnown = false, false }

// isOutdated reports whether the store may have been restored since the topics were read.
func (d *Duty) isOutdated() bool {
	return d.System.Epoch() > d.states.end.Epoch || d.Clock.Since(d.states.listedAt) >= d.options.ListPeriod
}

// readUnknown reads the states of the store if one is not known.
func (d *Duty) readUnknown(ctx context.Context, states []rollout.State) {
	now := d.Clock.Now()
	isUnknown := false
	for _, state := range states {
		isUnknown = isUnknown || state.Phase == rollout.Unknown
	}
	switch {
	case !isUnknown:
		d.unknownSince = time.Time{}
		return
	case d.unknownSince.IsZero():
		d.unknownSince, d.unknownDelay = now, d.jitteredDelay()
	}
	isNew := now.Sub(d.started) < d.options.UnknownAfter
	if !isNew && now.Sub(d.unknownSince) < d.unknownDelay {
		return
	}
	if d.list(ctx, d.states) {
		d.applyStates()
	}
	// The copy may be outdated once this process holds the lease.
	d.forget()
	d.unknownSince, d.unknownDelay = now, d.jitteredDelay()
}

// jitteredDelay returns the time until the next read of the store.
func (d *Duty) jitteredDelay() time.Duration {
	return d.options.UnknownAfter + time.Duration(d.Random()*float64(d.options.UnknownAfter))
}
