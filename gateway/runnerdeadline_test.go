package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against a part of a stream that reaches the caller as a complete one: its runner stops
// work at the deadline that the daemon has named to it, which the timeout of the route bounds, and
// closes the connection.
func TestStreamThatEndsAtTheDeadlineOfItsRunnerIsNotComplete(t *testing.T) {
	first := func(arrival standin.ReceivedRequest) standin.Behaviour {
		deadline, err := strconv.Atoi(arrival.Header.Get(standin.HeaderDeadline))
		if err != nil {
			return standin.Behaviour{Status: http.StatusBadRequest}
		}
		return closedStream(1, 5, time.Until(arrival.ReceivedAt.Add(time.Duration(deadline)*time.Millisecond)))
	}
	r := newRig(t, first)
	changed := spec()
	changed.Version = 2
	for i := range changed.Routes {
		changed.Routes[i].Timeout = 300 * time.Millisecond
	}
	r.set(changed)
	for _, path := range []string{"/single/a", "/once/a"} {
		complete := 0
		for range 10 {
			if got := r.send(path); !got.broken && got.status == http.StatusOK {
				complete++
			}
		}
		r.c.Check(complete, qt.Equals, 0, qt.Commentf("parts as complete answers, of 10 at %s", path))
	}
}
