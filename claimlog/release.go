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
// *UncertainError the release stays pending, and the claimer appends it as soon
// as the log accepts it. After a *ring.FullError the release is not pending.
func (c *Claimer) Release(ctx context.Context, claimed claim.Claim) error {
	pending, err := c.requestRelease(claimed)
	if err != nil {
		return err
	}
	select {
	case <-pending.appended:
		return nil
	case <-ctx.Done():
		return &UncertainError{Claim: claimed, Cause: ctx.Err()}
	case <-c.done:
		return &UncertainError{Claim: claimed, Cause: &StoppedError{}}
	}
}

func (c *Claimer) requestRelease(claimed claim.Claim) (*pendingRelease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.releases) >= c.options.QueueCapacity {
		return nil, &ring.FullError{Name: "Releases", Capacity: c.options.QueueCapacity}
	}
	return c.addRelease(claimed), nil
}

// addRelease returns the pending release of a claim, after adding it if there is
// none. It is called with mu held.
func (c *Claimer) addRelease(claimed claim.Claim) *pendingRelease {
	if pending, found := c.releases[claimed.Number]; found {
		return pending
	}
	c.Count("Ledger.Releases", 1)
	pending := &pendingRelease{
		claim:    claimed,
		release:  claim.Release{Key: claimed.Key, Number: claimed.Number},
		appended: make(chan struct{}),
	}
	c.releases[claimed.Number] = pending
	c.wakeAppender()
	return pending
}

// wakeAppender makes the appender check for pending releases.
func (c *Claimer) wakeAppender() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// dropCompletedReleases drops the appended releases whose claims no longer hold
// their keys. It is called with mu held.
func (c *Claimer) dropCompletedReleases() {
	for number, pending := range c.releases {
		winner, found := c.state.Lookup(pending.claim.Key, c.state.Now())
		if pending.isAppended && (!found || !winner.IsSame(pending.claim)) {
			delete(c.releases, number)
		}
	}
}

// isReleasing reports whether the claim is the process's own and has a pending
// release. It is called with mu held.
func (c *Claimer) isReleasing(claimed claim.Claim) bool {
	return c.isOurs(claimed) && c.releases[claimed.Number] != nil
}
