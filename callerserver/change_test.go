package callerserver_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lowIdleTimeout is an idle timeout below learnTime.
const lowIdleTimeout = 2 * time.Second

// expectOpen fails unless a request on the connection is answered, after which it is idle.
func (r *stopRig) expectOpen(when string) {
	settle()
	reading := r.holdNextIdle()
	r.send()
	_, err := r.reader.Peek(1)
	r.c.Assert(err, qt.IsNil, qt.Commentf("%s", when))
	readAnswer(r.c, r.reader)
	<-reading.reached
	close(reading.open)
}

// expectClosed fails unless the server closes the connection.
func (r *stopRig) expectClosed() {
	_, err := r.reader.ReadByte()
	r.c.Check(err, qt.Equals, io.EOF)
}

// TestLoweredIdleTimeoutSparesCallersThatDoNotKnowIt guards against a connection that is
// closed by a new idle timeout while callers still go by the longer one before it.
func TestLoweredIdleTimeoutSparesCallersThatDoNotKnowIt(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(lowIdleTimeout)
	r.expectOpen("no time has passed")
	r.clock.Advance(lowIdleTimeout)
	r.expectOpen("callers know only the longer timeout")
}

// TestLoweredIdleTimeoutHoldsOnceCallersKnowIt guards against connections that outlive a
// lowered idle timeout by more than the time in which callers learn of it.
func TestLoweredIdleTimeoutHoldsOnceCallersKnowIt(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(lowIdleTimeout)
	r.expectOpen("no time has passed")
	r.clock.Advance(lowIdleTimeout)
	settle()
	r.clock.Advance(learnTime - lowIdleTimeout)
	r.expectClosed()
}

// TestSeveralIdleTimeoutsWithinShortTime guards against a second change that hides that
// callers may still go by the timeout before the first one.
func TestSeveralIdleTimeoutsWithinShortTime(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(lowIdleTimeout)
	r.expectOpen("no time has passed")
	r.setIdle(lowIdleTimeout / 2)
	r.expectOpen("no time has passed")
	r.clock.Advance(lowIdleTimeout)
	r.expectOpen("callers may know only the first timeout")
}

// TestRaisedIdleTimeoutSparesIdleConnections guards against a connection that is closed by
// the timeout in force when it became idle, although callers know a longer one since.
func TestRaisedIdleTimeoutSparesIdleConnections(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(2 * idleTimeout)
	r.clock.Advance(idleTimeout)
	r.expectOpen("callers know the longer timeout")
}

// TestRaisedIdleTimeoutHoldsForIdleConnections guards against connections that stay open
// once the timeout that they began with was raised.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(2 * idleTimeout)
	r.clock.Advance(idleTimeout)
	settle()
	r.clock.Advance(idleTimeout)
	r.expectClosed()
}

// TestIdleTimeoutInPlaceOfNone covers callers that know no idle timeout when one is set.
func TestIdleTimeoutInPlaceOfNone(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.setIdle(0)
	r.expectOpen("no time has passed")
	r.clock.Advance(learnTime)
	r.expectOpen("there is no timeout")
	r.setIdle(lowIdleTimeout)
	r.expectOpen("no time has passed")
	r.clock.Advance(lowIdleTimeout)
	r.expectOpen("callers may know no timeout")
	r.clock.Advance(learnTime)
	r.expectClosed()
}
