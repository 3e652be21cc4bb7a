package entry

import (
	"context"
	"sync"
)

// handOver passes the last counts of this process to the other daemons and to the store.
// It is called when no more requests can start. The daemons may all be stopping too; the
// store may be away.
func (e *Entry) handOver(ctx context.Context) {
	e.countsAreFinal.Store(true)
	var digests sync.WaitGroup
	daemons := 0
	digests.Go(func() { daemons = e.group.SendFinalDigest(ctx) })
	counts, err := e.duties.HandOver(ctx)
	digests.Wait()
	if err != nil {
		e.Log.Error(err, "CountsNotStored", "Counts", len(counts), "NotStored", counts, "Daemons", daemons)
		return
	}
	e.Log.Info("CountsHandedOver", "Counts", len(counts), "Daemons", daemons)
}
