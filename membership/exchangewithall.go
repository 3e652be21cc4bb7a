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
	return g.exchangeWith(ctx, g.heardSince(time.Time{}))
}

// ExchangeWithAll exchanges digests with the other daemons that were heard within a time,
// or became known within it. It returns whether all of them have replied.
func (g *Group) ExchangeWithAll(ctx context.Context, heardWithin time.Duration) bool {
	members := g.HeardWithin(heardWithin)
	return g.exchangeWith(ctx, members) == len(members)
}

// exchangeWith exchanges digests with daemons, and returns the number of those that replied
// when all calls have ended.
func (g *Group) exchangeWith(ctx context.Context, members []Member) int {
	var calls sync.WaitGroup
	var replies atomic.Int64
	for _, member := range members {
		calls.Go(func() {
			if g.callAddress(ctx, Member{Address: member.Address}, nil) {
				replies.Add(1)
			}
		})
	}
	calls.Wait()
	return int(replies.Load())
}
