package ledger

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/ring"
)

// owedRelease is a release that the book does not show yet.
type owedRelease struct {
	claim   claim.Claim
	release claim.Release
	// isAppended is true once the log has taken the release.
	isAppended bool
	// appended is closed when isAppended becomes true.
	appended chan struct{}
}

func (o *owedRelease) finish() {
	o.isAppended = true
	close(o.appended)
}

// Release gives up a claim of this process under which nothing was written
// and never will be. It returns once the log has taken the release. With an
// *UncertainError the release stays owed, and the ledger appends it as soon
// as the log takes it. With a *ring.FullError it was not noted.
func (l *Ledger) Release(ctx context.Context, claimed claim.Claim) error {
	owed, err := l.owe(claimed)
	if err != nil {
		return err
	}
	select {
	case <-owed.appended:
		return nil
	case <-ctx.Done():
		return &UncertainError{Claim: claimed, Cause: ctx.Err()}
	case <-l.done:
		return &UncertainError{Claim: claimed, Cause: &StoppedError{}}
	}
}

func (l *Ledger) owe(claimed claim.Claim) (*owedRelease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.owed) >= l.options.RingCapacity {
		return nil, &ring.FullError{Name: "Releases", Capacity: l.options.RingCapacity}
	}
	return l.addOwed(claimed), nil
}

// addOwed is called with mu held.
func (l *Ledger) addOwed(claimed claim.Claim) *owedRelease {
	if owed, found := l.owed[claimed.Number]; found {
		return owed
	}
	l.Count("Ledger.Releases", 1)
	owed := &owedRelease{
		claim:    claimed,
		release:  claim.Release{Key: claimed.Key, Number: claimed.Number},
		appended: make(chan struct{}),
	}
	l.owed[claimed.Number] = owed
	l.wakeAppender()
	return owed
}

// wakeAppender makes the appender look at the owed releases.
func (l *Ledger) wakeAppender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// dropFolded forgets the appended releases whose claims no longer hold their
// keys. It is called with mu held.
func (l *Ledger) dropFolded() {
	for number, owed := range l.owed {
		winner, found := l.book.Look(owed.claim.Key, l.book.Now())
		if owed.isAppended && (!found || !winner.IsSame(owed.claim)) {
			delete(l.owed, number)
		}
	}
}

// isOwed reports whether the claim is ours and about to be released. It is
// called with mu held.
func (l *Ledger) isOwed(claimed claim.Claim) bool {
	return l.isOurs(claimed) && l.owed[claimed.Number] != nil
}
