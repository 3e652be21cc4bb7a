package runnerlimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// TestKeptRequestEndsWithTheShare guards against daemons that have a share by turns, keep a request
// for later each, and send all of them at once.
func TestKeptRequestEndsWithTheShare(t *testing.T) {
	c := qt.New(t)
	var limit runnerlimit.Limit
	limit.Observe(said(1, 0, 0), "entry-1", start)
	mayTake := func(seconds, share float64) bool {
		now := start.Add(time.Duration(seconds * float64(time.Second)))
		limit.Refresh(func(float64) runnerlimit.Share { return runnerlimit.Share{PerSecond: share} }, now)
		return limit.MayTake()
	}
	c.Check(mayTake(0, 1), qt.IsFalse)
	c.Check(mayTake(1.5, 1), qt.IsTrue)
	c.Check(mayTake(2, 0), qt.IsFalse)
	c.Check(mayTake(2.2, 1), qt.IsFalse)
	c.Check(mayTake(3.3, 1), qt.IsTrue)
}
