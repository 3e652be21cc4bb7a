package logstream

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// withTimeout returns a context that ends after d by the clock c. A d of 0 sets no
// limit. The context has no deadline of its own, because net/http compares a
// deadline with the machine's clock, which differs from a fake clock.
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
