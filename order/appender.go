package order

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/lease"
)

// appendInterval is the time between two checks whether a record is due.
const appendInterval = 200 * time.Millisecond

// runAppender acquires and renews the lease until ctx ends.
func (o *Controller) runAppender(ctx context.Context) {
	for ctx.Err() == nil {
		o.appendOnce(ctx)
		// The loop condition checks ctx.
		_ = clock.Sleep(ctx, o.Clock, appendInterval)
	}
}

// appendOnce appends the record that is due, if there is one.
//
// A failure is counted and otherwise ignored: only the stream shows what has taken
// effect. A record is never retried; the next one carries its own time and settles
// the state that a lost one left uncertain.
func (o *Controller) appendOnce(ctx context.Context) {
	record, isDue := o.dueRecord()
	if !isDue {
		return
	}
	o.append(ctx, record)
}

// dueRecord returns the record to append now, if there is one.
func (o *Controller) dueRecord() (lease.Record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if !o.isCaughtUp || (!o.lastAppend.IsZero() && now.Before(o.lastAppend.Add(o.options.RenewInterval))) {
		return lease.Record{}, false
	}
	if record, isHeld := o.holder.Renew(now); isHeld {
		o.lastAppend = now
		return record, true
	}
	if !o.isFree(now) || now.Before(o.freeSince.Add(o.acquireDelay())) {
		return lease.Record{}, false
	}
	o.lastAppend = now
	return o.holder.Acquire(now), true
}

// isFree reports whether the lease appears to be free. It may be wrong either way,
// since only the fold of the stream decides. It is called with mu held.
func (o *Controller) isFree(now time.Time) bool {
	silence := o.options.Lease.Duration + o.options.Lease.Margin
	if !o.lastHeld.IsZero() && !now.After(o.lastHeld.Add(silence)) {
		return false
	}
	if o.freeSince.IsZero() {
		o.freeSince = now
	}
	return true
}

// acquireDelay returns how long this daemon waits before it tries to acquire a free
// lease. It differs between daemons and between leases.
func (o *Controller) acquireDelay() time.Duration {
	if o.options.MaxAcquireDelay <= 0 {
		return 0
	}
	var last [8]byte
	for i := range last {
		last[i] = byte(o.holder.State().Next() >> (8 * i))
	}
	hash := xxhash.Sum64String(o.options.Daemon + "/" + string(last[:]))
	return time.Duration(hash % uint64(o.options.MaxAcquireDelay))
}

// release releases the lease for the other daemons. It is called after the last
// order.
func (o *Controller) release(ctx context.Context) {
	o.mu.Lock()
	record, isHeld := o.holder.Release(o.Clock.Now())
	o.mu.Unlock()
	if isHeld {
		o.append(ctx, record)
	}
}

func (o *Controller) append(ctx context.Context, record lease.Record) {
	payload, err := record.Encode()
	if err == nil {
		bounded, cancel := o.withTimeout(ctx, o.options.AppendTimeout)
		defer cancel()
		o.Count(CounterAppends, 1)
		_, err = o.log.Append(bounded, o.options.Stream, [][]byte{payload})
	}
	if err != nil {
		o.Count(CounterAppendsFailed, 1)
	}
}
