package peer

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// withTimeout returns a context that ends after d by the given clock. The context
// of clockwork is not used, since its Err blocks until the context has ended.
func withTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
