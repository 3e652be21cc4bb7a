package duties_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// handedOver writes the last counts of a process that has stopped, for the present window,
// and returns that window.
func (r *fixture) handedOver(counter *usage.Counter, process string, requests int64) int64 {
	index := counter.Window(time.Now())
	content, err := usage.EncodeHandover(usage.ProcessCounts{Process: process, Counts: []usage.Count{
		{Window: index, Customer: "library", Requests: requests},
	}})
	r.c.Assert(err, qt.IsNil)
	r.store.Put("counts", process, content)
	return index
}

// TestReportLostWithTheLogIsNotDecidedAnew guards against a second report of a window with
// other counts: the decision is lost with the store, all processes end, and a new one finds
// the counts that a process had handed over before.
func TestReportLostWithTheLogIsNotDecidedAnew(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	r.eventually("a holder", func() bool { return len(r.store.Records("duties")) > 0 })
	index := r.handedOver(a.usage, "c/1", 4)
	a.usage.Merge("b/1", []usage.Count{{Window: index, Customer: "library", Requests: 3}})
	copied := r.store.Snapshot()
	r.eventually("the report", func() bool { return r.reports()[index] == 7 })
	a.cancel()
	<-a.duties.Done()

	r.store.Restore(copied)

	b := r.start("b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go count(ctx, b.usage)
	r.eventually("two windows of the new process", func() bool { return len(r.reports()) >= 3 })
	r.c.Check(r.reports()[index], qt.Equals, int64(7))
}

// TestReportOfUnreachableHolderIsNotDecidedAnew guards against the same by a process that
// has run all the time, but was out of reach of the store and of the holder when that
// decided the window.
func TestReportOfUnreachableHolderIsNotDecidedAnew(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	r.eventually("a holder", func() bool { return len(r.store.Records("duties")) > 0 })
	copied := r.store.Snapshot()
	b := r.start("b")
	r.eventually("the other process at the end of the log", func() bool { return b.duties.End().Offset > 0 })
	r.store.SetFault(func(call standin.Call) standin.Fault {
		if call.Caller == "b" {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
	index := a.usage.Window(time.Now())
	a.usage.Merge("c/1", []usage.Count{{Window: index, Customer: "library", Requests: 7}})
	b.usage.Merge("c/1", []usage.Count{{Window: index, Customer: "library", Requests: 4}})
	r.eventually("the report", func() bool { return r.reports()[index] == 7 })
	a.cancel()
	<-a.duties.Done()

	r.store.Restore(copied)
	r.store.SetFault(nil)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go count(ctx, b.usage)
	r.eventually("two windows of the other process", func() bool { return len(r.reports()) >= 3 })
	r.c.Check(r.reports()[index], qt.Equals, int64(7))
}
