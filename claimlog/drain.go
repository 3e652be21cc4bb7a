package claimlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// Drain waits until every claim of this process has its result and every
// release is in the log. A stopping daemon calls it after its last Claim has
// returned and before it ends Run. It returns the error of ctx when ctx ends
// first.
func (l *Ledger) Drain(ctx context.Context) error {
	for l.isUnsettled() {
		if err := clock.Sleep(ctx, l.Clock, l.options.RetryMin); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) isUnsettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent) > 0 || len(l.releases) > 0
}
