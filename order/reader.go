package order

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// runReader applies the records of the stream until ctx ends. It long-polls only after
// it has read all existing records.
func (c *Controller) runReader(ctx context.Context) {
	for ctx.Err() == nil {
		wait := c.options.ReadWait
		if !c.hasCaughtUp() {
			wait = 0
		}
		if err := c.readOnce(ctx, wait); err != nil {
			c.Count(CounterReadsFailed, 1)
			// Sleep fails only when ctx has ended, which the loop condition checks.
			_ = clock.Sleep(ctx, c.Clock, c.options.ReadRetry)
		}
	}
}

// readOnce reads and applies the next records.
func (c *Controller) readOnce(ctx context.Context, wait time.Duration) error {
	bounded, cancel := c.withTimeout(ctx, wait+c.options.ReadTimeout)
	defer cancel()
	batch, err := c.log.Read(bounded, c.options.Stream, c.nextOffset(), c.options.ReadLimit, wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		c.restart(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	return c.apply(batch)
}

func (c *Controller) nextOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.State().Next()
}

func (c *Controller) hasCaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCaughtUp
}

// restart continues at the oldest record that the log retains. Another process may
// have acquired the lease with one of the trimmed records.
func (c *Controller) restart(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Restart(first)
	c.lastHeld, c.freeSince = c.Clock.Now(), time.Time{}
}

func (c *Controller) apply(batch hosting.Batch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range batch.Records {
		record, err := c.holder.Apply(entry)
		if err != nil {
			c.Count(CounterRecordsWithoutEffect, 1)
		}
		if record.Duty != c.options.Duty {
			continue
		}
		c.lastHeld, c.freeSince = c.Clock.Now(), time.Time{}
		if record.Release != nil && err == nil {
			c.lastHeld, c.freeSince = time.Time{}, c.Clock.Now()
		}
	}
	c.isCaughtUp = c.isCaughtUp || c.holder.State().Next() >= batch.Next
	return nil
}
