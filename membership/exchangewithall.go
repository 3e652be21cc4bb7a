package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// SendFinalDigest sends a last digest to all daemons, so that they have the final counts
// of this one. It returns the number of daemons that replied when all calls have ended.
func (g *Group) SendFinalDigest(ctx context.Context) int {
	return g.exchangeWith(ctx, g.addresses(time.Time{}))
}

// ExchangeWithAll exchanges digests with the other daemons that were heard within a time,
// or became known within it. It returns whether all of them have replied.
func (g *Group) ExchangeWithAll(ctx context.Context, heardWithin time.Duration) bool {
	addresses := g.addresses(g.common.Clock.Now().Add(-heardWithin))
	return g.exchangeWith(ctx, addresses) == len(addresses)
}

// addresses returns the addresses of the daemons that were heard since a time, or became
// known since then.
func (g *Group) addresses(since time.Time) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var addresses []string
	for _, p := range g.peers {
		if !p.addedAt.Before(since) || !p.digestMadeAt.Before(since) {
			addresses = append(addresses, p.member.Address)
		}
	}
	return addresses
}

// exchangeWith exchanges digests with daemons, and returns the number of those that replied
// when all calls have ended.
func (g *Group) exchangeWith(ctx context.Context, addresses []string) int {
	var calls sync.WaitGroup
	var replies atomic.Int64
	for _, address := range addresses {
		calls.Go(func() {
			if g.callAddress(ctx, Member{Address: address}, nil) {
				replies.Add(1)
			}
		})
	}
	calls.Wait()
	return int(replies.Load())
}
