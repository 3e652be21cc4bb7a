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

func TestTwoCrashesAtTwoDaemonsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	one, two, three := newBook(), newBook(), newBook()
	one.Add(fingerprint, suspect.Identity("r1", "runner-1", 1), start)
	for range 3 {
		// Repeated gossip of one crash is one crash.
		three.Merge(one.Entries(start), start)
	}
	c.Assert(three.Refused(fingerprint, start), qt.IsFalse)

	two.Add(fingerprint, suspect.Identity("r2", "runner-2", 1), start)
	news := three.Merge(two.Entries(start), start)

	c.Assert(news, qt.HasLen, 1)
	c.Assert(three.Refused(fingerprint, start), qt.IsTrue)
	c.Assert(three.Merge(two.Entries(start), start), qt.HasLen, 0)
}

func TestMergeInAnyOrderGivesTheSame(t *testing.T) {
	c := qt.New(t)
	var entries []suspect.Entry
	for i := range uint64(4) {
		entries = append(entries, suspect.Entry{Fingerprint: fingerprint, Crashes: []uint64{10 - i}, Expires: start.Add(time.Minute)})
	}
	forth, back := newBook(), newBook()
	for i := range entries {
		forth.Merge(entries[i:i+1], start)
		back.Merge(entries[len(entries)-1-i:len(entries)-i], start)
	}
	c.Assert(forth.Entries(start), qt.DeepEquals, back.Entries(start))
}

func TestCrashesExpire(t *testing.T) {
	c := qt.New(t)
	book := newBook()
	book.Add(fingerprint, 1, start)
	book.Add(fingerprint, 2, start)
	end := start.Add(suspect.DefaultOptions().Lifetime)
	c.Assert(book.Refused(fingerprint, end.Add(-1)), qt.IsTrue)
	c.Assert(book.Refused(fingerprint, end), qt.IsFalse)
	c.Assert(book.Entries(end), qt.HasLen, 0)
	book.Add(fingerprint, 3, end)
	c.Assert(book.Refused(fingerprint, end), qt.IsFalse)
}

func TestRequestWithWholeAnswerIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	book := newBook()
	book.Answered(fingerprint, start)
	book.Add(fingerprint, 1, start)
	book.Add(fingerprint, 2, start)
	c.Assert(book.Refused(fingerprint, start), qt.IsFalse)
	later := start.Add(suspect.DefaultOptions().Lifetime)
	book.Add(fingerprint, 1, later)
	book.Add(fingerprint, 2, later)
	c.Assert(book.Refused(fingerprint, later), qt.IsTrue)
}

func TestBookIsBounded(t *testing.T) {
	c := qt.New(t)
	book := suspect.New(suspect.Options{Threshold: suspect.Threshold, Lifetime: time.Hour, MaxEntries: 3, MaxAnswered: 1})
	for i := range uint64(10) {
		book.Add(i, 1, start.Add(time.Duration(i)*time.Second))
	}
	entries := book.Entries(start)
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(fmt.Sprint(entries[0].Fingerprint, entries[2].Fingerprint), qt.Equals, "7 9")
}

func newBook() *suspect.Book { return suspect.New(suspect.DefaultOptions()) }

// TestRecentCrashesAreTold is a daemon that tells others of crashes several times
// a second: what it has told for long need not be told again.
func TestRecentCrashesAreTold(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	book := suspect.New(suspect.DefaultOptions())
	book.Add(1, 11, now)
	later := now.Add(10 * time.Second)
	book.Add(2, 22, later)
	c.Check(book.Entries(later), qt.HasLen, 2)
	recent := book.Recent(3*time.Second, later)
	c.Assert(recent, qt.HasLen, 1)
	c.Check(recent[0].Fingerprint, qt.Equals, uint64(2))
}
