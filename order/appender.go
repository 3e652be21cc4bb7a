package order

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/lease"
)

// appendPoll is the time between two looks at whether a record is due.
const appendPoll = 200 * time.Millisecond

// runAppender acquires and renews the lease until ctx ends.
func (o *Order) runAppender(ctx context.Context) {
	for ctx.Err() == nil {
		o.appendOnce(ctx)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, o.Clock, appendPoll)
	}
}

// appendOnce appends the record that is due, if there is one.
//
// The answer is counted and otherwise ignored: only the stream shows what has
// taken effect. A record is never appended again; the next one has its own
// time and settles what the lost one left open.
func (o *Order) appendOnce(ctx context.Context) {
	record, isDue := o.due()
	if !isDue {
		return
	}
	o.append(ctx, record)
}

// due returns the record to append now.
func (o *Order) due() (lease.Record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if !o.isCaughtUp || (!o.sent.IsZero() && now.Before(o.sent.Add(o.options.RenewInterval))) {
		return lease.Record{}, false
	}
	if record, isWon := o.holder.Renew(now); isWon {
		o.sent = now
		return record, true
	}
	if !o.isFree(now) || now.Before(o.free.Add(o.spread())) {
		return lease.Record{}, false
	}
	o.sent = now
	return o.holder.Acquire(now), true
}

// isFree reports whether nobody seems to hold the duty. It may be wrong
// either way: the fold decides. It is called with mu held.
func (o *Order) isFree(now time.Time) bool {
	silence := o.options.Lease.Duration + o.options.Lease.Margin
	if !o.heard.IsZero() && !now.After(o.heard.Add(silence)) {
		return false
	}
	if o.free.IsZero() {
		o.free = now
	}
	return true
}

// spread returns how long this daemon waits before it asks for a free duty.
// It differs from daemon to daemon and from lease to lease.
func (o *Order) spread() time.Duration {
	if o.options.AcquireSpread <= 0 {
		return 0
	}
	var last [8]byte
	for i := range last {
		last[i] = byte(o.holder.Book().Next() >> (8 * i))
	}
	hash := xxhash.Sum64String(o.options.Daemon + "/" + string(last[:]))
	return time.Duration(hash % uint64(o.options.AcquireSpread))
}

// release frees the duty for the other daemons. It is called after the last
// order.
func (o *Order) release(ctx context.Context) {
	o.mu.Lock()
	record, isWon := o.holder.Release(o.Clock.Now())
	o.mu.Unlock()
	if isWon {
		o.append(ctx, record)
	}
}

func (o *Order) append(ctx context.Context, record lease.Record) {
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
