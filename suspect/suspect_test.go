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
	one, two, three := newBook(), newBook(), newBook()
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
	forward, backward := newBook(), newBook()
	for i := range entries {
		forward.Merge(entries[i:i+1], start)
		backward.Merge(entries[len(entries)-1-i:len(entries)-i], start)
	}
	c.Assert(forward.Entries(start), qt.DeepEquals, backward.Entries(start))
}

func TestCrashesExpire(t *testing.T) {
	c := qt.New(t)
	book := newBook()
	book.RecordCrash(fingerprint, 1, start)
	book.RecordCrash(fingerprint, 2, start)
	end := start.Add(suspect.DefaultOptions().Lifetime)
	c.Assert(book.Refused(fingerprint, end.Add(-1)), qt.IsTrue)
	c.Assert(book.Refused(fingerprint, end), qt.IsFalse)
	c.Assert(book.Entries(end), qt.HasLen, 0)
	book.RecordCrash(fingerprint, 3, end)
	c.Assert(book.Refused(fingerprint, end), qt.IsFalse)
}

func TestRequestWithCompleteAnswerIsNotRefused(t *testing.T) {
	c := qt.New(t)
	book := newBook()
	book.RecordAnswer(fingerprint, start)
	book.RecordCrash(fingerprint, 1, start)
	book.RecordCrash(fingerprint, 2, start)
	c.Assert(book.Refused(fingerprint, start), qt.IsFalse)
	later := start.Add(suspect.DefaultOptions().Lifetime)
	book.RecordCrash(fingerprint, 1, later)
	book.RecordCrash(fingerprint, 2, later)
	c.Assert(book.Refused(fingerprint, later), qt.IsTrue)
}

func TestEntriesAreBounded(t *testing.T) {
	c := qt.New(t)
	book := suspect.New(suspect.Options{Threshold: suspect.Threshold, Lifetime: time.Hour, MaxEntries: 3, MaxAnswered: 1})
	for i := range uint64(10) {
		book.RecordCrash(i, 1, start.Add(time.Duration(i)*time.Second))
	}
	entries := book.Entries(start)
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(fmt.Sprint(entries[0].Fingerprint, entries[2].Fingerprint), qt.Equals, "7 9")
}

func newBook() *suspect.Tracker { return suspect.New(suspect.DefaultOptions()) }

// Daemons gossip their recent crashes several times a second: crashes that were sent
// for long enough must not be sent again.
func TestRecentOmitsOldCrashes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	book := suspect.New(suspect.DefaultOptions())
	book.RecordCrash(1, 11, now)
	later := now.Add(10 * time.Second)
	book.RecordCrash(2, 22, later)
	c.Check(book.Entries(later), qt.HasLen, 2)
	recent := book.Recent(3*time.Second, later)
	c.Assert(recent, qt.HasLen, 1)
	c.Check(recent[0].Fingerprint, qt.Equals, uint64(2))
}
