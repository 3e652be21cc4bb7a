package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/rolloutduty"
)

// rolloutTracker passes orders, reports and states of roll-outs between the parts of the daemon. It
// implements rolloutduty.System and rolloutduty.Statuses. Without the bounds in the settings it does
// nothing.
type rolloutTracker struct {
	*Entry
	controller *rollout.Controller
	duty       *rolloutduty.Duty
	// orders holds the newest order for each service. It belongs to the feed of the operator's
	// records.
	orders map[string]rollout.Order
	// statesAwaited is true once the states of the store are known, or could not be read in time.
	statesAwaited atomic.Bool

	mutex sync.Mutex
	// processes holds the newest process of each other daemon, and ended those that others have
	// replaced; guarded by mutex.
	processes map[string]string
	ended     []string
}

// switchTime is the time for two rounds of digests in a large group, for the 1 s after a switch in which
// nothing may start at the old versions, and for Closing, which takes 1 s and another round.
const switchTime = 4 * time.Second

// rolloutOptions returns the options for the bounds of the settings, which allow no roll-outs if they
// are not set.
func rolloutOptions(bounds platform.RolloutBounds) rollout.Options {
	if !bounds.AreSet {
		return rollout.Options{}
	}
	options := rollout.DefaultOptions(bounds.ExposureShare, int(bounds.ExposureSlack), bounds.RollbackTime)
	options.SwitchTime = switchTime
	return options
}

func newRolloutTracker(e *Entry) *rolloutTracker {
	options := rolloutOptions(e.settings.Bounds.Rollouts)
	return &rolloutTracker{
		Entry: e, orders: make(map[string]rollout.Order), processes: make(map[string]string),
		controller: rollout.New(options, instanceID(e.self), rand.Float64),
	}
}

// addDuty adds the part that only the holder of the lease on the duties does.
func (t *rolloutTracker) addDuty() {
	t.duty = rolloutduty.New(t.Common, rolloutduty.Dependencies{
		Controller: t.controller, Store: t.store, Lease: t.duties, Statuses: t, System: t, SyncedClock: t.syncedClock,
		Random: rand.Float64,
	}, rolloutduty.DefaultOptions(storeTimeout))
	t.metrics.RegisterGauge("open_rollouts", "Roll-outs whose state is not terminal.", func() float64 {
		return float64(t.inProgress())
	})
}

// statesWait is how long a daemon that has just started waits for the states of roll-outs before it serves.
// It covers one call to the store, which is made at the start.
const statesWait = storeTimeout + 200*time.Millisecond

// awaitStates marks the daemon as ready once the states are known, or could not be read in time: a store
// that is away must not keep daemons from serving.
func (t *rolloutTracker) awaitStates(ctx context.Context) {
	timer := t.Clock.NewTimer(statesWait)
	defer timer.Stop()
	select {
	case <-t.duty.StatesRead():
	case <-timer.Chan():
		t.Log.Info("RolloutStatesAwaited", "Milliseconds", statesWait.Milliseconds())
	case <-ctx.Done():
		return
	}
	t.statesAwaited.Store(true)
	t.markGatewayReady()
}

// mayServe reports whether requests may be served as far as roll-outs are concerned.
func (t *rolloutTracker) mayServe() bool { return !t.areEnabled() || t.statesAwaited.Load() }

func (t *rolloutTracker) inProgress() int {
	count := 0
	for _, state := range t.controller.Newest() {
		if !state.Phase.IsTerminal() {
			count++
		}
	}
	return count
}

// areEnabled reports whether the settings bound roll-outs.
func (t *rolloutTracker) areEnabled() bool { return t.settings.Bounds.Rollouts.AreSet }

// applyBatch applies the orders of one read of the operator's records. An order that was deleted
// continues.
func (t *rolloutTracker) applyBatch(batch feed.Batch) {
	if !t.areEnabled() {
		return
	}
	epoch, changed := t.feedsByTopic[platform.ConfigurationTopic].End().Epoch, false
	for _, record := range batch.Records {
		if platform.IsRolloutOrder(record) {
			changed = t.applyOrder(record, epoch, batch.Restored) || changed
		}
	}
	if !changed {
		return
	}
	t.controller.SetOrders(slices.Collect(maps.Values(t.orders)), t.Clock.Now())
	t.duty.Wake()
}

// applyOrder applies one record, and reports whether it holds a new order. After a restore, an order
// older than the known one for the service is ignored.
func (t *rolloutTracker) applyOrder(record latest.Record, epoch uint64, isRestored bool) bool {
	decoded, err := platform.DecodeRolloutOrder(record)
	if err != nil {
		t.Count("Rollouts.OrdersUnreadable", 1)
		t.Log.Error(err, "RolloutOrderUnreadable", "Offset", record.Offset)
		return false
	}
	order := rollout.Order{
		Service: decoded.Service, Target: decoded.Target, Period: decoded.Period,
		Position: latest.Position{Epoch: epoch, Offset: record.Offset},
	}
	known, found := t.orders[decoded.Service]
	if found && isRestored && record.Offset < known.Position.Offset && t.controller.Knows(order) {
		t.Log.Info("RolloutOrderOutdated", "Service", decoded.Service, "Target", decoded.Target, "Offset", record.Offset)
		return false
	}
	t.orders[decoded.Service] = order
	t.Log.Info("RolloutOrdered", "Service", decoded.Service, "Target", decoded.Target, "PeriodSeconds", decoded.Period.Seconds(),
		"Offset", record.Offset, "Epoch", epoch)
	return true
}

// digest returns what other daemons are told.
func (t *rolloutTracker) digest(now time.Time) membership.RolloutDigest {
	var digest membership.RolloutDigest
	if !t.areEnabled() {
		return digest
	}
	t.updateOldRunners()
	digest.Reports = t.controller.Reports(now)
	for _, state := range t.controller.States() {
		digest.States = append(digest.States, state.Report(now))
	}
	return digest
}

// applyDigest applies what another daemon has told at a reading of this daemon's clock.
func (t *rolloutTracker) applyDigest(sender membership.Member, digest membership.RolloutDigest, madeAt, now time.Time) {
	if !t.areEnabled() {
		return
	}
	process := instanceID(sender)
	t.observeProcess(sender.Name, process)
	for _, state := range digest.States {
		t.controller.ApplyState(state.State(madeAt), now)
	}
	t.controller.Merge(process, digest.Reports, madeAt, now)
}

// maxEnded bounds the processes that are remembered as ended.
const maxEnded = 1024

// observeProcess records the newest process of a daemon. The names of a daemon's processes sort by
// start time.
func (t *rolloutTracker) observeProcess(daemon, process string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.processes[daemon]
	if known >= process {
		return
	}
	t.processes[daemon] = process
	if known != "" {
		t.ended = append(t.ended, known)
		t.ended = t.ended[max(0, len(t.ended)-maxEnded):]
	}
}

// endedProcesses returns the processes that others have replaced.
func (t *rolloutTracker) endedProcesses() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.ended)
}

// Environment implements rolloutduty.System.
func (t *rolloutTracker) Environment(service, target string) rollout.Environment {
	environment := rollout.Environment{
		LongestTimeout: t.longestTimeout(service), Members: []string{instanceID(t.self)}, Ended: t.endedProcesses(),
	}
	for _, member := range t.group.HeardWithin(environment.LongestTimeout) {
		environment.Members = append(environment.Members, instanceID(member))
	}
	counts := countRunners(t.runners.list(), service, target)
	environment.TargetRunners, environment.OldRunners = counts.readyTarget, counts.old
	return environment
}

// longestTimeout returns how long a request for a service may take.
func (t *rolloutTracker) longestTimeout(service string) time.Duration {
	if current := t.gateway.Catalog(); current != nil {
		if longest := current.LongestTimeout(service); longest > 0 {
			return longest
		}
	}
	return gateway.DefaultOptions().DefaultTimeout
}

// Epoch implements rolloutduty.System.
func (t *rolloutTracker) Epoch() uint64 {
	return t.feedsByTopic[platform.ConfigurationTopic].End().Epoch
}

// Topic implements rolloutduty.Statuses.
func (*rolloutTracker) Topic() string { return platform.RolloutStatusTopic }

// Encode implements rolloutduty.Statuses.
func (*rolloutTracker) Encode(status rolloutduty.Status) (latest.Record, error) {
	state := platform.RolloutInProgress
	switch status.Phase {
	case rollout.Completed:
		state = platform.RolloutCompleted
	case rollout.RolledBack:
		state = platform.RolloutRolledBack
	}
	return platform.EncodeRolloutStatus(platform.RolloutStatus{Service: status.Service, Target: status.Target, State: state})
}
