package peer

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/ring"
)

// parallelCalls bounds the calls that one queue has in progress.
const parallelCalls = 8

// forEachPeer runs do for every peer from the queue until ctx ends, at most
// parallelCalls at a time. It returns when all calls have ended.
func forEachPeer(ctx context.Context, peers *ring.Ring[hosting.VM], do func(context.Context, hosting.VM)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, parallelCalls)
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-peers.Values():
			select {
			case <-ctx.Done():
				return
			case slots <- struct{}{}:
			}
			calls.Go(func() {
				defer func() { <-slots }()
				do(ctx, peer)
			})
		}
	}
}
