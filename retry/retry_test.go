package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/retry"
)

var start = time.Unix(1_000_000, 0)

func TestBudgetAllowsShareOfRecentTraffic(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		requests int
		passed   time.Duration
		retries  int
	}{
		{"only the burst without traffic", 0, 0, 10},
		{"each request adds its share", 100, 0, 10 + 20},
		{"old traffic decays", 100, 10 * time.Minute, 10},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			budget := retry.NewBudget(retry.DefaultBudgetOptions(), start)
			for range scenario.requests {
				budget.Deposit(start)
			}
			now := start.Add(scenario.passed)
			retries := 0
			for budget.Withdraw(now) {
				retries++
			}
			// The sum of the shares has a rounding error.
			c.Assert(retries >= scenario.retries-1 && retries <= scenario.retries, qt.IsTrue, qt.Commentf("%d retries", retries))
		})
	}
}

// Half of the backend servers are lost and every request asks for a retry: the
// retries must stay within the budget's share of the load.
func TestRetriesStayBelowShareOfLoad(t *testing.T) {
	c := qt.New(t)
	options := retry.DefaultBudgetOptions()
	budget := retry.NewBudget(options, start)
	const perSecond, seconds = 100, 300
	retries := 0
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		budget.Deposit(now)
		if budget.Withdraw(now) {
			retries++
		}
	}
	allowed := options.Share*perSecond*seconds + options.FloorPerSecond*seconds + options.Burst
	c.Assert(float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries", retries))
}

func TestClockStepBackAddsNothingToBudget(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.BudgetOptions{Window: time.Second, FloorPerSecond: 1, Burst: 1}, start)
	c.Assert(budget.Withdraw(start), qt.IsTrue)
	c.Assert(budget.Withdraw(start.Add(-time.Hour)), qt.IsFalse)
	c.Assert(budget.Withdraw(start.Add(time.Second)), qt.IsTrue)
}

func TestBackoffStaysWithinBoundsAndDeadline(t *testing.T) {
	c := qt.New(t)
	options := retry.DefaultBackoffOptions()
	backoff := retry.NewBackoff(options, rand.NewPCG(1, 2))
	bound := options.Initial
	for failed := 1; failed < 8; failed++ {
		for range 100 {
			wait, ok := backoff.Wait(failed, start, time.Time{})
			c.Assert(ok, qt.IsTrue)
			c.Assert(wait >= 0 && wait <= min(bound, options.Max), qt.IsTrue, qt.Commentf("%s", wait))
		}
		bound *= time.Duration(options.Factor)
	}
	_, ok := backoff.Wait(1, start, start)
	c.Assert(ok, qt.IsFalse)
}

func TestFirstBackoffStaysBelowMax(t *testing.T) {
	c := qt.New(t)
	backoff := retry.NewBackoff(retry.BackoffOptions{Initial: time.Minute, Max: time.Second, Factor: 3}, rand.NewPCG(1, 2))
	for range 100 {
		wait, _ := backoff.Wait(1, start, time.Time{})
		c.Assert(wait <= time.Second, qt.IsTrue, qt.Commentf("%s", wait))
	}
}
