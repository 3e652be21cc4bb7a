package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// Guards against a request that crashes each runner it is sent to and is sent again and again.
func TestRequestThatCrashesRunnersIsRefused(t *testing.T) {
	f := newCrashingFleet(t)
	for i := range 6 {
		f.send("/again/"+crashingPath, with(standin.HeaderCallID, fmt.Sprint("attempt-", i)))
	}
	runs := f.arrivalsAfter(time.Time{})
	f.c.Check(runs <= 4, qt.IsTrue, qt.Commentf("%d runs", runs))
	f.c.Check(f.send("/again/"+crashingPath).status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.send("/again/other").status, qt.Equals, http.StatusOK)
}

// Guards against sound requests that are refused since a single crash broke off several of the
// same content.
func TestCrashCountsOnceForRequestsOfOneContent(t *testing.T) {
	for _, path := range []string{"/once/a", "/stream/a", "/again/a"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Gap: time.Second}))
			var sent sync.WaitGroup
			sent.Go(func() { r.sendMany(path, 5) })
			r.awaitArrivals(5)
			r.runners[0].Close()
			sent.Wait()
			replacement, err := standin.NewRunner("i-z", always(standin.Behaviour{Events: 1}))
			r.c.Assert(err, qt.IsNil)
			r.c.Cleanup(replacement.Close)
			r.gateway.Balancer.SetRunners([]inventory.Runner{
				{ID: replacement.ID, Service: "desk", Address: replacement.Address(), Zone: "zone-1", Slots: 6},
			}, func(string) int { return 0 })
			r.c.Check(r.send(path).status, qt.Equals, http.StatusOK)
		})
	}
}

// awaitArrivals waits until the first runner has received requests.
func (r *rig) awaitArrivals(count int) {
	for end := time.Now().Add(time.Second); len(r.runners[0].ReceivedRequests()) < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.c.Fatalf("fewer than %d requests have arrived", count)
		}
	}
}

// Guards against a request that crashes runners and is cleared since one runner turned it away
// with an error of its own.
func TestErrorOfRunnerClearsNoRequest(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Status: status, Body: "an error"}))
			now := time.Now()
			r.send("/stream/a", with(standin.HeaderTokenCount, "900,50"), with(standin.HeaderPrompt, "aaaa:300,bad1:300,own:100"))
			for crash := range 3 {
				at := now.Add(time.Duration(crash-10) * 10 * time.Millisecond)
				r.segments.RecordCrash(uint64(crash), suspect.Attempt{Traits: []string{crashingSegment}, Sent: at.Add(-time.Millisecond)}, at)
			}
			admission := r.segments.Admit([]string{crashingSegment}, func(string) bool { return false }, now.Add(time.Second))
			r.c.Check(admission.Refused, qt.IsTrue)
		})
	}
}
