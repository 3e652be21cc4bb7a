package daemon

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/limit"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func entryVM(name string) hosting.VM {
	return hosting.VM{Name: name, Role: hosting.RoleEntry, Region: "r", Zone: "a"}
}

func newTestAdmitter(name string) *admitter {
	a := newAdmitter(peer.Identity{Daemon: name, Region: "r", Zone: "a"})
	a.setVMs([]hosting.VM{entryVM("one"), entryVM("two")})
	return a
}

// countAdmitted sends requests at even intervals over one second and returns how
// many are admitted.
func countAdmitted(a *admitter, p plan.Plan, requests int, from time.Time) int {
	count := 0
	for i := range requests {
		if a.Admit(p, 1, from.Add(time.Duration(i)*time.Second/time.Duration(requests))) == nil {
			count++
		}
	}
	return count
}

// exchange sends the demand of each admitter to the other one.
func exchange(a, b *admitter, p plan.Plan, now time.Time) {
	for _, pair := range [][2]*admitter{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		demands := from.demands([]plan.Plan{p}, now)
		for i := range demands {
			demands[i].Reporter = from.identity.Daemon
		}
		to.merge(from.identity, demands, now)
	}
}

func TestLimitFollowsDemandToOneDaemon(t *testing.T) {
	c := qt.New(t)
	p := plan.Plan{Name: "Desk", RequestsPerSecond: 100}
	one, two := newTestAdmitter("one"), newTestAdmitter("two")
	now := noon
	total := 0
	for second := range 20 {
		count := countAdmitted(one, p, 150, now)
		now = now.Add(time.Second)
		exchange(one, two, p, now)
		if second >= 10 {
			total += count
		}
	}
	c.Assert(two.demands([]plan.Plan{p}, now), qt.DeepEquals, []peer.Demand{{Plan: "Desk/RequestsPerSecond"}})
	c.Assert(total >= 950 && total <= 1050, qt.IsTrue, qt.Commentf("%d of 1000 were admitted", total))
}

func TestLimitErrorNamesPlanAndField(t *testing.T) {
	c := qt.New(t)
	a := newTestAdmitter("one")
	p := plan.Plan{Name: "a/b", TokensPerSecond: 10}
	var err error
	for err == nil {
		err = a.Admit(p, 50, noon)
	}
	var exceeded *limit.ExceededError
	c.Assert(errors.As(err, &exceeded), qt.IsTrue)
	c.Assert([]string{exceeded.Plan, exceeded.Limit}, qt.DeepEquals, []string{"a/b", "TokensPerSecond"})
	c.Assert(exceeded.RetryAfter > 0, qt.IsTrue)
}
