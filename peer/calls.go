package peer

import (
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// callTracker counts the calls that are being answered, up to the last byte that is
// written. It implements drpc.Handler.
type callTracker struct {
	drpc.Handler

	mutex sync.Mutex
	// underWay is the number of calls; guarded by mutex.
	underWay int
	// idle is closed when underWay falls to zero; nil while nobody waits for that;
	// guarded by mutex.
	idle chan struct{}
}

// HandleRPC implements drpc.Handler.
func (t *callTracker) HandleRPC(stream drpc.Stream, rpc string) error {
	t.add(1)
	defer t.add(-1)
	return t.Handler.HandleRPC(stream, rpc)
}

func (t *callTracker) add(calls int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.underWay += calls
	if t.underWay == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// awaitIdle waits until no call is under way, for at most the timeout. It is called once.
func (t *callTracker) awaitIdle(c clock.Clock, timeout time.Duration) {
	t.mutex.Lock()
	if t.underWay == 0 {
		t.mutex.Unlock()
		return
	}
	idle := make(chan struct{})
	t.idle = idle
	t.mutex.Unlock()
	timer := c.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.Chan():
	}
}
