package rolloutduty

import (
	"context"
	"time"
)

// The part of the time left at which a daemon that refuses requests reads the store is between
// minDecisionShare and maxDecisionShare, at random, since all daemons may refuse at once. By then, an
// undisturbed holder has decided and digests have told it.
const (
	minDecisionShare = 0.2
	maxDecisionShare = 0.5
)

// readDecision reads the states of the store once while requests are refused until the holder decides. When
// the refusals end, a daemon that hears no other one but reaches the store knows whether the old
// versions are about to stop.
func (d *Duty) readDecision(ctx context.Context) {
	left := d.Controller.RefusalLeft(d.Clock.Now())
	switch {
	case left <= 0:
		d.refusalRead = 0
		return
	case d.refusalRead == 0:
		share := minDecisionShare + (maxDecisionShare-minDecisionShare)*d.Random()
		d.refusalRead = time.Duration(share * float64(left))
	}
	if left > d.refusalRead {
		return
	}
	if d.list(ctx, d.states) {
		d.applyStates()
		d.refusalRead = -1
	}
	// The copy may be outdated once this process holds the lease.
	d.forget()
}
