package streamversion_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

var start = time.Unix(1000, 0)

// options have a lifetime of a minute.
func options() streamversion.WatchOptions { return streamversion.DefaultWatchOptions() }

// runnersOf returns a runner of the service for each version.
func runnersOf(versions ...string) []inventory.Runner {
	var runners []inventory.Runner
	for _, version := range versions {
		runners = append(runners, inventory.Runner{Service: "desk", Version: version})
	}
	return runners
}

// TestFirstRule guards against streams of an unknown past that are taken for streams of the version
// that serves now.
func TestFirstRule(t *testing.T) {
	for _, scenario := range []struct {
		name         string
		isFirstStart bool
		epoch        uint64
		want         streamversion.Rule
	}{
		{"first start of the system", true, 0, streamversion.Rule{Default: "v1.1", Generation: 1}},
		{"first start with a store that was restored before", true, 4, streamversion.Rule{Default: "v1.1", Generation: 1, Epoch: 4}},
		{"later start", false, 0, streamversion.Rule{RecordsAll: true, Generation: 1}},
		{"the store was restored and has lost the rule", false, 3, streamversion.Rule{RecordsAll: true, Generation: 1, Epoch: 3}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			o := options()
			o.IsFirstStart = scenario.isFirstStart
			w := streamversion.NewWatch(o, start)
			w.ObserveEpoch(scenario.epoch, start)
			_, needed := w.Next("desk", start)
			c.Check(needed, qt.IsFalse, qt.Commentf("without runners"))
			w.Observe(runnersOf("v1", "v1.1", "v1.1"), start)
			next, needed := w.Next("desk", start)
			c.Check(needed, qt.IsTrue)
			c.Check(next, qt.Equals, scenario.want)
		})
	}
}

// TestRuleOverARelease guards against another default version while a stream without a record can
// still be resumed.
func TestRuleOverARelease(t *testing.T) {
	c := qt.New(t)
	w := streamversion.NewWatch(options(), start)
	rule := streamversion.Rule{Default: "v1", Generation: 7}
	w.SetRule("desk", rule, start)
	expect := func(at time.Duration, want streamversion.Rule, wantNeeded bool) {
		c.Helper()
		next, needed := w.Next("desk", start.Add(at))
		c.Check(needed, qt.Equals, wantNeeded)
		if needed {
			c.Check(next, qt.Equals, want)
			w.SetRule("desk", next, start.Add(at))
		}
	}
	none := streamversion.Rule{}
	w.Observe(runnersOf("v1", "v1"), start)
	expect(0, none, false)
	w.Observe(runnersOf("v1", "v1.1"), start.Add(5*time.Second))
	expect(20*time.Second, none, false)
	w.Observe(runnersOf("v1.1", "v1.1"), start.Add(30*time.Second))
	expect(30*time.Second, none, false)
	expect(31*time.Second, streamversion.Rule{Default: "v1", RecordsAll: true, Generation: 8}, true)
	expect(90*time.Second, none, false)
	expect(91*time.Second, streamversion.Rule{Default: "v1.1", Generation: 9}, true)
	expect(500*time.Second, none, false)
}

// TestReturningVersionStaysTheDefault guards against a default version that is given up although its
// runners have come back.
func TestReturningVersionStaysTheDefault(t *testing.T) {
	c := qt.New(t)
	w := streamversion.NewWatch(options(), start)
	w.SetRule("desk", streamversion.Rule{Default: "v1", RecordsAll: true, Generation: 2}, start)
	w.Observe(runnersOf("v1.1"), start)
	w.Observe(runnersOf("v1", "v1.1"), start.Add(59*time.Second))
	next, needed := w.Next("desk", start.Add(2*time.Minute))
	c.Check(needed, qt.IsTrue)
	c.Check(next, qt.Equals, streamversion.Rule{Default: "v1", Generation: 3})
}

// TestAnotherProcessHasWaited guards against a process that counts the time before it knew of the
// rule.
func TestAnotherProcessHasWaited(t *testing.T) {
	c := qt.New(t)
	w := streamversion.NewWatch(options(), start)
	w.Observe(runnersOf("v1.1"), start)
	w.SetRule("desk", streamversion.Rule{Default: "v1", RecordsAll: true, Generation: 2}, start.Add(50*time.Second))
	_, needed := w.Next("desk", start.Add(100*time.Second))
	c.Check(needed, qt.IsFalse)
	_, needed = w.Next("desk", start.Add(110*time.Second))
	c.Check(needed, qt.IsTrue)
}

// TestRuleAfterARestoreOfTheStore guards against a rule of an older copy that is taken for the one
// that holds.
func TestRuleAfterARestoreOfTheStore(t *testing.T) {
	newest := streamversion.Rule{Default: "v1.1", Generation: 9}
	copied := streamversion.Rule{Default: "v1", Generation: 7}
	t.Run("at a process that knew the newest rule", func(t *testing.T) {
		c := qt.New(t)
		w := streamversion.NewWatch(options(), start)
		w.ObserveEpoch(0, start)
		w.Observe(runnersOf("v1.1"), start)
		w.SetRule("desk", newest, start)
		restored := start.Add(time.Minute)
		w.ObserveEpoch(1, restored)
		w.SetRule("desk", copied, restored)
		next, needed := w.Next("desk", restored)
		c.Check(needed, qt.IsTrue)
		c.Check(next, qt.Equals, streamversion.Rule{Default: "v1.1", Generation: 10, Epoch: 1})
	})
	t.Run("at a process that knew the newest rule, while another version had a runner", func(t *testing.T) {
		c := qt.New(t)
		w := streamversion.NewWatch(options(), start)
		w.ObserveEpoch(0, start)
		w.Observe(runnersOf("v1.1", "v1"), start)
		w.SetRule("desk", newest, start)
		w.Observe(runnersOf("v1.1"), start.Add(10*time.Second))
		restored := start.Add(time.Minute)
		w.ObserveEpoch(1, restored)
		next, needed := w.Next("desk", restored)
		c.Check(needed, qt.IsTrue)
		c.Check(next, qt.Equals, streamversion.Rule{RecordsAll: true, Generation: 10, Epoch: 1})
	})
	t.Run("at a process that has started since", func(t *testing.T) {
		c := qt.New(t)
		w := streamversion.NewWatch(options(), start)
		w.Observe(runnersOf("v1.1"), start)
		w.ObserveEpoch(1, start)
		w.SetRule("desk", copied, start)
		_, needed := w.Next("desk", start.Add(2*time.Second))
		c.Check(needed, qt.IsFalse, qt.Commentf("others may confirm it"))
		next, needed := w.Next("desk", start.Add(3*time.Second))
		c.Check(needed, qt.IsTrue)
		c.Check(next, qt.Equals, streamversion.Rule{RecordsAll: true, Generation: 8, Epoch: 1})
	})
}

func TestOnlyTheDefaultVersionWasSeen(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		other time.Duration // when a runner of another version goes; zero if there is none
		// noRecords is when the store held no record; zero if it always held one.
		noRecords, at time.Duration
		want          bool
	}{
		{"the process is new", 0, 0, 59 * time.Second, false},
		{"no other version", 0, 0, time.Minute, true},
		{"another version lately", 30 * time.Second, 0, 80 * time.Second, false},
		{"another version long ago", 30 * time.Second, 0, 90 * time.Second, true},
		{"the process is new and there was no record", 0, time.Second, 2 * time.Second, true},
		{"another version since there was no record", 30 * time.Second, time.Second, 80 * time.Second, false},
		{"another version before there was no record", 30 * time.Second, 40 * time.Second, 50 * time.Second, true},
		{"there was no record long ago", 30 * time.Second, time.Second, 89 * time.Second, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			w := streamversion.NewWatch(options(), start)
			w.SetRule("desk", streamversion.Rule{Default: "v1", Generation: 1}, start)
			w.Observe(runnersOf("v1"), start)
			if scenario.other > 0 {
				w.Observe(runnersOf("v1", "v1.1"), start.Add(scenario.other/2))
				w.Observe(runnersOf("v1"), start.Add(scenario.other))
			}
			if scenario.noRecords > 0 {
				w.ObserveNoRecords(start.Add(scenario.noRecords))
			}
			c.Check(w.HasOnlyDefault("desk", start.Add(scenario.at)), qt.Equals, scenario.want)
		})
	}
}

func TestChangesOfVersionsAreReported(t *testing.T) {
	c := qt.New(t)
	w := streamversion.NewWatch(options(), start)
	c.Check(w.Observe(runnersOf("v1"), start), qt.DeepEquals, []streamversion.Versions{{Service: "desk", Names: []string{"v1"}}})
	c.Check(w.Observe(runnersOf("v1", "v1"), start), qt.HasLen, 0)
	c.Check(w.Observe(runnersOf("v1.1", "v1"), start), qt.DeepEquals, []streamversion.Versions{{Service: "desk", Names: []string{"v1", "v1.1"}}})
	c.Check(w.Observe(nil, start)[0].Names, qt.HasLen, 0)
}
