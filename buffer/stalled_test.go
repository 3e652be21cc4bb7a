package buffer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
)

// TestStalledAccountIsFailedBeforeOpenOnes guards against answers that fail since a few callers do not
// read theirs.
func TestStalledAccountIsFailedBeforeOpenOnes(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(func(*buffer.ExhaustedError) { c.Error("a stalled account is reported as an answer that failed") })
	cuts := 0
	var stalled []*buffer.Account
	for _, bytes := range []int{30, 40} {
		account := budget.Open("stalled", func() { c.Error("the runner of a whole answer is interrupted") })
		c.Assert(account.Resize(bytes), qt.IsNil)
		c.Assert(account.Settle(), qt.IsNil)
		account.Stall(func() { cuts++ })
		stalled = append(stalled, account)
	}
	open := budget.Open("open", func() { c.Error("the open one is interrupted") })
	c.Assert(open.Resize(50), qt.IsNil)
	c.Check(cuts, qt.Equals, 1)
	c.Check(budget.HeldBytes(), qt.Equals, 80)
	c.Check(stalled[0].Close(), qt.IsNil)
	c.Check(stalled[1].Close(), qt.IsNotNil)
	stalled[1].Stall(func() { c.Error("a closed account is cut") })
	stalled[1].Resume()
	c.Check(open.Resize(limitBytes), qt.IsNil)
}

// TestResumedAccountIsNotFailed guards against a caller that loses its answer although it reads on.
func TestResumedAccountIsNotFailed(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(nil)
	account := budget.Open("resumed", nil)
	c.Assert(account.Resize(90), qt.IsNil)
	c.Assert(account.Settle(), qt.IsNil)
	account.Stall(func() { c.Error("the resumed one is cut") })
	account.Resume()
	c.Check(budget.Open("next", nil).Resize(20), qt.IsNotNil)
	c.Check(account.Close(), qt.IsNil)
	c.Check(budget.HeldBytes(), qt.Equals, 0)
}

// TestStalledBodyIsDroppedForOthers guards against requests that are refused since a few callers do not
// go on with their bodies.
func TestStalledBodyIsDroppedForOthers(t *testing.T) {
	c := qt.New(t)
	bodies := newBodies()
	cuts := 0
	dripped, resumed, whole := bodies.Open("one"), bodies.Open("one"), bodies.Open("one")
	for _, body := range []*buffer.Body{dripped, resumed, whole} {
		c.Assert(body.Resize(16), qt.IsNil)
		body.Stall(func() { cuts++ })
	}
	resumed.Resume()
	c.Assert(whole.Settle(), qt.IsNil)
	next := bodies.Open("one")
	c.Check(next.Resize(limitBytes/2+1), qt.IsNotNil)
	c.Check(cuts, qt.Equals, 0)
	c.Check(next.Resize(16), qt.IsNil)
	c.Check(cuts, qt.Equals, 1)
	var dropped *buffer.DroppedError
	c.Check(dripped.Settle(), qt.ErrorAs, &dropped)
	c.Check(dripped.Resize(17), qt.ErrorAs, &dropped)
	dripped.Close()
	c.Check(bodies.HeldBytes(), qt.Equals, 48)
	c.Check(bodies.Open("one").Resize(16), qt.IsNotNil)
	c.Check(resumed.Settle(), qt.IsNil)
}
