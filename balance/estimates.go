package balance

import "github.com/cranberrywalk/cranberrywalk/capacity"

// RunnerEstimate is what a runner is thought to carry.
type RunnerEstimate struct {
	Runner string
	capacity.Estimate
}

// Estimates returns what each runner is thought to carry, by ID.
func (b *Balancer) Estimates() []RunnerEstimate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	estimates := make([]RunnerEstimate, 0, len(b.ordered))
	for _, r := range b.ordered {
		estimates = append(estimates, RunnerEstimate{Runner: r.entry.ID, Estimate: r.learned.Estimate()})
	}
	return estimates
}
