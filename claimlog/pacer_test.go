package claimlog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPacerAdaptsToThrottling(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := newAppendPacer(5*time.Millisecond, 30*time.Millisecond)
	p.recordAppend(now)
	c.Assert(p.wait(now), qt.Equals, 5*time.Millisecond)
	for _, want := range []time.Duration{10, 20, 30, 30} {
		p.slowDown()
		c.Assert(p.wait(now), qt.Equals, want*time.Millisecond)
	}
	for range 20 {
		p.speedUp()
	}
	c.Assert(p.wait(now), qt.Equals, 5*time.Millisecond)
	c.Assert(p.wait(now.Add(time.Second)) < 0, qt.IsTrue)
}
