package entry

import (
	"sync"
	"sync/atomic"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// runnerTracker keeps the inventory of runners and passes changes to the balancer.
type runnerTracker struct {
	*Entry
	// applying is held from a change of the inventory until the balancer has it, so
	// that the balancer gets the changes in order.
	applying sync.Mutex
	mutex    sync.Mutex
	// inventory is guarded by mutex.
	inventory *inventory.Inventory
	loaded    atomic.Bool
}

func newRunnerTracker(e *Entry, inv *inventory.Inventory) *runnerTracker {
	return &runnerTracker{Entry: e, inventory: inv}
}

// isLoaded reports whether the runners have been read at least once.
func (t *runnerTracker) isLoaded() bool { return t.loaded.Load() }

// applyBatch applies the records of one read.
func (t *runnerTracker) applyBatch(batch feed.Batch) {
	t.applying.Lock()
	defer t.applying.Unlock()
	now := t.Clock.Now()
	t.mutex.Lock()
	changes := t.inventory.Apply(batch.Records, now, interruptionOf(batch))
	changes = append(changes, t.inventory.Expire(now)...)
	runners := t.inventory.Runners()
	t.mutex.Unlock()
	t.loaded.Store(true)
	if batch.Restored {
		t.versions.ObserveRestore(t.feedsByTopic[platform.RunnersTopic].End().Epoch)
	}
	t.applyChanges(changes, runners)
	t.markGatewayReady()
}

// interruptionOf returns what preceded the records of a batch.
func interruptionOf(batch feed.Batch) inventory.Interruption {
	switch {
	case batch.Restored:
		return inventory.Restore
	case batch.AfterOutage:
		return inventory.Outage
	}
	return inventory.NoInterruption
}

// expire applies the changes that are due without a new record.
func (t *runnerTracker) expire() {
	t.applying.Lock()
	defer t.applying.Unlock()
	t.mutex.Lock()
	changes := t.inventory.Expire(t.Clock.Now())
	runners := t.inventory.Runners()
	t.mutex.Unlock()
	t.applyChanges(changes, runners)
}

// applyChanges passes changes of the runners to the parts that use them.
func (t *runnerTracker) applyChanges(changes []inventory.Change, runners []inventory.Runner) {
	if len(changes) == 0 {
		return
	}
	t.logChanges(changes)
	t.versions.SetRunners(runners)
	t.balancer.SetRunners(runners, t.cacheTokens)
	for _, change := range changes {
		if change.Outdated {
			continue
		}
		if change.Removed || change.Runner.State == inventory.Leaving {
			t.gateway.MoveStreams(change.Runner.ID)
		}
		if change.Removed {
			t.metrics.DeleteRunner(change.Runner.ID)
		}
	}
}

// updateBalancer passes the runners to the balancer after a configuration change.
func (t *runnerTracker) updateBalancer() {
	t.applying.Lock()
	defer t.applying.Unlock()
	t.balancer.SetRunners(t.list(), t.cacheTokens)
}

func (t *runnerTracker) list() []inventory.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inventory.Runners()
}

func (t *runnerTracker) logChanges(changes []inventory.Change) {
	for _, change := range changes {
		switch {
		case change.DecodeError != nil:
			t.Count("Runners.Unreadable", 1)
			t.Log.Info("RunnerUnreadable", "Reason", change.DecodeError.Error())
		case change.Outdated:
			t.Count("Runners.OutdatedRecords", 1)
			t.Log.Info("RunnerRecordOutdated", "Runner", change.Runner.ID, "Leaving", change.Runner.State == inventory.Leaving,
				"StartedAt", change.Runner.StartedAt, "Sequence", change.Runner.Sequence)
		case change.Removed:
			t.Log.Info("RunnerGone", "Runner", change.Runner.ID, "Zone", change.Runner.Zone)
		case change.Runner.State == inventory.Leaving:
			t.Log.Info("RunnerLeaving", "Runner", change.Runner.ID, "Zone", change.Runner.Zone,
				"Reclaimable", change.Runner.Reclaimable, "Milliseconds", change.Runner.LeavesIn.Milliseconds(),
				"StartedAt", change.Runner.StartedAt, "Sequence", change.Runner.Sequence)
		default:
			t.Log.Info("RunnerReady", "Runner", change.Runner.ID, "Zone", change.Runner.Zone,
				"Service", change.Runner.Service, "Version", change.Runner.Version, "Reclaimable", change.Runner.Reclaimable,
				"StartedAt", change.Runner.StartedAt, "Sequence", change.Runner.Sequence)
		}
	}
}

// cacheTokens returns the KV cache size of a service's engine in tokens, or zero.
func (t *runnerTracker) cacheTokens(name string) int {
	current := t.gateway.Catalog()
	if current == nil {
		return 0
	}
	service, found := current.Service(name)
	if !found || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}
