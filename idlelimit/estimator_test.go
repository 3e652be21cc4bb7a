package idlelimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/idlelimit"
)

var start = time.Unix(1000, 0)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func ms(milliseconds int) time.Duration { return time.Duration(milliseconds) * time.Millisecond }

// step is a reset, or an answer on a reused connection.
type step struct {
	address string
	idle    time.Duration
	at      time.Time
	// answered is true for an answer.
	answered bool
}

func TestLimit(t *testing.T) {
	const none = time.Duration(-1)
	reset := func(address string, idle, when int) step { return step{address: address, idle: ms(idle), at: at(when)} }
	answer := func(address string, idle, when int) step {
		return step{address: address, idle: ms(idle), at: at(when), answered: true}
	}
	for _, scenario := range []struct {
		name  string
		steps []step
		when  int
		// cautious and tolerant are the limits for requests to address a that
		// tolerate no reset, or one.
		cautious, tolerant time.Duration
	}{
		{"nothing is known", nil, 0, none, none},
		{"one reset at the address", []step{reset("a", 800, 0)}, 1, ms(400), none},
		{"two resets at the address", []step{reset("a", 800, 0), reset("a", 400, 1)}, 2, ms(200), ms(200)},
		{"one reset at another address", []step{reset("b", 800, 0)}, 1, ms(400), none},
		{"two resets at one other address", []step{reset("b", 800, 0), reset("b", 800, 1)}, 2, ms(400), none},
		{"resets at two other addresses", []step{reset("b", 800, 0), reset("c", 600, 1)}, 2, ms(300), ms(300)},
		{"the limit has a lower bound", []step{reset("a", 60, 0), reset("a", 60, 1)}, 2, ms(50), ms(50)},
		{"a reset after a short idle time may be a crash", []step{reset("a", 50, 0), reset("b", 20, 1)}, 2, none, none},
		{"one reset at another address expires soon", []step{reset("b", 800, 0)}, 2000, none, none},
		{"one reset at the address counts longer", []step{reset("a", 800, 0)}, 9999, ms(400), none},
		{"requests that tolerate resets try again first", []step{reset("a", 800, 0), reset("b", 800, 1)}, 2001, ms(400), none},
		{"resets expire", []step{reset("a", 800, 0), reset("b", 800, 1)}, 10001, none, none},
		{"an answer after a longer idle time disproves a reset", []step{reset("a", 800, 0), answer("a", 900, 1)}, 2, none, none},
		{"an answer after a shorter idle time disproves nothing", []step{reset("a", 800, 0), answer("a", 700, 1)}, 2, ms(400), none},
		{"an answer at another address disproves nothing", []step{reset("a", 800, 0), answer("b", 900, 1)}, 2, ms(400), none},
		{"an answer to an earlier request disproves nothing", []step{reset("a", 800, 5), answer("a", 900, 4)}, 6, ms(400), none},
		{"an answer raises the limit", []step{reset("a", 400, 0), reset("a", 800, 0), answer("a", 500, 1)}, 2, ms(400), none},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			e := idlelimit.New(idlelimit.DefaultOptions())
			play(e, scenario.steps)
			for _, tolerates := range []bool{false, true} {
				want := scenario.cautious
				if tolerates {
					want = scenario.tolerant
				}
				got, found := e.Limit("a", tolerates, at(scenario.when))
				if !found {
					got = none
				}
				c.Check(got, qt.Equals, want, qt.Commentf("tolerates a reset: %t", tolerates))
			}
		})
	}
}

func play(e *idlelimit.Estimator, steps []step) {
	for _, s := range steps {
		if s.answered {
			e.RecordReuse(s.address, s.idle, s.at)
			continue
		}
		e.RecordReset(s.address, s.idle, s.at)
	}
}

func TestResetsAreBounded(t *testing.T) {
	c := qt.New(t)
	options := idlelimit.DefaultOptions()
	options.MaxResets = 2
	e := idlelimit.New(options)
	play(e, []step{{address: "a", idle: ms(400), at: at(0)}, {address: "b", idle: ms(800), at: at(1)}, {address: "c", idle: ms(800), at: at(2)}})
	lowest, found := e.Lowest(at(3))
	c.Check(found, qt.IsTrue)
	c.Check(lowest, qt.Equals, ms(400))
}

// drawStep draws a step that follows the time now.
func drawStep(rt *rapid.T, now int) step {
	return step{
		address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "address"),
		idle:    ms(rapid.IntRange(0, maxIdleMilliseconds).Draw(rt, "idle")), at: at(now),
		answered: rapid.Bool().Draw(rt, "answered"),
	}
}

// TestLimitsForAnySteps checks, after any steps, that a limit is never below the minimum,
// that a request that tolerates no reset never gets a higher limit than one that does,
// that the lowest limit bounds both, and that no limit outlives the last reset for long.
func TestLimitsForAnySteps(t *testing.T) {
	options := idlelimit.DefaultOptions()
	rapid.Check(t, func(rt *rapid.T) {
		e := idlelimit.New(options)
		now := 0
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += rapid.IntRange(0, 1000).Draw(rt, "pause")
			play(e, []step{drawStep(rt, now)})
			checkOrder(rt, e, at(now), options.MinIdle)
		}
		if _, found := e.Lowest(at(now).Add(options.CautiousLifetime)); found {
			rt.Fatal("a limit outlives the lifetime of the last reset")
		}
	})
}

func checkOrder(rt *rapid.T, e *idlelimit.Estimator, now time.Time, minIdle time.Duration) {
	lowest, anyLimit := e.Lowest(now)
	cautious, isCautious := e.Limit("a", false, now)
	tolerant, isTolerant := e.Limit("a", true, now)
	if isTolerant && (!isCautious || cautious > tolerant) {
		rt.Fatalf("limit %v without tolerance, %v with it", cautious, tolerant)
	}
	if isCautious && (!anyLimit || lowest > cautious || lowest < minIdle) {
		rt.Fatalf("lowest limit %v, limit %v", lowest, cautious)
	}
}

// maxIdleMilliseconds is the longest idle time that the property tests draw.
const maxIdleMilliseconds = 4000

// TestNoResetOfRequestsThatTolerateNone checks that, once a connection was reset, a
// server that drops connections after a steady time resets no more connections than
// it takes to reach that time by the safe fraction, while resets go on counting.
func TestNoResetOfRequestsThatTolerateNone(t *testing.T) {
	options := idlelimit.DefaultOptions()
	rapid.Check(t, func(rt *rapid.T) {
		e := idlelimit.New(options)
		dropAfter := ms(rapid.IntRange(200, 3000).Draw(rt, "dropAfter"))
		resets := 0
		for i := range 200 {
			idle := ms(rapid.IntRange(0, maxIdleMilliseconds).Draw(rt, "idle"))
			limit, found := e.Limit("a", false, at(i))
			if found && idle > limit || idle <= dropAfter {
				continue
			}
			resets++
			e.RecordReset("a", idle, at(i))
		}
		bound := 0
		for idle := ms(maxIdleMilliseconds); idle > dropAfter; bound++ {
			idle = time.Duration(options.SafeFraction * float64(idle))
		}
		if resets > bound {
			rt.Fatalf("%d resets with connections dropped after %v", resets, dropAfter)
		}
	})
}
