package versionlog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestProcessOutOfStepJoinsNothing guards against a stream that goes on at a runner of another
// version: it began at a new version through one process, and is resumed at another one that does
// not reach the store and does not know yet of the version, or that others know of it.
func TestProcessOutOfStepJoinsNothing(t *testing.T) {
	const unknown = "unknown: StoreUnavailable"
	const stream = 7
	for _, scenario := range []struct {
		name string
		// disturb happens after both processes know the rule, to the second of them.
		disturb func(r *rig, first, second *process)
		want    string
	}{
		{"cut off from the store and the others", func(r *rig, first, second *process) {
			r.takeStoreFrom(second)
			r.cutOff(second, true)
			first.SetRunners(runnersOf("v1", "v1", "v1.1"))
			r.record(first, stream, "v1.1")
		}, unknown},
		{"cut off from the store, and has not read the runners", func(r *rig, first, second *process) {
			r.takeStoreFrom(second)
			first.SetRunners(runnersOf("v1", "v1", "v1.1"))
			r.record(first, stream, "v1.1")
		}, unknown},
		{"the process that began the stream has ended, and was not missed yet", func(r *rig, first, second *process) {
			r.takeStoreFrom(second)
			first.SetRunners(runnersOf("v1", "v1", "v1.1"))
			r.record(first, stream, "v1.1")
			first.stop()
			r.cutOff(first, true)
		}, unknown},
		{"a process that has just started knows nothing", func(r *rig, first, _ *process) {
			r.end(first)
			r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultRefused })
			r.start()
		}, unknown},
		{"one version serves, and the store is away", func(r *rig, _, second *process) {
			r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultRefused })
		}, "v1 from Rule"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t)
			first := r.start("v1")
			r.awaitDefault(first, "v1")
			second := r.start("v1")
			r.awaitDefault(second, "v1")
			time.Sleep(60 * time.Millisecond)
			scenario.disturb(r, first, second)
			r.c.Check(second.find(stream), qt.Equals, scenario.want)
		})
	}
}
