package suspect_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

const fingerprint = 7

var start = time.Unix(1_000_000, 0)

func TestCrashesAtTwoDaemonsAreCountedOnceEach(t *testing.T) {
	c := qt.New(t)
	one, two, three := newTracker(), newTracker(), newTracker()
	one.RecordCrash(fingerprint, suspect.CrashID("r1", "runner-1", 1), start)
	for range 3 {
		// Repeated gossip of the same crash counts once.
		three.Merge(one.Entries(start), start)
	}
	c.Assert(three.Refused(fingerprint, start), qt.IsFalse)

	two.RecordCrash(fingerprint, suspect.CrashID("r2", "runner-2", 1), start)
	changes := three.Merge(two.Entries(start), start)

	c.Assert(changes, qt.HasLen, 1)
	c.Assert(three.Refused(fingerprint, start), qt.IsTrue)
	c.Assert(three.Merge(two.Entries(start), start), qt.HasLen, 0)
}

func TestMergeIsCommutative(t *testing.T) {
	c := qt.New(t)
	var entries []suspect.Entry
	for i := range uint64(4) {
		entries = append(entries, suspect.Entry{Fingerprint: fingerprint, Crashes: []uint64{10 - i}, Expires: start.Add(time.Minute)})
	}
	forward, backward := newTracker(), newTracker()
	for i := range entries {
		forward.Merge(entries[i:i+1], start)
		backward.Merge(entries[len(entries)-1-i:len(entries)-i], start)
	}
	c.Assert(forward.Entries(start), qt.DeepEquals, backward.Entries(start))
}

func TestCrashesExpire(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()
	tracker.RecordCrash(fingerprint, 1, start)
	tracker.RecordCrash(fingerprint, 2, start)
	end := start.Add(suspect.DefaultOptions().Lifetime)
	c.Assert(tracker.Refused(fingerprint, end.Add(-1)), qt.IsTrue)
	c.Assert(tracker.Refused(fingerprint, end), qt.IsFalse)
	c.Assert(tracker.Entries(end), qt.HasLen, 0)
	tracker.RecordCrash(fingerprint, 3, end)
	c.Assert(tracker.Refused(fingerprint, end), qt.IsFalse)
}

func TestRequestWithCompleteAnswerIsNotRefused(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()
	tracker.RecordAnswer(fingerprint, start)
	tracker.RecordCrash(fingerprint, 1, start)
	tracker.RecordCrash(fingerprint, 2, start)
	c.Assert(tracker.Refused(fingerprint, start), qt.IsFalse)
	later := start.Add(suspect.DefaultOptions().Lifetime)
	tracker.RecordCrash(fingerprint, 1, later)
	tracker.RecordCrash(fingerprint, 2, later)
	c.Assert(tracker.Refused(fingerprint, later), qt.IsTrue)
}

func TestEntriesAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := suspect.New(suspect.Options{Threshold: suspect.Threshold, Lifetime: time.Hour, MaxEntries: 3, MaxAnswered: 1})
	for i := range uint64(10) {
		tracker.RecordCrash(i, 1, start.Add(time.Duration(i)*time.Second))
	}
	entries := tracker.Entries(start)
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(fmt.Sprint(entries[0].Fingerprint, entries[2].Fingerprint), qt.Equals, "7 9")
}

func newTracker() *suspect.Tracker { return suspect.New(suspect.DefaultOptions()) }

// Daemons gossip their recent crashes several times a second: crashes that were sent
// for long enough must not be sent again.
func TestRecentOmitsOldCrashes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := suspect.New(suspect.DefaultOptions())
	tracker.RecordCrash(1, 11, now)
	later := now.Add(10 * time.Second)
	tracker.RecordCrash(2, 22, later)
	c.Check(tracker.Entries(later), qt.HasLen, 2)
	recent := tracker.Recent(3*time.Second, later)
	c.Assert(recent, qt.HasLen, 1)
	c.Check(recent[0].Fingerprint, qt.Equals, uint64(2))
}
