package gateway_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// faultyBehaviours are what a runner of TestRefusedRequestsNeverRan does to a request, beside
// answering it. The first ones reject it.
var faultyBehaviours = []standin.Behaviour{
	{Status: 503, NotRun: true},
	{Status: 429, NotRun: true, Body: "full"},
	{Status: 503, NotRun: true, Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.AfterResponse}},
	{Status: 503, NotRun: true, Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.AfterResponse, Delay: 5 * time.Millisecond}},
	{Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}, Gap: 5 * time.Millisecond},
	{Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.InsteadOfResponse}},
	{Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse, ID: standin.WithoutID}, Gap: 5 * time.Millisecond},
	{Repeat: standin.Repeat{Of: standin.Success, Place: standin.BeforeResponse}, Gap: 5 * time.Millisecond},
	{Repeat: standin.Repeat{Of: standin.Rejection, Place: standin.AfterResponse, Delay: 5 * time.Millisecond}},
	{Repeat: standin.Repeat{Of: standin.Success, Place: standin.AfterResponse, ID: standin.PresentID}},
	{Status: 503, Body: "not said to be not run"},
	{Status: 421, RequestID: "another"},
	{Status: 408, Body: "late"},
	{Status: 500, Body: "error"},
	{Silent: true},
	{Reset: true},
	{CutHead: true},
	{Unsigned: true},
	{Unframed: true, ResetAtEnd: true},
}

// faultyScript returns a script that depends on the runner's number and the request only. Every
// third request is answered soundly.
func faultyScript(number uint64) func(standin.ReceivedRequest) standin.Behaviour {
	return func(received standin.ReceivedRequest) standin.Behaviour {
		id := received.Header.Get(standin.HeaderCallID)
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(id))
		random := rand.New(rand.NewPCG(number, hash.Sum64()))
		behaviour := standin.Behaviour{Gap: time.Millisecond}
		if random.IntN(3) > 0 {
			behaviour = faultyBehaviours[random.IntN(len(faultyBehaviours))]
		}
		if behaviour.Body == "" {
			behaviour.Body = "answer to " + id
		}
		return behaviour
	}
}

// Guards against refusals that say a request was not run although an attempt of it ran, whatever
// the order of its attempts' ends, and against requests that run twice.
func TestRefusedRequestsNeverRan(t *testing.T) {
	const requests, workers = 300, 6
	r := newRig(t, faultyScript(1), faultyScript(2), faultyScript(3))
	var mutex sync.Mutex
	replies := map[string]reply{}
	var sent sync.WaitGroup
	for worker := range workers {
		sent.Go(func() {
			for i := worker; i < requests; i += workers {
				id := fmt.Sprint("attempt-", i)
				got := r.send("/once/a", with(standin.HeaderCallID, id), with(standin.HeaderDeadline, "200"))
				mutex.Lock()
				replies[id] = got
				mutex.Unlock()
			}
		})
	}
	sent.Wait()
	statuses := map[int]int{}
	for id, got := range replies {
		ran := r.timesRun(id)
		statuses[got.status]++
		r.c.Check(ran <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, ran))
		r.c.Check(isPromise(got.status) && ran > 0, qt.IsFalse, qt.Commentf("%s got %d and ran", id, got.status))
		if got.status == http.StatusOK {
			r.c.Check(strings.HasSuffix(got.body, " "+id), qt.IsTrue, qt.Commentf("%s got %q", id, got.body))
		}
	}
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout} {
		r.c.Check(statuses[status] > 0, qt.IsTrue, qt.Commentf("no request got %d: %v", status, statuses))
	}
}
