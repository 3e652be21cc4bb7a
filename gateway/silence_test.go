package gateway_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// rigSlots is the number of slots of each runner of the rig, and rigPlaces that of its
// slots and places in its queue.
const (
	rigSlots  = 6
	rigPlaces = 2 * rigSlots
)

// takeRetries takes retries from the budget of the service until it has only the given
// number left. It returns when the others were granted.
func (r *rig) takeRetries(left int) []time.Time {
	var granted []time.Time
	now := time.Now()
	for r.gateway.RetryBudgets.AllowRetry("desk", 1, now) {
		granted = append(granted, now)
		now = now.Add(time.Microsecond)
	}
	for range left {
		r.gateway.RetryBudgets.ReturnRetry("desk", granted[len(granted)-1])
		granted = granted[:len(granted)-1]
	}
	return granted
}

// retriesLeft takes all retries that the budget still grants, and counts them.
func (r *rig) retriesLeft() int {
	left := 0
	for r.gateway.RetryBudgets.AllowRetry("desk", 1, time.Now()) {
		left++
	}
	return left
}

// closeSecondRunner closes the second runner and makes it appear unreachable for longer
// than a test takes.
func (r *rig) closeSecondRunner() {
	r.runners[1].Close()
	now := time.Now()
	_, ticket, err := r.gateway.Balancer.Choose(balance.Request{Service: "desk", Excluded: []string{r.runners[0].ID}}, now)
	r.c.Assert(err, qt.IsNil)
	ticket.End(balance.Unreachable, now.Add(time.Minute))
}

// loadSecondRunner counts requests at the second runner that don't end.
func (r *rig) loadSecondRunner(requests int) {
	for range requests {
		_, err := r.gateway.Balancer.Acquire(r.runnerEntry(1), time.Now())
		r.c.Assert(err, qt.IsNil)
	}
}

// TestSilentRunnerIsWaitedForWithoutAlternative guards against attempts that are ended
// because their runner is silent although no other attempt can be made: the caller's
// stream would be cut, or a request that the runner answers would fail.
func TestSilentRunnerIsWaitedForWithoutAlternative(t *testing.T) {
	late := standin.Behaviour{Events: 2, Gap: 500 * time.Millisecond}
	paused := standin.Behaviour{Events: 3, Gap: 350 * time.Millisecond}
	lateAnswer := standin.Behaviour{Body: "answer", Gap: time.Second}
	for _, obstacle := range []struct {
		name     string
		runners  int
		set      func(*rig)
		arrivals []int
	}{
		{"the retry budget is used up", 2, func(r *rig) { r.takeRetries(0) }, []int{1, 0}},
		{"there is no other runner", 1, func(*rig) {}, []int{1}},
		{"the other runner is unreachable", 2, (*rig).closeSecondRunner, []int{1, 0}},
		{"the other runner is full", 2, func(r *rig) { r.loadSecondRunner(rigPlaces) }, []int{1, 0}},
	} {
		for _, request := range []struct {
			name   string
			path   string
			script standin.Behaviour
			body   string
		}{
			{"stream with a late first event", "/resumable/a", late, standin.Events(2)},
			{"stream that pauses after its first event", "/resumable/a", paused, standin.Events(3)},
			{"idempotent request answered late", "/again/a", lateAnswer, "answer"},
		} {
			t.Run(request.name+" while "+obstacle.name, func(t *testing.T) {
				t.Parallel()
				rejects := always(standin.Behaviour{Status: 503, NotRun: true})
				scripts := []func(standin.ReceivedRequest) standin.Behaviour{always(request.script), rejects}
				r := newRig(t, scripts[:obstacle.runners]...)
				obstacle.set(r)
				got := r.send(request.path, with(standin.HeaderDeadline, "3000"))
				r.c.Check(got.status, qt.Equals, 200)
				r.c.Check(got.body, qt.Equals, request.body)
				r.c.Check(got.broken, qt.IsFalse)
				r.c.Check(r.arrivals(), qt.DeepEquals, obstacle.arrivals)
			})
		}
	}
}

// TestEventAtTheIdleTimeoutCutsNoStream guards against streams that are cut or lose an
// event because an event arrives at the moment of the idle timeout.
func TestEventAtTheIdleTimeoutCutsNoStream(t *testing.T) {
	for _, left := range []int{0, 2} {
		for offset := -4; offset <= 4; offset++ {
			gap := 300*time.Millisecond + time.Duration(offset)*time.Millisecond/2
			t.Run(fmt.Sprint("events every ", gap, " and ", left, " retries left"), func(t *testing.T) {
				t.Parallel()
				script := always(standin.Behaviour{Events: 4, Gap: gap})
				r := newRig(t, script, script)
				r.takeRetries(left)
				got := r.send("/resumable/a", with(standin.HeaderDeadline, "3000"))
				r.c.Check(got.body, qt.Equals, standin.Events(4))
				r.c.Check(got.broken, qt.IsFalse)
			})
		}
	}
}

// TestAbandonedAttemptUsesOneRetry guards against an attempt that takes from the retry
// budget twice, once before and once after its predecessor is abandoned.
func TestAbandonedAttemptUsesOneRetry(t *testing.T) {
	for _, path := range []string{"/resumable/a", "/again/a"} {
		t.Run(path, func(t *testing.T) {
			answer := standin.Behaviour{Events: 3}
			r := newRig(t, always(standin.Behaviour{Silent: true}), always(answer))
			r.takeRetries(2)
			r.c.Check(r.send(path).body, qt.Equals, standin.Events(3))
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
			r.c.Check(r.retriesLeft(), qt.Equals, 1)
			r.c.Check(r.gateway.Balancer.Load("desk", time.Now()).Requests, qt.Equals, 0)
		})
	}
}

// TestRetryIsReturnedWhenThereIsNoOtherRunner guards against a budget that is used up by
// attempts that are not made.
func TestRetryIsReturnedWhenThereIsNoOtherRunner(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 3, Gap: 500 * time.Millisecond}))
	r.takeRetries(2)
	r.c.Check(r.send("/resumable/a", with(standin.HeaderDeadline, "3000")).body, qt.Equals, standin.Events(3))
	r.c.Check(r.retriesLeft(), qt.Equals, 2)
}

// TestSilentRunnerIsAbandonedOnceAnAttemptIsAllowed guards against streams that wait for
// a silent runner until their deadline because no retry was allowed at first.
func TestSilentRunnerIsAbandonedOnceAnAttemptIsAllowed(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 6, StallAfter: 3}), always(standin.Behaviour{Events: 6}))
	granted := r.takeRetries(0)
	time.AfterFunc(700*time.Millisecond, func() { r.gateway.RetryBudgets.ReturnRetry("desk", granted[0]) })
	got := r.send("/resumable/a")
	r.c.Check(got.body, qt.Equals, standin.Events(6))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
}

// TestSilentRequestEndsAtItsDeadline guards against requests that are kept waiting after
// their deadline because no other attempt can be made.
func TestSilentRequestEndsAtItsDeadline(t *testing.T) {
	for _, path := range []string{"/resumable/a", "/again/a"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Silent: true}))
			began := time.Now()
			got := r.send(path, with(standin.HeaderDeadline, "700"))
			r.c.Check(got.status, qt.Equals, 504)
			r.c.Check(time.Since(began) < 1500*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestSilentRunnerIsAbandonedForAShortQueue guards against requests that stay at a runner
// that is frozen until their deadline because the slots of all other runners are taken.
func TestSilentRunnerIsAbandonedForAShortQueue(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Silent: true}), always(standin.Behaviour{Events: 3}))
	r.loadSecondRunner(rigSlots)
	r.c.Check(r.send("/resumable/a").body, qt.Equals, standin.Events(3))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
}

// TestMovingStreamIsNotAbandoned guards against a stream that is moved and abandoned at the
// same time, and against one that waits for a runner whose run was stopped.
func TestMovingStreamIsNotAbandoned(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 6, StallAfter: 3}), always(standin.Behaviour{Events: 6}))
	r.mover.copied = true
	r.mover.stop = func() { time.Sleep(800 * time.Millisecond) }
	go func() {
		for len(r.runners[0].ReceivedRequests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		r.gateway.MoveStreams(r.runners[0].ID)
	}()
	got := r.send("/resumable/a")
	r.c.Check(got.body, qt.Equals, standin.Events(6))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
	r.c.Check(r.runners[1].ReceivedRequests()[0].Header.Get(standin.HeaderCacheSource), qt.Equals, r.runners[0].Address()+"/h1")
}

// TestAbandonedBodyIsNoCrash guards against requests that are refused as crashing runners
// because runners stalled in the middle of a body.
func TestAbandonedBodyIsNoCrash(t *testing.T) {
	for _, scenario := range []struct {
		name, path string
		status     int
		// want is the status for the caller.
		want int
	}{
		{"answer to an idempotent request", "/again/a", 200, 504},
		{"response on a stream that would be forwarded", "/resumable/a", 404, 504},
		{"error response on a stream, whose body is not awaited", "/resumable/a", 500, 502},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			stalls := always(standin.Behaviour{Status: scenario.status, Body: "answer", StallAfter: 2})
			r := newRig(t, stalls, stalls)
			for i := range 3 {
				got := r.send(scenario.path, with(standin.HeaderCallID, fmt.Sprint("attempt-", i)), with(standin.HeaderDeadline, "1000"))
				r.c.Check(got.status, qt.Equals, scenario.want)
			}
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{3, 3})
			r.c.Check(r.send(scenario.path, with(standin.HeaderDeadline, "300")).status, qt.Equals, scenario.want, qt.Commentf("not suspected"))
		})
	}
}

// countingGroup is a group of one daemon that counts how often it is asked for its size,
// as it is for each request for a retry.
type countingGroup struct {
	singleDaemon
	calls atomic.Int64
}

func (g *countingGroup) Size() int {
	g.calls.Add(1)
	return 1
}

// TestSilentAttemptIsCheckedAtIntervals guards against a busy loop while a runner is silent
// and no other attempt is allowed.
func TestSilentAttemptIsCheckedAtIntervals(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Silent: true}), always(okAnswer))
	group := &countingGroup{}
	r.gateway.Group = group
	r.takeRetries(0)
	r.c.Check(r.send("/again/a").status, qt.Equals, 504)
	r.c.Check(group.calls.Load() <= 10, qt.IsTrue, qt.Commentf("%d calls in two seconds", group.calls.Load()))
}
