package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// withLongBody sends a body that is written in the background.
func withLongBody(bytes int) change {
	return func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("q", bytes))), int64(bytes)
	}
}

// Guards against requests that fail, or whose connections carry another one, if an answer to another
// request is skipped while the rest of the body is still being written.
func TestOwnAnswerDuringWriteOfBodyReachesCaller(t *testing.T) {
	for _, early := range []bool{false, true} {
		repeat := standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}
		second := standin.Behaviour{Body: "second", Gap: 100 * time.Millisecond, Repeat: repeat, RespondEarly: early}
		r := newRig(t, inTurn(standin.Behaviour{Status: 503, NotRun: true}, second, okAnswer))
		r.send("/once/a", with(standin.HeaderCallID, "attempt-0"))
		got := r.send("/once/a", withLongBody(7<<20))
		r.c.Check(got.status, qt.Equals, http.StatusOK)
		r.c.Check(got.body, qt.Equals, "second")
		r.c.Check(r.send("/once/a", with(standin.HeaderCallID, "attempt-2")).status, qt.Equals, http.StatusOK)
		r.c.Check(r.runners[0].AcceptedConnections(), qt.Equals, 2)
	}
}

// Guards against connections to a runner that stay open after the caller has left while its request
// waits behind an answer to another one.
func TestCallerThatLeavesAfterRepeatedAnswerEndsAttempt(t *testing.T) {
	repeat := standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}
	r := newRig(t, inTurn(standin.Behaviour{Status: 503, NotRun: true}, standin.Behaviour{Silent: true, Repeat: repeat}))
	r.send("/once/a", with(standin.HeaderCallID, "attempt-0"))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := http.DefaultClient.Do(r.request(ctx, "/once/a")) //nolint:bodyclose // There is no response.
	r.c.Assert(err, qt.IsNotNil)
	time.Sleep(200 * time.Millisecond)
	received := r.runners[0].ReceivedRequests()
	r.c.Assert(received, qt.HasLen, 2)
	r.c.Check(received[1].Repeated, qt.IsTrue)
	r.c.Check(received[1].DisconnectedAt.IsZero(), qt.IsFalse)
}
