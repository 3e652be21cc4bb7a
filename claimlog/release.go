package claimlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/ring"
)

// pendingRelease is a release that the state does not reflect yet.
type pendingRelease struct {
	claim   claim.Claim
	release claim.Release
	// isAppended is true once the log has accepted the release.
	isAppended bool
	// appended is closed when isAppended becomes true.
	appended chan struct{}
}

func (p *pendingRelease) markAppended() {
	p.isAppended = true
	close(p.appended)
}

// Release gives up a claim of this process under which nothing was written and
// never will be. It returns once the log has accepted the release. After an
// *UncertainError the release stays pending, and the ledger appends it as soon
// as the log accepts it. After a *ring.FullError the release is not pending.
func (l *Ledger) Release(ctx context.Context, claimed claim.Claim) error {
	pending, err := l.requestRelease(claimed)
	if err != nil {
		return err
	}
	select {
	case <-pending.appended:
		return nil
	case <-ctx.Done():
		return &UncertainError{Claim: claimed, Cause: ctx.Err()}
	case <-l.done:
		return &UncertainError{Claim: claimed, Cause: &StoppedError{}}
	}
}

func (l *Ledger) requestRelease(claimed claim.Claim) (*pendingRelease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.releases) >= l.options.QueueCapacity {
		return nil, &ring.FullError{Name: "Releases", Capacity: l.options.QueueCapacity}
	}
	return l.addRelease(claimed), nil
}

// addRelease returns the pending release of a claim, after adding it if there is
// none. It is called with mu held.
func (l *Ledger) addRelease(claimed claim.Claim) *pendingRelease {
	if pending, found := l.releases[claimed.Number]; found {
		return pending
	}
	l.Count("Ledger.Releases", 1)
	pending := &pendingRelease{
		claim:    claimed,
		release:  claim.Release{Key: claimed.Key, Number: claimed.Number},
		appended: make(chan struct{}),
	}
	l.releases[claimed.Number] = pending
	l.wakeAppender()
	return pending
}

// wakeAppender makes the appender check for pending releases.
func (l *Ledger) wakeAppender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// dropCompletedReleases drops the appended releases whose claims no longer hold
// their keys. It is called with mu held.
func (l *Ledger) dropCompletedReleases() {
	for number, pending := range l.releases {
		winner, found := l.state.Lookup(pending.claim.Key, l.state.Now())
		if pending.isAppended && (!found || !winner.IsSame(pending.claim)) {
			delete(l.releases, number)
		}
	}
}

// isReleasing reports whether the claim is the process's own and has a pending
// release. It is called with mu held.
func (l *Ledger) isReleasing(claimed claim.Claim) bool {
	return l.isOurs(claimed) && l.releases[claimed.Number] != nil
}
