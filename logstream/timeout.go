package logstream

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// withTimeout returns a context that ends after d by the clock c. A d of 0
// sets no bound. The context has no deadline of its own, because a deadline by
// a fake clock would mislead net/http, which compares it with the machine's.
func withTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if d == 0 {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
