package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against parts of a planned stop that add up to the whole grace period, so that the process
// is killed when the machine is busy.
func TestPartsOfStopLeaveAReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(2*time.Second), int64(2*time.Minute)).Draw(t, "grace"))
		times := newStopTimes(grace)
		if sum := times.drain + times.lastAnswers + times.handover + times.reserve; sum != grace {
			t.Fatalf("the parts of %v add up to %v", grace, sum)
		}
		if times.reserve < max(grace/20, 100*time.Millisecond) || times.drain < grace*7/10 {
			t.Fatalf("%v is divided into %+v", grace, times)
		}
	})
}

// Guards against a grace period that is used otherwise than the platform's usual ones are meant.
func TestPartsOfUsualStops(t *testing.T) {
	for grace, drain := range map[time.Duration]time.Duration{
		0:                      7200 * time.Millisecond,
		8 * time.Second:        7200 * time.Millisecond,
		4 * time.Second:        3400 * time.Millisecond,
		2 * time.Second:        1500 * time.Millisecond,
		500 * time.Millisecond: 250 * time.Millisecond,
	} {
		t.Run(grace.String(), func(t *testing.T) { qt.Check(t, newStopTimes(grace).drain, qt.Equals, drain) })
	}
}
