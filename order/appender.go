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
func (c *Controller) runAppender(ctx context.Context) {
	for ctx.Err() == nil {
		c.appendOnce(ctx)
		// Sleep fails only when ctx has ended, which the loop condition checks.
		_ = clock.Sleep(ctx, c.Clock, appendInterval)
	}
}

// appendOnce appends the record that is due, if there is one.
//
// A failure is counted and otherwise ignored: only the stream shows what has taken
// effect. A record is never retried; the next one carries its own time and resolves
// the state that an append without a response left uncertain.
func (c *Controller) appendOnce(ctx context.Context) {
	record, isDue := c.dueRecord()
	if !isDue {
		return
	}
	c.append(ctx, record)
}

// dueRecord returns the record to append now, if there is one.
func (c *Controller) dueRecord() (lease.Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if !c.isCaughtUp || (!c.lastAppend.IsZero() && now.Before(c.lastAppend.Add(c.options.RenewInterval))) {
		return lease.Record{}, false
	}
	if record, isHeld := c.holder.Renew(now); isHeld {
		c.lastAppend = now
		return record, true
	}
	if !c.isFree(now) || now.Before(c.freeSince.Add(c.acquireDelay())) {
		return lease.Record{}, false
	}
	c.lastAppend = now
	return c.holder.Acquire(now), true
}

// isFree reports whether the lease appears to be free. The result may be wrong either
// way, since only the records of the stream decide. It is called with mu held.
func (c *Controller) isFree(now time.Time) bool {
	silence := c.options.Lease.Duration + c.options.Lease.Margin
	if !c.lastHeld.IsZero() && !now.After(c.lastHeld.Add(silence)) {
		return false
	}
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	return true
}

// acquireDelay returns how long this daemon waits before it tries to acquire a free
// lease. It differs between daemons and between leases.
func (c *Controller) acquireDelay() time.Duration {
	if c.options.MaxAcquireDelay <= 0 {
		return 0
	}
	var next [8]byte
	for i := range next {
		next[i] = byte(c.holder.State().Next() >> (8 * i))
	}
	hash := xxhash.Sum64String(c.options.Daemon + "/" + string(next[:]))
	return time.Duration(hash % uint64(c.options.MaxAcquireDelay))
}

// release releases the lease, so that another daemon can acquire it at once. It is
// called after the last order.
func (c *Controller) release(ctx context.Context) {
	c.mu.Lock()
	record, isHeld := c.holder.Release(c.Clock.Now())
	c.mu.Unlock()
	if isHeld {
		c.append(ctx, record)
	}
}

func (c *Controller) append(ctx context.Context, record lease.Record) {
	payload, err := record.Encode()
	if err == nil {
		bounded, cancel := c.withTimeout(ctx, c.options.AppendTimeout)
		defer cancel()
		c.Count(CounterAppends, 1)
		_, err = c.log.Append(bounded, c.options.Stream, [][]byte{payload})
	}
	if err != nil {
		c.Count(CounterAppendsFailed, 1)
	}
}
