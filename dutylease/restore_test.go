package dutylease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

// restore drops the entries after the first ones and begins a new epoch.
func (l *log) restore(entries int) {
	l.records = l.records[:entries:entries]
	l.epoch++
}

// TestHolderReacquiresLeaseAfterRestore covers a holder whose entries are lost. It may
// still act, so another process must not acquire the lease, and its own next fencing
// token is higher although offsets have gone back.
func TestHolderReacquiresLeaseAfterRestore(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	for range 5 {
		l.append("b", dutylease.Record{Leaves: true}, start)
		l.catchUp("a", start)
	}
	c.Assert(l.acquire("a", start), qt.IsTrue)
	first := l.tokens[0]
	l.catchUp("b", start)
	l.restore(2)

	now := start.Add(options.Lease / 2)
	c.Check(l.acquire("b", now), qt.IsFalse)
	c.Assert(l.acquire("a", now), qt.IsTrue)
	token, holding := l.states["a"].Holding(now)
	c.Check(holding, qt.IsTrue)
	c.Check(token > first, qt.IsTrue, qt.Commentf("%d after %d", token, first))
	c.Check(l.acquire("b", now), qt.IsFalse)
}

func TestLeaseOfLostHolderIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.acquire("a", start)
	l.append("a", dutylease.Record{}, start)
	l.catchUp("b", start)
	l.restore(1)
	c.Check(l.acquire("b", start.Add(options.Lease)), qt.IsFalse)
	c.Check(l.acquire("b", start.Add(2*options.Lease+options.Margin)), qt.IsTrue)
}

// TestReportsStayDecidedAfterRestore covers a report whose entry is lost. The holder
// writes it again; another process knows it from the holder.
func TestReportsStayDecidedAfterRestore(t *testing.T) {
	report := dutylease.Report{Window: 7, Counts: map[string]int64{"library": 3}}
	for _, next := range []string{"a", "b"} {
		t.Run(next, func(t *testing.T) {
			c := qt.New(t)
			l := newLog("a", "b", "c")
			l.acquire("a", start)
			l.append("a", dutylease.Record{Reports: []dutylease.Report{report}}, start)
			l.states["b"].ObserveReport(l.states["a"].RecentReports(0)[0], start)
			l.restore(1)
			later := start.Add(options.Lease / 2)
			if next == "b" {
				l.catchUp("b", later)
				later = later.Add(options.Lease + options.Margin)
			}
			c.Assert(l.acquire(next, later), qt.IsTrue)
			got, _, decided := l.catchUp("c", later).Report(7, later)
			c.Check(decided, qt.IsTrue)
			c.Check(got, qt.DeepEquals, report)
			c.Check(l.states[next].UnloggedReports(), qt.HasLen, 0)
		})
	}
}

// TestLateAppendOfEarlierEpochIsVoid covers an append that was sent before the restore
// and takes effect after it, at an offset that was given out again.
func TestLateAppendOfEarlierEpochIsVoid(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b", "c")
	l.acquire("a", start)
	l.catchUp("b", start)
	l.restore(1)
	later := start.Add(2 * (options.Lease + options.Margin))
	l.catchUp("b", start)
	c.Assert(l.acquire("b", later), qt.IsTrue)
	l.records = append(l.records, dutylease.Record{Holder: "a", Takes: true, Epoch: 0})
	c.Check(l.catchUp("b", later).Holder(), qt.Equals, "b")
	c.Check(l.catchUp("c", later).Holder(), qt.Equals, "b")
	c.Check(l.states["c"].FencingToken(), qt.Equals, l.tokens[1])
	c.Check(l.append("b", dutylease.Record{}, later), qt.IsTrue)
}

// TestOneHolderAcrossRestores restores the log at random moments between acquisitions,
// renewals, reports, exchanges of reports and restarts. There is never more than one
// process that may act, fencing tokens increase, and a window that the platform has
// accepted is never decided anew by a process that was told of it.
func TestOneHolderAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		l := newLog(names...)
		now := start
		accepted := make(map[int64]string)
		copied, window := 0, int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "process")
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				l.acquire(name, now)
			case 2:
				if l.states[name].MustRenew(now) && l.holds(name, now) {
					l.append(name, dutylease.Record{}, now)
				}
			case 3, 4:
				if !l.holds(name, now) {
					continue
				}
				window++
				reports := []dutylease.Report{{Window: window, Counts: map[string]int64{name: window}}}
				if l.append(name, dutylease.Record{Reports: reports}, now) {
					accepted[window] = fmt.Sprint(reports[0].Counts)
					for _, other := range names {
						l.states[other].ObserveReport(reports[0], now)
					}
				}
			case 5:
				copied = len(l.records)
			case 6:
				l.restore(min(copied, len(l.records)))
			}
			l.check(t, names, now, accepted)
		}
	})
}

// check asserts what must hold at any time.
func (l *log) check(t *rapid.T, names []string, now time.Time, accepted map[int64]string) {
	holders := 0
	for _, name := range names {
		if l.holds(name, now) {
			holders++
		}
		for window, counts := range accepted {
			if report, _, decided := l.states[name].Report(window, now); !decided || fmt.Sprint(report.Counts) != counts {
				t.Fatalf("%s takes window %d as %v, reported were %s", name, window, report, counts)
			}
		}
	}
	if holders > 1 {
		t.Fatalf("%d processes may act", holders)
	}
	for i := 1; i < len(l.tokens); i++ {
		if l.tokens[i] <= l.tokens[i-1] {
			t.Fatalf("fencing token %d after %d", l.tokens[i], l.tokens[i-1])
		}
	}
}
