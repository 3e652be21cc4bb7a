package entry

import (
	"sync"
	"sync/atomic"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// fleet keeps the runners and tells the balancer of changes.
type fleet struct {
	*Entry
	mutex sync.Mutex
	// inventory is guarded by mutex.
	inventory *inventory.Inventory
	isKnown   atomic.Bool
}

func newFleet(e *Entry, held *inventory.Inventory) *fleet { return &fleet{Entry: e, inventory: held} }

// known reports whether the runners have been read once.
func (f *fleet) known() bool { return f.isKnown.Load() }

// take takes in the records of a read.
func (f *fleet) take(batch feed.Batch) {
	now := f.Clock.Now()
	f.mutex.Lock()
	changes := f.inventory.Apply(batch.Records, now, batch.AfterOutage)
	changes = append(changes, f.inventory.Expire(now)...)
	runners := f.inventory.Runners()
	f.mutex.Unlock()
	if len(changes) > 0 {
		f.log(changes)
		f.balancer.SetRunners(runners, f.cacheTokens)
	}
	f.isKnown.Store(true)
	f.begin()
	for _, change := range changes {
		if change.Gone || change.Runner.State == inventory.Leaving {
			f.gateway.Leave(change.Runner.ID)
		}
		if change.Gone {
			f.metrics.Forget(change.Runner.ID)
		}
	}
}

// refresh tells the balancer of the runners after a change of configuration.
func (f *fleet) refresh() { f.balancer.SetRunners(f.runners(), f.cacheTokens) }

func (f *fleet) runners() []inventory.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.inventory.Runners()
}

func (f *fleet) log(changes []inventory.Change) {
	for _, change := range changes {
		switch {
		case change.Unreadable != nil:
			f.Count("Runners.Unreadable", 1)
			f.Log.Info("RunnerUnreadable", "Reason", change.Unreadable.Error())
		case change.Gone:
			f.Log.Info("RunnerGone", "Runner", change.Runner.ID, "Zone", change.Runner.Zone)
		case change.Runner.State == inventory.Leaving:
			f.Log.Info("RunnerLeaving", "Runner", change.Runner.ID, "Zone", change.Runner.Zone,
				"Reclaimable", change.Runner.Reclaimable, "Milliseconds", change.Runner.LeavesIn.Milliseconds())
		default:
			f.Log.Info("RunnerReady", "Runner", change.Runner.ID, "Zone", change.Runner.Zone,
				"Service", change.Runner.Service, "Reclaimable", change.Runner.Reclaimable)
		}
	}
}

// cacheTokens returns the memory of an engine of a service, or zero.
func (f *fleet) cacheTokens(name string) int {
	known := f.gateway.Catalog()
	if known == nil {
		return 0
	}
	service, found := known.Service(name)
	if !found || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}
