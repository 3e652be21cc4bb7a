package balance

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/capacity"
)

// forgetRemoved forgets what was learned of removed runners. The mutex must be held.
func (b *Balancer) forgetRemoved() {
	kept := make(map[uint64]struct{}, len(b.runners))
	for _, r := range b.runners {
		kept[r.entry.Incarnation().Hash()] = struct{}{}
	}
	b.learner.Retain(func(incarnation uint64) bool {
		_, found := kept[incarnation]
		return found
	})
}

// ObserveLoad records what an answer to the request says of its runner's load.
func (t *Ticket) ObserveLoad(load call.Load, now time.Time) {
	if !load.IsKnown() {
		return
	}
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	r := t.runner
	r.load, r.loadAt = load, now
	if r.learned != nil {
		t.balancer.learner.ObservePace(r.learned, load, now)
	}
}

// ObserveAnswer records that the answer to a plain request has arrived completely.
func (t *Ticket) ObserveAnswer(now time.Time) {
	t.observe(capacity.Sample{Kind: capacity.PlainCall, Time: now.Sub(t.begunAt)}, now)
}

// ObserveFirstEvent records that the first event of a stream has arrived that the runner began.
func (t *Ticket) ObserveFirstEvent(now time.Time) {
	t.observe(capacity.Sample{Kind: capacity.FirstEvent, Time: now.Sub(t.begunAt), Units: t.uncached}, now)
}

// ObserveEvents records that events of a stream have arrived within a time, in which the daemon always
// waited for the runner.
func (t *Ticket) ObserveEvents(count int, took time.Duration, now time.Time) {
	t.observe(capacity.Sample{Kind: capacity.NextEvents, Time: took, Units: count}, now)
}

// loadLifetime is how long the load that a runner has said describes a sample. Then the requests that
// the daemons count do.
const loadLifetime = time.Second

// observe adds a sample, if the runner says its load: without it the time says little of the speed.
func (t *Ticket) observe(sample capacity.Sample, now time.Time) {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	r := t.runner
	if r.learned == nil || !r.load.IsKnown() {
		return
	}
	sample.Load = r.load
	if now.Sub(r.loadAt) > loadLifetime {
		running, _ := t.balancer.total(r, now)
		sample.Load = call.Load{Running: running, Slots: r.load.Slots}
	}
	t.balancer.learner.Observe(r.learned, sample, now)
}
