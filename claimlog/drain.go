package claimlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// Drain waits until every claim of this process has its result and every
// release is in the log. A stopping daemon calls it after its last Claim has
// returned and before it ends Run. It returns the error of ctx when ctx ends
// first.
func (c *Claimer) Drain(ctx context.Context) error {
	for c.isUnsettled() {
		if err := clock.Sleep(ctx, c.Clock, c.options.RetryMin); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claimer) isUnsettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent) > 0 || len(c.releases) > 0
}
