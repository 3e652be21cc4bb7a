package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// demandMonitor tracks how many runners each service needs. Every daemon does, so that
// the one that takes over the duties knows the load of the last seconds.
type demandMonitor struct {
	*Entry
	// processStart is when the process started.
	processStart time.Time

	mutex sync.Mutex
	// trackers holds the demand of each service; guarded by mutex.
	trackers map[string]*scaling.DemandTracker
	// shares holds the division of the demand of each service over zones; guarded by mutex.
	shares map[string]*scaling.ZoneShares
	// hasSeenLoad is true once a request was in progress at any daemon; guarded by
	// mutex.
	hasSeenLoad bool
}

func newDemandMonitor(e *Entry) *demandMonitor {
	return &demandMonitor{
		Entry: e, processStart: e.Clock.Now(),
		trackers: make(map[string]*scaling.DemandTracker), shares: make(map[string]*scaling.ZoneShares),
	}
}

// demandPeriod is the time between two samples of the load.
const demandPeriod = 500 * time.Millisecond

// run samples the load until ctx ends.
func (m *demandMonitor) run(ctx context.Context) {
	for clock.Sleep(ctx, m.Clock, demandPeriod) == nil {
		current := m.gateway.Catalog()
		if current == nil || !m.runners.isLoaded() {
			continue
		}
		m.sample(current, m.runners.list(), m.Clock.Now())
	}
}

func (m *demandMonitor) sample(current *catalog.Catalog, runners []inventory.Runner, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, service := range current.Services() {
		load := m.balancer.Load(service.Name, now)
		m.hasSeenLoad = m.hasSeenLoad || load.Requests > 0
		if service.Scaling == nil {
			continue
		}
		tracker := m.tracker(service, countZones(service, runners), now)
		before, extraBefore := tracker.Runners(), tracker.Extra()
		sample := sampleOf(load)
		zones := m.ledger.Zones(service.Name, now)
		sample.Demand = scaling.Total(zones)
		m.observeZones(service.Name, zones, now)
		tracker.Observe(sample, now)
		m.logExtra(service.Name, extraBefore, tracker.Extra())
		if tracker.Runners() != before {
			m.Log.V(1).Info("DemandChanged", "Service", service.Name, "Runners", tracker.Runners(), "Before", before,
				"Requests", load.Requests, "Ready", load.Runners, "Capacity", load.Capacity, "Concurrency", load.Concurrency,
				"RefusedLoad", tracker.Extra().Refused, "WorkLoad", tracker.Extra().Load)
		}
	}
}

// sampleOf returns what the load of a service says of its demand.
func sampleOf(load balance.ServiceLoad) scaling.Sample {
	return scaling.Sample{
		Requests: load.Requests, Started: load.Started, Ready: load.Runners, Limits: load.Limits,
		Capacity: load.Capacity, Concurrency: load.Concurrency,
	}
}

// tracker returns the tracker of a service. Until all runners have reported, it is made
// anew when there are more of them. It is called with the mutex held.
func (m *demandMonitor) tracker(service catalog.Service, zones []scaling.Zone, now time.Time) *scaling.DemandTracker {
	tracker := m.trackers[service.Name]
	needed := initialNeed(zones)
	if tracker == nil || m.isStarting(now) && needed > tracker.Runners() {
		tracker = scaling.NewDemandTracker(scaling.DefaultDemandOptions(), needed, now)
		m.trackers[service.Name] = tracker
	}
	return tracker
}

// initialSpares is the assumed ratio of the reclaimable runners that a daemon finds at its
// start to the number needed. It is below the planned ratio, since some may just have
// been reclaimed.
const initialSpares = 2

// initialNeed returns the number of runners needed as far as those that are there tell.
// On-demand runners are there for the load itself, reclaimable ones also as spares.
func initialNeed(zones []scaling.Zone) int {
	reclaimable, onDemand := 0, 0
	for _, zone := range zones {
		reclaimable += zone.Reclaimable
		onDemand += zone.OnDemand
	}
	return max(onDemand, (reclaimable+initialSpares-1)/initialSpares, 1)
}

// runnersNeeded returns the number of runners of a service for the present load.
func (m *demandMonitor) runnersNeeded(service catalog.Service, zones []scaling.Zone, now time.Time) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker(service, zones, now).Runners()
}

// runnersLost returns the number of runners of a service that have named limits and so serve
// nothing, in whole runners.
func (m *demandMonitor) runnersLost(service string) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	tracker := m.trackers[service]
	if tracker == nil {
		return 0
	}
	return tracker.Lost()
}

// The time after the start of the process by which all runners have written their
// records.
const (
	// firstReportDelay applies when the whole system starts for the first time.
	firstReportDelay = 4500 * time.Millisecond
	// idleReportDelay applies then as long as there are no requests, so that
	// releasing a runner too many does no harm: two heartbeats of runners and a
	// margin.
	idleReportDelay = 3 * time.Second
	// restartReportDelay applies to later starts: the store holds the records of the
	// runners, unless they expired in an outage and are being written again.
	restartReportDelay = 2 * time.Second
)

// isStarting reports whether some runners may not have written their records since the
// start of the process. It is called with the mutex held.
func (m *demandMonitor) isStarting(now time.Time) bool {
	delay := restartReportDelay
	switch {
	case m.isIdleLocked():
		delay = idleReportDelay
	case m.settings.IsFirstStart:
		delay = firstReportDelay
	}
	return now.Sub(m.processStart) < delay
}

// isIdleLocked reports whether the whole system has just started and has had no requests.
// It is called with the mutex held.
func (m *demandMonitor) isIdleLocked() bool { return m.settings.IsFirstStart && !m.hasSeenLoad }

// state returns whether the system is idle and whether it is starting.
func (m *demandMonitor) state(now time.Time) (isIdle, isStarting bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isIdleLocked(), m.isStarting(now)
}
