package duties_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/usage"
)

// TestNewProcessHearsOthersBeforeItDecides guards against a process that acquires the
// lease right after its start and decides ended windows before the other daemons have told
// it their counts.
func TestNewProcessHearsOthersBeforeItDecides(t *testing.T) {
	r := newFixture(t)
	const toldAfter, usageDelay = 150 * time.Millisecond, 1500 * time.Millisecond
	a := r.startWithDelays("a", 40*time.Millisecond, usageDelay)
	index := a.usage.Window(time.Now().Add(-usageDelay - 2*window))
	a.usage.Merge("b/1", []usage.Count{{Window: index, Customer: "library", Requests: 1}})
	time.Sleep(toldAfter)
	a.usage.Merge("c/1", []usage.Count{{Window: index, Customer: "library", Requests: 2}})
	r.eventually("the report", func() bool { return len(r.reports()) > 0 })
	r.c.Check(r.reports(), qt.DeepEquals, map[int64]int64{index: 3})
}

// TestLateDecisionIsKnownToOthers guards against a second report of a window, with other
// counts, that was decided long after its end: the holder stops, the log is lost, and the
// next holder must not decide anew.
func TestLateDecisionIsKnownToOthers(t *testing.T) {
	r := newFixture(t)
	a := r.start("a")
	r.eventually("a holder", func() bool { return len(r.store.Records("duties")) > 0 })
	copied := r.store.Snapshot()
	b := r.start("b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go share(ctx, a, b)
	index := a.usage.Window(time.Now()) - 8
	a.usage.Merge("c/1", []usage.Count{{Window: index, Customer: "library", Requests: 3}})
	r.eventually("the report", func() bool { return r.reports()[index] == 3 })
	a.cancel()
	<-a.duties.Done()

	r.store.Restore(copied)

	b.usage.Merge("c/1", []usage.Count{{Window: index, Customer: "library", Requests: 1}})
	now := time.Now()
	countAhead(b.usage, now)
	// The window in which the process learns of the restore may be the next one.
	r.eventually("a report of the next holder", func() bool { return r.reports()[b.usage.Window(now)+1] == 1 })
	r.c.Check(r.reports()[index], qt.Equals, int64(3))
}

// TestWindowWaitsForOutstandingCounts guards against a report without the counts of a
// process that was heard in the window but tells them late, or hands them over late, and
// against waiting without an end for one that was killed.
func TestWindowWaitsForOutstandingCounts(t *testing.T) {
	for name, scenario := range map[string]struct {
		late  func(r *fixture, a *process, counts []usage.Count)
		total int64
	}{
		"told late": {total: 3, late: func(_ *fixture, a *process, counts []usage.Count) {
			a.usage.Merge("b/1", counts)
			a.usage.Heard("b/1", time.Now())
		}},
		"handed over late": {total: 3, late: func(r *fixture, a *process, counts []usage.Count) {
			content, err := usage.EncodeHandover(usage.ProcessCounts{Process: "b/1", Counts: counts})
			r.c.Assert(err, qt.IsNil)
			r.store.Put("counts", "b/1", content)
		}},
		"never told": {total: 1, late: func(*fixture, *process, []usage.Count) {}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			a := r.start("a")
			r.eventually("a holder", func() bool { return len(r.store.Records("duties")) > 0 })
			now := time.Now()
			index := a.usage.Window(now)
			a.usage.RecordRequest("library", now)
			a.usage.Heard("b/1", now)
			time.Sleep(time.Until(a.usage.End(index).Add(outstandingDelay / 2)))
			scenario.late(r, a, []usage.Count{{Window: index, Customer: "library", Requests: 2}})
			r.eventually("the report", func() bool { return len(r.reports()) > 0 })
			r.c.Check(r.reports(), qt.DeepEquals, map[int64]int64{index: scenario.total})
		})
	}
}
