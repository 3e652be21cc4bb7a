package balance_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
)

// answer sends a request to the first runner and applies what the answer says of its limit.
func (p *pair) answer(notice call.LimitNotice, sent, received time.Time) {
	p.c.Helper()
	ticket, err := p.balancer.Acquire(p.first, sent)
	p.c.Assert(err, qt.IsNil)
	ticket.ObserveLimit(notice, received)
	ticket.End(balance.Succeeded, received)
}

// limitChanges returns the reported changes of limits.
func (p *pair) limitChanges() []string {
	var changes []string
	for _, change := range p.changes {
		text := fmt.Sprintf("%s %g", change.Kind, change.Limit)
		if change.Kind == balance.RunnerLimitInvalid {
			text = fmt.Sprintf("%s %q", change.Kind, change.Text)
		}
		changes = append(changes, text)
	}
	return changes
}

// TestChangesOfLimitsAreReportedOnce guards against limits that start, change or end unseen,
// and against a line for each answer.
func TestChangesOfLimitsAreReportedOnce(t *testing.T) {
	p := newPair(t)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for i, perSecond := range []float64{0, 4, 4, 2, 8, 0, 0, 1} {
		p.answer(call.LimitNotice{PerSecond: perSecond}, at(10*i+1), at(10*i+2))
	}
	p.c.Check(p.limitChanges(), qt.DeepEquals, []string{
		"RunnerLimited 4", "RunnerLimitChanged 2", "RunnerLimitChanged 8", "RunnerLimitEnded 0", "RunnerLimited 1",
	})
}

// TestInvalidLimitChangesNothing guards against values that set or end a limit though they are
// none, and against a line for each of them.
func TestInvalidLimitChangesNothing(t *testing.T) {
	p := newPair(t)
	invalid := call.LimitNotice{IsInvalid: true, Text: "few"}
	p.answer(call.LimitNotice{PerSecond: 4}, start.Add(time.Second), start.Add(2*time.Second))
	for i := range 20 {
		p.answer(invalid, start.Add(time.Duration(3+i)*time.Second), start.Add(time.Duration(4+i)*time.Second))
	}
	p.c.Check(p.limitChanges(), qt.DeepEquals, []string{
		"RunnerLimited 4", `RunnerLimitInvalid "few"`, `RunnerLimitInvalid "few"`,
	})
	p.c.Check(p.balancer.LimitedRunners(), qt.Equals, 1)
}
