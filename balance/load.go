package balance

import "time"

// Load is the load that one daemon puts on a runner.
type Load struct {
	Runner string
	// Running counts the requests in progress. PrefillTokens counts the prompt
	// tokens still to be prefilled for those without a first event.
	Running       int
	PrefillTokens int
}

// total returns the load that all daemons put on a runner.
func (b *Balancer) total(r *runner, now time.Time) (running, prefill int) {
	peers := b.peers.load(r.entry.ID, now)
	return r.running + peers.Running, r.prefillTokens + peers.PrefillTokens
}

// ServiceLoad is the load of a service over all daemons.
type ServiceLoad struct {
	// Requests counts the requests in progress at its available runners, and LimitedRequests
	// those of them at runners with a limit.
	Requests, LimitedRequests int
	// Runners counts the available runners, and Slots the sum of the slots of those without a
	// limit.
	Runners, Slots int
	// Capacity is the number of typical runners of the service that carry as much as the available
	// ones. It is exactly Runners while nothing is learned.
	Capacity float64
	// Concurrency is the number of typical runners that run as many requests at once without slowing
	// down. It is exactly Runners while nothing is learned.
	Concurrency float64
	// Limits holds the limits of those that have one, in requests a second.
	Limits []float64
	// Started is the number of requests that were sent to its runners by the daemons
	// that are heard. It falls when one of them restarts or is no longer heard.
	Started uint64
}

// Load returns the load of a service.
func (b *Balancer) Load(service string, now time.Time) ServiceLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.learner.Refresh(now)
	load := ServiceLoad{Started: b.starts[service] + b.peers.starts(service, now)}
	for _, r := range b.ordered {
		if r.entry.Service != service || !r.isAvailable() || now.Before(r.downUntil) {
			continue
		}
		requests, _ := b.total(r, now)
		load.Requests += requests
		load.Runners++
		load.Capacity += r.learned.Share()
		load.Concurrency += r.learned.Concurrency()
		if l := &r.signals.limit; l.IsInForce() {
			load.LimitedRequests += requests
			load.Limits = append(load.Limits, l.Statement().PerSecond)
			continue
		}
		load.Slots += r.entry.Slots
	}
	return load
}
