package balance_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// TestAvailableOnlyLeavesOutFullAndUnreachableRunners guards against a silent attempt being
// abandoned for a runner that is full or unreachable.
func TestAvailableOnlyLeavesOutFullAndUnreachableRunners(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	request := balance.Request{Service: "desk", Excluded: []string{"b0", "b1", "c0", "c1", "d0", "d1"}}
	_, first, err := b.Choose(request, start)
	c.Assert(err, qt.IsNil)
	for range 11 {
		for _, id := range []string{"a0", "a1"} {
			_, err := b.Acquire(inventory.Runner{ID: id, Service: "desk"}, start)
			c.Assert(err, qt.IsNil)
		}
	}
	request.AvailableOnly = true
	choice, last, err := b.Choose(request, start)
	c.Assert(err, qt.IsNil)
	_, _, err = b.Choose(request, start)
	var none *balance.NoRunnerError
	c.Check(errors.As(err, &none), qt.IsTrue, qt.Commentf("both runners have twelve requests"))
	last.End(balance.Cancelled, start)
	again, last, err := b.Choose(request, start)
	c.Assert(err, qt.IsNil)
	c.Check(again.Runner.ID, qt.Equals, choice.Runner.ID)
	last.End(balance.Unreachable, start)
	_, _, err = b.Choose(request, start)
	c.Check(errors.As(err, &none), qt.IsTrue, qt.Commentf("one runner is full, the other one is unreachable"))
	first.End(balance.Cancelled, start)
	_, _, err = b.Choose(request, start.Add(time.Millisecond))
	c.Check(err, qt.IsNil)
}

// TestOnlyNamesTheRunner guards against a request that returns to a runner being sent to
// another one, or to that runner while it is leaving.
func TestOnlyNamesTheRunner(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	choice, _, err := b.Choose(balance.Request{Service: "desk", Only: "d1"}, start)
	c.Assert(err, qt.IsNil)
	c.Check(choice.Runner.ID, qt.Equals, "d1")
	b.SetRunners([]inventory.Runner{
		{ID: "d0", Service: "desk", Zone: "d", Slots: 6},
		{ID: "d1", Service: "desk", Zone: "d", Slots: 6, State: inventory.Leaving},
	}, func(string) int { return 100000 })
	_, _, err = b.Choose(balance.Request{Service: "desk", Only: "d1"}, start)
	var none *balance.NoRunnerError
	c.Check(errors.As(err, &none), qt.IsTrue)
}
