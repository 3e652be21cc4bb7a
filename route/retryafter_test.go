package route_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/route"
)

func TestRetryAfterStaggersRefusedCallers(t *testing.T) {
	c := qt.New(t)
	view := newView(2)
	_, flights := send(c, view, newCall(1, 2), 100)
	for i := range flights {
		view.RecordFirstToken(&flights[i])
	}
	for i := range 4 {
		view.RecordEnd(&flights[i], start)
	}
	low, high := newCall(2, 2), newCall(2, 2)
	high.Priority = 1
	_, err := route.NewScore().Choose(high, view, start)
	c.Assert(err, qt.IsNil)

	var waits []time.Duration
	for range 3 {
		_, err := route.NewScore().Choose(low, view, start)
		var overload *route.OverloadError
		c.Assert(errors.As(err, &overload), qt.IsTrue)
		waits = append(waits, overload.RetryAfter)
	}

	c.Assert(waits[1]-waits[0], qt.Equals, time.Second)
	c.Assert(waits[2]-waits[1], qt.Equals, time.Second)
}
