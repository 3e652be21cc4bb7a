package balance

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// LimitReport tells what a runner has said about its limit. Its fields are part of the wire
// format of digests.
type LimitReport struct {
	Runner inventory.Incarnation
	// PerSecond is zero if the runner has named no limit after it had named one.
	PerSecond float64
	// SentAge and ReceivedAge are the times since the request was sent and since the head of
	// the answer arrived.
	SentAge, ReceivedAge time.Duration
	ObservedBy           string
}

// ObserveLimit records what an answer to the request says of its runner's limit.
func (t *Ticket) ObserveLimit(notice call.LimitNotice, now time.Time) {
	b := t.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if notice.IsInvalid {
		b.reportInvalidLimit(t.runner, notice.Text, now)
		return
	}
	b.observeLimit(t.runner.entry, t.runner.signals, runnerlimit.Statement{
		PerSecond: notice.PerSecond, Sent: t.begunAt, Received: now, ObservedBy: b.daemons.Self().Name,
	}, now)
}

// observeLimit applies a statement about a runner. The mutex must be held.
func (b *Balancer) observeLimit(runner inventory.Runner, s *signals, statement runnerlimit.Statement, now time.Time) {
	before := s.limit.Statement().PerSecond
	if !s.limit.Observe(statement, b.daemons.Self().Name, now) {
		return
	}
	// The share counts from now on, not from the next request.
	b.refreshLimit(s, runner, now)
	kind := RunnerLimitChanged
	switch {
	case before == 0:
		kind = RunnerLimited
	case statement.PerSecond == 0:
		kind = RunnerLimitEnded
	}
	b.report(HealthChange{Kind: kind, Runner: runner.ID, Limit: statement.PerSecond, ObservedBy: statement.ObservedBy})
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

// maxLimitReports bounds the limits in one report.
const maxLimitReports = 256

// limitReports returns the limits to report to other daemons: to one that has just started all,
// otherwise those that this daemon has heard lately. The mutex must be held.
func (b *Balancer) limitReports(toNew bool, now time.Time) []LimitReport {
	var reports []LimitReport
	for _, r := range b.ordered {
		l := &r.signals.limit
		isReported := toNew && l.IsInForce() || l.ShouldReport(b.daemons.Self().Name, now)
		if !isReported {
			continue
		}
		s := l.Statement()
		reports = append(reports, LimitReport{
			Runner: r.entry.Incarnation(), PerSecond: s.PerSecond, ObservedBy: s.ObservedBy,
			SentAge: now.Sub(s.Sent), ReceivedAge: now.Sub(s.Received),
		})
		if len(reports) == maxLimitReports {
			break
		}
	}
	return reports
}

// applyLimitReports applies what a peer reported at a time. The mutex must be held.
func (b *Balancer) applyLimitReports(reports []LimitReport, reportedAt time.Time) {
	for _, report := range reports {
		runner := inventory.Runner{ID: report.Runner.ID}
		if r := b.runners[report.Runner.ID]; r != nil && r.entry.Incarnation() == report.Runner {
			runner = r.entry
		}
		b.observeLimit(runner, b.signalsOf(report.Runner), runnerlimit.Statement{
			PerSecond: report.PerSecond, ObservedBy: report.ObservedBy,
			Sent: reportedAt.Add(-report.SentAge), Received: reportedAt.Add(-report.ReceivedAge),
		}, reportedAt)
	}
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
