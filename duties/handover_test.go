package duties_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// handoverTime bounds a handover in these tests.
const handoverTime = 300 * time.Millisecond

// handOver stops a process and hands over its counts, with the number of counts as result.
func (p *process) handOver() (int, error) {
	p.cancel()
	<-p.duties.Done()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	counts, err := p.duties.HandOver(ctx)
	return len(counts), err
}

// TestHandedOverCountsAreReported guards against the loss of counts that no other process
// has heard of when their process stops.
func TestHandedOverCountsAreReported(t *testing.T) {
	for name, before := range map[string]func(r *fixture, a, b *process){
		"to a running process": func(*fixture, *process, *process) {},
		"after older handovers have expired": func(r *fixture, _, _ *process) {
			r.store.Put("counts", "c/1", []byte("unreadable"))
			r.store.DeleteHistory("counts")
		},
		"after the store was restored": func(r *fixture, _, _ *process) {
			empty := r.store.Snapshot()
			r.store.Put("counts", "c/1", []byte("unreadable"))
			time.Sleep(2 * window)
			r.store.Restore(empty)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			a, b := r.start("a"), r.start("b")
			r.eventually("a holder", func() bool { return len(r.store.Records("duties")) > 0 })
			before(r, a, b)
			// The window is still open when the handover is written.
			at := time.Now().Add(2 * window)
			a.usage.RecordRequest("library", at)
			a.usage.RecordRequest("library", at)
			b.usage.RecordRequest("library", at)

			counts, err := a.handOver()

			r.c.Assert(err, qt.IsNil)
			r.c.Check(counts, qt.Equals, 1)
			r.eventually("the report", func() bool { return r.reports()[a.usage.Window(at)] > 0 })
			r.c.Check(r.reports()[a.usage.Window(at)], qt.Equals, int64(3))
		})
	}
}

// TestHandoverOfLastProcessIsReported guards against the loss of counts when no process is
// left, and the next one starts after the window has ended.
func TestHandoverOfLastProcessIsReported(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	at := time.Now()
	a.usage.RecordRequest("library", at)
	_, err := a.handOver()
	r.c.Assert(err, qt.IsNil)
	time.Sleep(2 * window)
	r.start("b")
	r.eventually("the report", func() bool { return r.reports()[a.usage.Window(at)] == 1 })
}

// TestStopWithoutUndecidedCountsWritesNothing guards against calls to the store that serve
// nobody.
func TestStopWithoutUndecidedCountsWritesNothing(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	a.usage.RecordRequest("library", time.Now())
	r.eventually("the report", func() bool { return len(r.reports()) == 1 })
	idle := r.start("b")
	for _, p := range []*process{a, idle} {
		counts, err := p.handOver()
		r.c.Assert(err, qt.IsNil)
		r.c.Check(counts, qt.Equals, 0)
	}
	r.c.Check(r.store.Records("counts"), qt.HasLen, 0)
}

// TestHandoverToFailingStore guards against a stop that gives up when the store is busy, or
// takes longer because the store is away.
func TestHandoverToFailingStore(t *testing.T) {
	for name, scenario := range map[string]struct {
		fault  standin.Fault
		failed int
		stored bool
	}{
		"refuses once":      {fault: standin.FaultRefused, failed: 1, stored: true},
		"refuses always":    {fault: standin.FaultRefused, failed: 1000},
		"does not answer":   {fault: standin.FaultSilent, failed: 1000},
		"resets once":       {fault: standin.FaultReset, failed: 1, stored: true},
		"loses its answers": {fault: standin.FaultLostResponse, failed: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			a := r.start("a")
			a.usage.RecordRequest("library", time.Now().Add(time.Minute))
			calls := 0
			r.store.SetFault(func(call standin.Call) standin.Fault {
				if call.Topic != "counts" || call.Path != standin.PathAppend {
					return standin.FaultNone
				}
				calls++
				if calls > scenario.failed {
					return standin.FaultNone
				}
				return scenario.fault
			})

			counts, err := a.handOver()

			r.c.Check(counts, qt.Equals, 1)
			var unavailable *store.UnavailableError
			r.c.Check(errors.As(err, &unavailable), qt.Equals, !scenario.stored, qt.Commentf("%v", err))
			if scenario.fault == standin.FaultLostResponse {
				r.c.Check(r.store.Records("counts"), qt.Not(qt.HasLen), 0)
			}
		})
	}
}

// TestReportsGoOnBesideUnreadableHandover guards against a record of another writer that
// keeps all later handovers from being read.
func TestReportsGoOnBesideUnreadableHandover(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	r.store.Put("counts", "c/1", []byte("unreadable"))
	content, err := usage.EncodeHandover(usage.ProcessCounts{Process: "d/1", Counts: []usage.Count{
		{Window: a.usage.Window(time.Now()), Customer: "library", Requests: 4},
	}})
	r.c.Assert(err, qt.IsNil)
	r.store.Put("counts", "d/1", content)
	r.eventually("the report", func() bool { return len(r.reports()) > 0 })
	for _, reported := range r.reports() {
		r.c.Check(reported, qt.Equals, int64(4))
	}
}

// TestHandoversAreReadOnceForEachWindow guards against a holder of the duties that polls the
// store for handovers, also while a window waits for outstanding counts or has none.
func TestHandoversAreReadOnceForEachWindow(t *testing.T) {
	r := newFixture(t)
	started := time.Now()
	a := r.start("a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go count(ctx, a.usage)
	r.eventually("three windows", func() bool { return len(r.reports()) >= 3 })
	a.usage.Heard("b/1", time.Now())
	r.eventually("two windows after the wait", func() bool { return len(r.reports()) >= 5 })
	a.cancel()
	<-a.duties.Done()
	reads := int64(0)
	for _, call := range r.store.Calls() {
		if call.Topic == "counts" && call.Path != standin.PathAppend {
			reads++
		}
	}
	ended := a.usage.Window(time.Now()) - a.usage.Window(started)
	// Windows that waited are read for twice, and a new holder reads at once.
	const readsBesides = 4
	r.c.Check(reads > 0, qt.IsTrue)
	r.c.Check(reads <= ended+readsBesides, qt.IsTrue, qt.Commentf("%d reads in %d windows", reads, ended))
}
