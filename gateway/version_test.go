package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
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
