package suspect_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// Guards against sound requests that are refused since no request with their first segment was
// answered before the crashes.
func TestOnlyRequestsWithAllSuspectSegmentsAreRefused(t *testing.T) {
	d := newDaemons(t, 1)
	for range 3 {
		d.crash(0, []string{"first", "bad"}, []string{"first", fmt.Sprint("sound-", d.runner)})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
	d.c.Check(d.isRefused(0, "another", "bad"), qt.IsFalse)
	d.answer(0, "first", "other")
	d.c.Check(d.isRefused(0, "another", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
}

// Guards against a lost zone whose runners all break off requests with the same first segment.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	d := newDaemons(t, 2)
	for range 2 {
		for i := range 10 {
			d.crash(i%2, []string{"first", fmt.Sprint("second-", i)})
			d.pass(3 * time.Millisecond)
		}
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
}

// Guards against sound segments that are blamed beside the one that crashes all runners at nearly
// the same time, again and again, so that no sound request is answered.
func TestSegmentIsFoundWhileNothingIsAnswered(t *testing.T) {
	d := newDaemons(t, 2)
	sound := func(number int) []string { return []string{"first", fmt.Sprint("sound-", number%10)} }
	for wave := range 5 {
		sent := d.now
		for i := range 4 {
			d.pass(30 * time.Millisecond)
			d.crash(i%2, sound(7*wave+i), sound(7*wave+i+3), sound(7*wave+i+5))
			d.trackers[i%2].RecordCrash(d.runner, suspect.Attempt{Traits: []string{"first", "bad"}, Sent: sent}, d.now)
		}
		d.settle()
		for number := range 10 {
			d.c.Check(d.isRefused(0, sound(number)...), qt.IsFalse, qt.Commentf("sound request %d after wave %d", number, wave))
		}
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "first", "bad"), qt.IsTrue)
}

// Guards against a segment that is refused only together with the first segments that came with
// it, while requests with others crash runners.
func TestSegmentIsFoundWithEachFirstSegment(t *testing.T) {
	d := newDaemons(t, 1)
	for i := range 5 {
		d.crash(0, []string{fmt.Sprint("first-", i/3), "bad"})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first-9", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first-0", "other"), qt.IsFalse)
}

// Guards against a sound segment that is blamed since all requests in the first crashes had it by
// chance, and one that is never blamed although only more crashes could tell it from a sound one.
func TestEqualSuspectsAreToldApartByLaterCrashes(t *testing.T) {
	for _, laterCrashes := range []struct {
		hasSound  bool
		isRefused bool
	}{{false, false}, {true, true}} {
		d := newDaemons(t, 1)
		for range 3 {
			d.crash(0, []string{"bad"}, []string{"sound"})
			d.settle()
		}
		d.c.Check(d.isRefused(0, "bad"), qt.IsFalse)
		d.c.Check(d.isRefused(0, "sound"), qt.IsFalse)
		for range 2 {
			requests := [][]string{{"bad"}}
			if laterCrashes.hasSound {
				requests = append(requests, []string{"sound"})
			}
			d.crash(0, requests...)
			d.settle()
		}
		d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
		d.c.Check(d.isRefused(0, "sound"), qt.Equals, laterCrashes.isRefused)
	}
}
