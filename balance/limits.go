package balance

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// ObserveLimit records what an answer to the request says of its runner's limit.
func (t *Ticket) ObserveLimit(notice call.LimitNotice, now time.Time) {
	b := t.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if notice.IsInvalid {
		b.reportInvalidLimit(t.runner, notice.Text, now)
		return
	}
	b.observeLimit(t.runner.entry.ID, t.runner.signals, runnerlimit.Statement{
		PerSecond: notice.PerSecond, Sent: t.begunAt, Received: now, HeardBy: b.options.Daemon.Name,
	})
}

// observeLimit applies a statement about a runner. The mutex must be held.
func (b *Balancer) observeLimit(id string, s *signals, statement runnerlimit.Statement) {
	before := s.limit.Statement().PerSecond
	if !s.limit.Observe(statement) {
		return
	}
	kind := RunnerLimitChanged
	switch {
	case before == 0:
		kind = RunnerLimited
	case statement.PerSecond == 0:
		kind = RunnerLimitEnded
	}
	b.report(HealthChange{Kind: kind, Runner: id, Limit: statement.PerSecond, HeardBy: statement.HeardBy})
}

const (
	// invalidLimitPeriod is the time between two reports of invalid limits of one runner.
	invalidLimitPeriod = 10 * time.Second
	// maxReportedText bounds the text of an invalid limit that is reported.
	maxReportedText = 64
)

// reportInvalidLimit reports a limit that can't be used. The mutex must be held.
func (b *Balancer) reportInvalidLimit(r *runner, text string, now time.Time) {
	s := r.signals
	if !s.invalidLimitAt.IsZero() && now.Sub(s.invalidLimitAt) < invalidLimitPeriod {
		return
	}
	s.invalidLimitAt = now
	b.report(HealthChange{Kind: RunnerLimitInvalid, Runner: r.entry.ID, Text: text[:min(len(text), maxReportedText)]})
}

// LimitedRunners returns the number of runners whose limits are in force.
func (b *Balancer) LimitedRunners() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, r := range b.ordered {
		if r.signals.limit.IsInForce() {
			count++
		}
	}
	return count
}
