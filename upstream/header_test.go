package upstream_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// newStallingRig returns a rig whose runner answers with the given bytes and leaves the
// connection open.
func newStallingRig(t *testing.T, answer string) *rig {
	return newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
		_, _ = io.WriteString(conn, answer)
		_, _ = io.Copy(io.Discard, conn)
	})
}

func TestInterimAnswersAreSkippedAndBounded(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	r := newRig(t, upstream.DefaultOptions(), strings.Repeat(interim, 8)+okAnswer)
	r.c.Assert(r.send(nil), qt.IsNil)
	r = newStallingRig(t, strings.Repeat(interim, 9))
	var tooMany *upstream.InterimAnswersError
	r.c.Check(errors.As(r.send(nil), &tooMany), qt.IsTrue)
}

// TestBytesThatAreNoAnswerEndTheExchange guards against exchanges that wait for more bytes
// although those that have arrived can't belong to an answer.
func TestBytesThatAreNoAnswerEndTheExchange(t *testing.T) {
	for _, answer := range []string{"x", "HTTP/2", "\r\n", okAnswer[:7] + "x\r\n\r\n"} {
		r := newStallingRig(t, answer)
		var invalid *upstream.InvalidAnswerError
		r.c.Check(errors.As(r.send(nil), &invalid), qt.IsTrue, qt.Commentf("%q", answer))
	}
}

// TestHeaderIsBoundedInTime guards against exchanges that wait for a header without end. A
// runner that has not begun its answer is waited for.
func TestHeaderIsBoundedInTime(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
		close(arrived)
		<-proceed
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	result := make(chan error)
	go func() { result <- r.send(nil) }()
	<-arrived
	r.clock.Advance(time.Minute)
	close(proceed)
	for {
		r.clock.Advance(100 * time.Millisecond)
		select {
		case err := <-result:
			var late *upstream.HeaderTimeoutError
			r.c.Check(errors.As(err, &late), qt.IsTrue, qt.Commentf("%v", err))
			return
		case <-time.After(time.Millisecond):
			// The header has not begun, or its time is not over.
		}
	}
}
