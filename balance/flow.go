package balance

import "time"

// Flow counts the requests of a service over all daemons. The counts never decrease, and only their
// differences matter: a daemon that is heard for the first time adds only what it counts from then on.
type Flow struct {
	// Arrived counts the requests that have arrived, and Started those that were sent to runners.
	Arrived, Started uint64
}

const (
	// maxDaemonRate is more requests a second than a daemon can serve.
	maxDaemonRate = 20_000
	// minReportPeriod is a lower bound of the time between two reports, for those that are read at once.
	minReportPeriod = time.Second
)

// with returns the flow with the growth between two reports of a process of a daemon, which were made a time
// apart. Counts that are lower than before, or have grown by more than a daemon can serve, add nothing.
func (f Flow) with(before, after ServiceStarts, passed time.Duration) Flow {
	if after.Count < before.Count || after.Arrived < before.Arrived {
		return f
	}
	started, arrived := after.Count-before.Count, after.Arrived-before.Arrived
	if limit := maxDaemonRate * max(passed, minReportPeriod).Seconds(); float64(max(started, arrived)) > limit {
		return f
	}
	f.Started += started
	f.Arrived += arrived
	return f
}

// RecordArrival counts a request that has arrived for a service, whether it will be sent to a runner
// or not.
func (b *Balancer) RecordArrival(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.arrivals[service]++
	b.starts[service] += 0 // Report goes through the keys of starts.
}

// Flow returns the flow of a service and the mean age of the reports of other daemons.
func (b *Balancer) Flow(service string, now time.Time) (flow Flow, age time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	flow = b.peers.flows[service]
	flow.Arrived += b.arrivals[service]
	flow.Started += b.starts[service]
	return flow, b.peers.meanAge(now)
}

// addFlows adds the growth of the counts of a peer in a time.
func (p *peerReports) addFlows(before, after []ServiceStarts, passed time.Duration) {
	for _, now := range after {
		for _, earlier := range before {
			if earlier.Service == now.Service {
				p.flows[now.Service] = p.flows[now.Service].with(earlier, now, passed)
				break
			}
		}
	}
}
