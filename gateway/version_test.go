package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// setVersions gives the runners software versions, in their order.
func (r *rig) setVersions(versions ...string) {
	var entries []inventory.Runner
	for i, version := range versions {
		zone := "zone-1"
		if i > 0 {
			zone = "zone-2"
		}
		entries = append(entries, inventory.Runner{
			ID: r.runners[i].ID, Service: "desk", Version: version, Address: r.runners[i].Address(), Zone: zone, Slots: rigSlots,
		})
	}
	r.gateway.Balancer.SetRunners(entries, func(string) int { return 0 })
}

// TestStreamStaysAtItsVersionOnEveryWayToARunner guards against a stream that goes on at a runner of
// another software version than the one whose events its caller has.
func TestStreamStaysAtItsVersionOnEveryWayToARunner(t *testing.T) {
	whole := always(standin.Behaviour{Events: 12, Gap: 40 * time.Millisecond})
	for _, way := range []struct {
		name  string
		first standin.Behaviour
		// moves is true if the first runner leaves while it serves the stream.
		moves bool
	}{
		{"the runner resets the stream", standin.Behaviour{Events: 12, Gap: 10 * time.Millisecond, ResetAfter: 4}, false},
		{"the runner falls silent", standin.Behaviour{Events: 12, Gap: 10 * time.Millisecond, StallAfter: 4}, false},
		{"the runner leaves", standin.Behaviour{Events: 12, Gap: 40 * time.Millisecond}, true},
	} {
		for _, scenario := range []struct {
			name     string
			versions []string
			// goesOn is true if a runner of the version is left.
			goesOn bool
		}{
			{"a runner of the version is left", []string{"v1", "v1.1", "v1"}, true},
			{"none of the version is left", []string{"v1", "v1.1"}, false},
		} {
			t.Run(way.name+", "+scenario.name, func(t *testing.T) {
				r := newRig(t, always(way.first), whole, whole)
				r.setVersions(scenario.versions...)
				if way.moves {
					time.AfterFunc(120*time.Millisecond, func() { r.gateway.MoveStreams(r.runners[0].ID) })
					r.mover.copied, r.mover.stop = true, r.runners[0].ResetConnections
				}
				got := r.send("/resumable/a")
				r.c.Check(r.runners[1].ReceivedRequests(), qt.HasLen, 0, qt.Commentf("requests at the other version"))
				r.c.Check(r.mover.targetsExcept(r.runners[2].Address()), qt.HasLen, 0)
				if scenario.goesOn || way.moves {
					r.c.Check(got.body, qt.Equals, standin.Events(12))
					return
				}
				r.c.Check(got.broken, qt.IsTrue)
				r.c.Check(got.body, qt.Equals, standin.Events(4))
			})
		}
	}
}

// targetsExcept returns the addresses to which runs were to be copied, but for one.
func (m *fakeMover) targetsExcept(address string) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var others []string
	for _, target := range m.targets {
		if target != address {
			others = append(others, target)
		}
	}
	return others
}

// TestAnyVersionMayBeginAStream guards against a stream that is bound to the version of a runner
// whose events its caller never got.
func TestAnyVersionMayBeginAStream(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Reset: true}), always(standin.Behaviour{Events: 5}))
	r.setVersions("v1", "v1.1")
	got := r.send("/resumable/a")
	r.c.Check(got.status, qt.Equals, 200)
	r.c.Check(got.body, qt.Equals, standin.Events(5))
}

// resumes returns the changes of a request that resumes a stream after an event.
func resumes(id, lastEvent string) []change {
	return []change{with(standin.HeaderResumes, id), with(standin.HeaderLastEvent, lastEvent)}
}

// TestResumedStreamGoesToItsVersion guards against a stream that its caller resumes and that goes on
// at a runner of another version than the one that began it.
func TestResumedStreamGoesToItsVersion(t *testing.T) {
	whole := always(standin.Behaviour{Events: 5})
	for _, scenario := range []struct {
		name, found string
		// arrivals are the requests at the runners, which have the versions v1 and v1.1.
		arrivals []int
		status   int
	}{
		{"the preferred runner has it", "v1", []int{1, 0}, http.StatusOK},
		{"another runner has it", "v1.1", []int{0, 1}, http.StatusOK},
		{"no runner has it", "v2", []int{0, 0}, http.StatusServiceUnavailable},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, whole, whole)
			r.setVersions("v1", "v1.1")
			r.versions.found = scenario.found
			got := r.send("/resumable/a", resumes("attempt-0", "2")...)
			r.c.Check(got.status, qt.Equals, scenario.status)
			r.c.Check(r.arrivals(), qt.DeepEquals, scenario.arrivals)
			r.c.Check(r.versions.queries, qt.DeepEquals, []streamversion.Query{
				{Service: "desk", Stream: streamversion.StreamOf("desk", "library", "attempt-0"), HasID: true},
			})
			r.c.Check(r.versions.records, qt.HasLen, 0, qt.Commentf("the record of its first attempt holds"))
			if scenario.status != http.StatusOK {
				r.c.Check(got.header.Get("Retry-After"), qt.Equals, "2.000")
			}
		})
	}
}

// TestStreamOfUnknownVersionIsRefused guards against a guess, and against a refused request that
// uses up the customer's quota or a retry.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 5}))
	limited := spec()
	limited.Customers[0].Quota = catalog.Quota{Rate: 0.001, Burst: 1}
	r.set(limited)
	r.versions.unknown = &streamversion.UnknownError{Reason: streamversion.NoRecord}
	for range 3 {
		got := r.send("/resumable/a", with(standin.HeaderLastEvent, "2"))
		r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		r.c.Check(got.header.Get("Retry-After"), qt.Equals, "0.250")
	}
	r.c.Check(r.versions.queries[0].HasID, qt.IsFalse)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
	r.versions.unknown = nil
	r.c.Check(r.send("/resumable/a", resumes("attempt-0", "2")...).status, qt.Equals, http.StatusOK)
}

// TestVersionIsRecordedBeforeTheFirstEvent guards against an event that a caller has before it is
// certain that any daemon can find the version of its stream.
func TestVersionIsRecordedBeforeTheFirstEvent(t *testing.T) {
	whole := always(standin.Behaviour{Events: 5})
	stream := streamversion.StreamOf("desk", "library", "attempt-1")
	for _, scenario := range []struct {
		name  string
		first standin.Behaviour
		// needsRecord, toBegin and withdraws are those of the fake.
		needsRecord, toBegin string
		withdraws            bool
		want                 []streamversion.Record
		arrival              []int
	}{
		{
			"its version needs none", standin.Behaviour{Events: 5}, "v1.1", "", false, nil, []int{1, 0},
		},
		{
			"its version needs one", standin.Behaviour{Events: 5}, "v1", "", false,
			[]streamversion.Record{{Stream: stream, Number: 1, Version: "v1"}}, []int{1, 0},
		},
		{
			"the first runner sends no event", standin.Behaviour{Reset: true}, "v1", "", false,
			[]streamversion.Record{{Stream: stream, Number: 1, Version: "v1"}, {Stream: stream, Number: 2, Version: "v1.1"}}, []int{1, 1},
		},
		{
			"the first runner sends no event and its record is withdrawn", standin.Behaviour{Reset: true}, "v1", "", true,
			[]streamversion.Record{{Stream: stream, Number: 1, Version: "v1"}}, []int{1, 1},
		},
		{
			"records fail and another version needs none", standin.Behaviour{Events: 5},
			"v1", "v1.1", false, nil, []int{0, 1},
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.first), whole)
			r.setVersions("v1", "v1.1")
			r.versions.needsRecord, r.versions.toBegin, r.versions.withdraws = []string{scenario.needsRecord}, scenario.toBegin, scenario.withdraws
			got := r.send("/resumable/a")
			r.c.Check(got.status, qt.Equals, http.StatusOK)
			r.c.Check(got.body, qt.Equals, standin.Events(5))
			r.c.Check(r.arrivals(), qt.DeepEquals, scenario.arrival)
			r.c.Check(r.versions.records, qt.DeepEquals, scenario.want)
		})
	}
}

// TestNoEventBeforeItsVersionIsRecorded guards against a stream that its caller resumes at another
// daemon while the store does not hold its version yet, or never will since this daemon is killed.
func TestNoEventBeforeItsVersionIsRecorded(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		after  time.Duration // when the store takes the record; zero if it never does
		status int
	}{
		{"the store takes records late", 500 * time.Millisecond, http.StatusOK},
		{"the store takes no records", 0, http.StatusGatewayTimeout},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Events: 5}))
			r.setVersions("v1")
			r.versions.needsRecord, r.versions.holds, r.versions.written = []string{"v1"}, true, make(chan struct{})
			if scenario.after > 0 {
				time.AfterFunc(scenario.after, func() { close(r.versions.written) })
			}
			began := time.Now()
			got := r.send("/resumable/a")
			r.c.Check(got.status, qt.Equals, scenario.status)
			r.c.Check(time.Since(began) >= scenario.after, qt.IsTrue)
			if scenario.status != http.StatusOK {
				r.c.Check(got.body, qt.Equals, "")
			}
		})
	}
}

// TestStreamWhoseRecordFailsBeginsElsewhere guards against an event of a version that can't be
// recorded, while a runner of the version that needs no record is there.
func TestStreamWhoseRecordFailsBeginsElsewhere(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 5, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 5}))
	r.setVersions("v1", "v1.1")
	r.versions.needsRecord, r.versions.holds, r.versions.withdraws = []string{"v1"}, true, true
	time.AfterFunc(100*time.Millisecond, func() { r.versions.setToBegin("v1.1") })
	got := r.send("/resumable/a")
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(got.body, qt.Equals, standin.Events(5))
	r.c.Check(got.header.Get(standin.HeaderSignature), qt.Equals, r.runners[1].ID+".signed")
}

// TestOnlyResumableStreamsAreRecorded guards against records of requests that can't be resumed.
func TestOnlyResumableStreamsAreRecorded(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 5}))
	r.setVersions("v1")
	r.versions.needsRecord = []string{"v1"}
	for _, path := range []string{"/stream/a", "/again/a", "/once/a"} {
		r.send(path)
	}
	r.c.Check(r.versions.records, qt.HasLen, 0)
}

// TestResumedStreamStaysAtItsService guards against a route with several services that sends a
// resumed stream to another one than the one that began it.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 5}))
	split := spec()
	split.Services = append(split.Services, catalog.Service{Name: "other", MaxConnections: 50})
	for i := range split.Routes {
		split.Routes[i].Splits = []catalog.Split{{Service: "desk", Weight: 1}, {Service: "other", Weight: 1}}
	}
	r.set(split)
	services := map[string]bool{}
	for attempt := range 20 {
		r.send("/resumable/a", append(resumes("attempt-0", "2"), with(standin.HeaderCallID, fmt.Sprint("attempt-", attempt)))...)
	}
	for _, query := range r.versions.queries {
		services[query.Service] = true
	}
	r.c.Check(services, qt.HasLen, 1)
}
