package duty_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/duty"
)

var (
	start   = time.Unix(1000, 0)
	options = duty.DefaultOptions(3 * time.Second)
)

// log is a log of duties that several processes append to.
type log struct {
	records []duty.Record
	holders map[string]*duty.Holder
	// numbers holds the fencing number of each take-over, in order.
	numbers []uint64
}

func newLog(names ...string) *log {
	l := &log{holders: make(map[string]*duty.Holder)}
	for _, name := range names {
		l.holders[name] = duty.NewHolder(options, name, start)
	}
	return l
}

// catchUp folds what a process has not read.
func (l *log) catchUp(name string, now time.Time) *duty.Holder {
	h := l.holders[name]
	for h.End() < uint64(len(l.records)) {
		h.Fold(l.records[h.End()], now)
	}
	return h
}

// append adds a record if the process knows the whole log.
func (l *log) append(name string, record duty.Record, now time.Time) bool {
	h := l.holders[name]
	if h.End() != uint64(len(l.records)) {
		return false
	}
	record.Holder = name
	l.records = append(l.records, record)
	h.Appended(record, now, now)
	if record.Takes {
		l.numbers = append(l.numbers, h.Fence())
	}
	return true
}

func (l *log) take(name string, now time.Time) bool {
	h := l.catchUp(name, now)
	return h.MayTake(now) && l.append(name, duty.Record{Takes: true}, now)
}

func (l *log) holds(name string, now time.Time) bool {
	_, holding := l.holders[name].Holding(now)
	return holding
}

func TestFirstProcessHolds(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	c.Check(l.take("a", start), qt.IsTrue)
	c.Check(l.append("b", duty.Record{Takes: true}, start), qt.IsFalse, qt.Commentf("the log has grown"))
	c.Check(l.take("b", start), qt.IsFalse)
	c.Check(l.holds("a", start), qt.IsTrue)
	c.Check(l.holds("b", start), qt.IsFalse)
}

func TestSilentHolderIsReplacedAfterItsLease(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	l.catchUp("b", start)
	for wait := time.Duration(0); wait < 4*time.Second; wait += 100 * time.Millisecond {
		now := start.Add(wait)
		if l.holders["b"].MayTake(now) {
			c.Check(l.holds("a", now), qt.IsFalse, qt.Commentf("after %v", wait))
		}
	}
	later := start.Add(options.Lease + options.Margin)
	c.Assert(l.take("b", later), qt.IsTrue)
	c.Check(l.holds("b", later), qt.IsTrue)
	c.Check(l.numbers[1] > l.numbers[0], qt.IsTrue)
}

// TestFrozenHolderDoesNotAct is a process that is paused after its renewal for
// longer than its lease.
func TestFrozenHolderDoesNotAct(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	l.catchUp("b", start)
	woken := start.Add(10 * time.Second)
	c.Check(l.holds("a", woken), qt.IsFalse)
	c.Assert(l.take("b", woken), qt.IsTrue)
	c.Check(l.append("a", duty.Record{}, woken), qt.IsFalse)
	c.Check(l.catchUp("a", woken).IsHolder(), qt.IsFalse)
	c.Check(l.take("a", woken), qt.IsFalse)
}

func TestHolderThatLeavesIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	l.append("a", duty.Record{Leaves: true}, start)
	c.Check(l.holds("a", start), qt.IsFalse)
	c.Check(l.take("b", start), qt.IsTrue)
}

func TestRenewalExtendsTheLease(t *testing.T) {
	c := qt.New(t)
	l := newLog("a")
	l.take("a", start)
	first := l.holders["a"].Fence()
	renewed := start.Add(options.Renewal)
	c.Check(l.holders["a"].MustRenew(renewed), qt.IsTrue)
	l.append("a", duty.Record{}, renewed)
	fence, holding := l.holders["a"].Holding(renewed.Add(options.Lease - time.Millisecond))
	c.Check(holding, qt.IsTrue)
	c.Check(fence, qt.Equals, first)
}

func TestDecidedCountsStandForTheNextHolder(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	report := duty.Report{Window: 7, Counts: map[string]int64{"library": 3}}
	l.append("a", duty.Record{Reports: []duty.Report{report}}, start)
	got, decided := l.catchUp("b", start).Decided(7)
	c.Check(decided, qt.IsTrue)
	c.Check(got, qt.DeepEquals, report)
	_, decided = l.holders["b"].Decided(8)
	c.Check(decided, qt.IsFalse)
}

func TestEntriesThatAreGoneLeaveAnUnknownHolder(t *testing.T) {
	c := qt.New(t)
	h := duty.NewHolder(options, "a", start)
	h.Restart(50, start)
	c.Check(h.MayTake(start), qt.IsFalse)
	c.Check(h.MayTake(start.Add(options.Lease+options.Margin)), qt.IsTrue)
	c.Check(h.End(), qt.Equals, uint64(50))
}

func TestHigherNumberEndsTheRight(t *testing.T) {
	c := qt.New(t)
	l := newLog("a")
	l.take("a", start)
	l.holders["a"].Lose(start)
	c.Check(l.holds("a", start), qt.IsFalse)
	c.Check(l.holders["a"].MustRenew(start.Add(options.Renewal)), qt.IsFalse)
	c.Check(l.holders["a"].MayTake(start.Add(time.Second)), qt.IsFalse)
}

func TestPeersWordSavesReads(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	b := l.catchUp("b", start)
	later := start.Add(options.Lease)
	c.Check(b.MustRead(later), qt.IsTrue)
	b.Heard(5, later)
	c.Check(b.MustRead(later), qt.IsFalse)
	b.Heard(5, later.Add(5*time.Second))
	c.Check(b.MustRead(later.Add(5*time.Second)), qt.IsTrue, qt.Commentf("the same offset is no news"))
}

// TestEntriesThatPeersToldOfAreNoNews is a process that reads the log only when
// nobody hears of the holder any more: it need not wait for another lease.
func TestEntriesThatPeersToldOfAreNoNews(t *testing.T) {
	c := qt.New(t)
	l := newLog("a", "b")
	l.take("a", start)
	l.append("a", duty.Record{}, start.Add(time.Second))
	l.holders["b"].Heard(2, start.Add(time.Second))
	later := start.Add(time.Second + options.Lease + options.Margin)
	c.Check(l.holds("a", later), qt.IsFalse)
	c.Check(l.take("b", later), qt.IsTrue)
}

// TestHolderThatStartedAnewIsReplacedAtOnce is a kill of all processes: the one
// that held the duties is known to have ended.
func TestHolderThatStartedAnewIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	l := newLog("a/1", "b/2")
	l.take("a/1", start)
	b := l.catchUp("b/2", start)
	c.Check(b.MayTake(start), qt.IsFalse)
	b.Ended("c/1")
	c.Check(b.MayTake(start), qt.IsFalse)
	b.Ended("a/1")
	c.Check(b.MayTake(start), qt.IsTrue)
}

func TestRecordsAreReadBack(t *testing.T) {
	c := qt.New(t)
	record := duty.Record{Holder: "a", Takes: true, Reports: []duty.Report{{Window: 3, Counts: map[string]int64{"x": 1}}}}
	content, err := record.Encode()
	c.Assert(err, qt.IsNil)
	got, err := duty.DecodeRecord(0, content)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, record)
	_, err = duty.DecodeRecord(4, []byte{0xc1})
	var bad *duty.RecordError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
	c.Check(bad.Offset, qt.Equals, uint64(4))
}
