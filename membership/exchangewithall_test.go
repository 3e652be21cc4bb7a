package membership_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/membership"
)

// TestExchangeWithAllNeedsEveryReply guards against a daemon that takes what some others tell it for
// what all of them know.
func TestExchangeWithAllNeedsEveryReply(t *testing.T) {
	const heardWithin = time.Minute
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	c.Check(a.group.ExchangeWithAll(context.Background(), heardWithin), qt.IsTrue, qt.Commentf("no other daemon"))
	b := start(c, "b", "zone-2", a.member.Address)
	eventually(c, "both to receive a digest", func() bool { return a.handler.digestsFrom("b") > 0 && b.handler.digestsFrom("a") > 0 })
	before := a.handler.digestsFrom("b")
	c.Check(a.group.ExchangeWithAll(context.Background(), heardWithin), qt.IsTrue)
	c.Check(a.handler.digestsFrom("b") > before, qt.IsTrue)

	address, err := fleet.FreeAddress()
	c.Assert(err, qt.IsNil)
	a.group.Add(membership.Member{Name: "never-heard", Address: address, Zone: "zone-1", Incarnation: "first"})
	c.Check(a.group.ExchangeWithAll(context.Background(), heardWithin), qt.IsFalse)
	time.Sleep(time.Millisecond)
	c.Check(a.group.ExchangeWithAll(context.Background(), time.Microsecond), qt.IsTrue, qt.Commentf("nobody was heard within that time"))
}
