package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against requests that may run twice and wait for an answer that does not come, although
// another runner would answer at once: their runner has written an answer to another request in
// place of theirs.
func TestRepeatableRequestDoesNotWaitBehindOtherAnswer(t *testing.T) {
	repeat := standin.Repeat{Of: standin.Success, Place: standin.InsteadOfResponse}
	r := newRig(t, inTurn(okAnswer, standin.Behaviour{Body: "second", Repeat: repeat}), always(okAnswer))
	r.send("/again/a", with(standin.HeaderCallID, "attempt-0"))
	began := time.Now()
	got := r.send("/again/a")
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
