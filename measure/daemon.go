package measure

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// daemon simulates a daemon with the product's view and routing policy.
type daemon struct {
	name   string
	zone   string
	view   *route.View
	policy route.Policy
	// partitioned reports whether the daemon has lost contact with its peers
	// and with the cache events.
	partitioned bool
}

// newDaemon returns a daemon whose view contains runners.
func newDaemon(t Tenant, number int, policy route.Policy, runners []route.Runner) *daemon {
	zone := zoneName(number % len(t.Reclaimable))
	options := t.options(zone)
	options.Daemon = "daemon-" + string(rune('1'+number))
	options.ZoneDelay = 2 * t.ZoneDelay
	d := &daemon{
		name:   options.Daemon,
		zone:   zone,
		view:   route.NewView(options),
		policy: policy,
	}
	d.view.SetRunners(runners)
	return d
}

// Digests are sent every digestPeriod and arrive digestDelay later, so that
// they are 0.5 s old on average when a decision uses them.
const (
	digestPeriod = 500 * time.Millisecond
	digestDelay  = 250 * time.Millisecond
	// eventPeriod is the interval at which a runner's cache events are fetched.
	eventPeriod = 500 * time.Millisecond
)

// startDigests schedules the exchange of digests between the daemons.
func (s *simulation) startDigests() {
	for i, d := range s.daemons {
		offset := digestPeriod * time.Duration(i) / daemonCount
		s.loop.every(offset, digestPeriod, func() { s.sendDigest(d) })
	}
}

// sendDigest sends the digest of a daemon to its peers.
func (s *simulation) sendDigest(from *daemon) {
	digest := from.view.OwnDigest(from.name, s.now())
	s.loop.after(digestDelay, func() {
		for _, to := range s.daemons {
			if to != from && !to.partitioned && !from.partitioned {
				to.view.ApplyDigest(digest)
			}
		}
	})
}

// startEvents schedules the fetching of the runners' cache events.
func (s *simulation) startEvents() {
	for i, e := range s.engines {
		offset := eventPeriod * time.Duration(i) / time.Duration(len(s.engines))
		s.loop.every(offset, eventPeriod, func() { s.sendEvents(e) })
	}
}

// sendEvents delivers the cache events of a runner to the daemons. A lost event
// reaches none of them, since one daemon fetches the events for all its peers.
func (s *simulation) sendEvents(e *engine) {
	events := e.takeEvents()
	kept := events[:0]
	for _, event := range events {
		if s.scenario.eventLoss == 0 || s.faults.Float64() >= s.scenario.eventLoss {
			kept = append(kept, event)
		}
	}
	s.loop.after(s.scenario.eventDelay, func() {
		for _, d := range s.daemons {
			if d.partitioned {
				continue
			}
			for _, event := range kept {
				d.view.RecordCacheEvent(e.info.Name, event.block, event.stored)
			}
		}
	})
}

// balancer distributes calls over the daemons at random.
type balancer struct {
	random *rand.Rand
}

// pick returns a random daemon.
func (b balancer) pick(all []*daemon) *daemon { return all[b.random.IntN(len(all))] }
