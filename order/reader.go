package order

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// runReader folds the stream until ctx ends. It long-polls only after it has read all
// existing records.
func (o *Controller) runReader(ctx context.Context) {
	for ctx.Err() == nil {
		wait := o.options.ReadWait
		if !o.hasCaughtUp() {
			wait = 0
		}
		if err := o.readOnce(ctx, wait); err != nil {
			o.Count(CounterReadsFailed, 1)
			// The loop condition checks ctx.
			_ = clock.Sleep(ctx, o.Clock, o.options.ReadRetry)
		}
	}
}

// readOnce reads and folds the next records.
func (o *Controller) readOnce(ctx context.Context, wait time.Duration) error {
	bounded, cancel := o.withTimeout(ctx, wait+o.options.ReadTimeout)
	defer cancel()
	batch, err := o.log.Read(bounded, o.options.Stream, o.nextOffset(), o.options.ReadLimit, wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		o.restart(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	return o.fold(batch)
}

func (o *Controller) nextOffset() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holder.State().Next()
}

func (o *Controller) hasCaughtUp() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isCaughtUp
}

// restart continues at the oldest record that the log retains. The trimmed records
// may have given the lease to another process.
func (o *Controller) restart(first uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holder.Restart(first)
	o.lastHeld, o.freeSince = o.Clock.Now(), time.Time{}
}

func (o *Controller) fold(batch hosting.Batch) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, entry := range batch.Records {
		record, err := o.holder.Apply(entry)
		if err != nil {
			o.Count(CounterRecordsWithoutEffect, 1)
		}
		if record.Duty != o.options.Duty {
			continue
		}
		o.lastHeld, o.freeSince = o.Clock.Now(), time.Time{}
		if record.Release != nil && err == nil {
			o.lastHeld, o.freeSince = time.Time{}, o.Clock.Now()
		}
	}
	o.isCaughtUp = o.isCaughtUp || o.holder.State().Next() >= batch.Next
	return nil
}
