package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// fakeHolder is a fake of what counts the bytes for a caller.
type fakeHolder struct {
	stalls, resumes atomic.Int64
	cut             func()
}

func (f *fakeHolder) Stall(cut func()) {
	f.cut = cut
	f.stalls.Add(1)
}

func (f *fakeHolder) Resume() { f.resumes.Add(1) }

// paceRig is a pace with a fake clock.
type paceRig struct {
	c           *qt.C
	clock       *clockwork.FakeClock
	held        *fakeHolder
	interrupted atomic.Int64
	pace        *pace
}

func newPaceRig(t *testing.T) *paceRig {
	r := &paceRig{c: qt.New(t), clock: clock.NewFake(time.Unix(0, 0)), held: &fakeHolder{}}
	r.pace = &pace{clock: r.clock, held: r.held, interrupt: func() { r.interrupted.Add(1) }}
	return r
}

// stall lets the time for a step pass so many times.
func (r *paceRig) stall(times int) {
	for range times {
		r.c.Assert(r.clock.BlockUntilContext(r.c.Context(), 1), qt.IsNil)
		r.clock.Advance(stallTime)
	}
}

// await waits until a counter has a value: the fake clock calls its functions in other goroutines.
func (r *paceRig) await(counter *atomic.Int64, want int64) {
	for began := time.Now(); counter.Load() != want; time.Sleep(time.Millisecond) {
		r.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	}
}

// TestCallerThatMakesNoStepIsCut guards against callers that hold what is kept for them without end.
func TestCallerThatMakesNoStepIsCut(t *testing.T) {
	r := newPaceRig(t)
	r.pace.begin()
	r.stall(1)
	r.await(&r.held.stalls, 1)
	r.c.Check(r.interrupted.Load(), qt.Equals, int64(0))
	r.stall(maxStalls - 1)
	r.await(&r.interrupted, 1)
	r.c.Check(r.pace.end(), qt.IsTrue)
}

// TestCallerThatReadsWhileAWriteWaitsIsNotStalled guards against a caller that loses its connection
// although it reads fast enough, since the kernel lets a write wait until a third of its buffer is free.
func TestCallerThatReadsWhileAWriteWaitsIsNotStalled(t *testing.T) {
	r := newPaceRig(t)
	var pending atomic.Int64
	pending.Store(4 << 20)
	r.pace.pending = func() (int, bool) { return int(pending.Load()), true }
	r.pace.begin()
	for range 2 * maxStalls {
		pending.Add(-stepBytes)
		r.stall(1)
	}
	r.c.Check(r.held.stalls.Load(), qt.Equals, int64(0))
	r.stall(1)
	r.await(&r.held.stalls, 1)
	pending.Add(-stepBytes)
	r.stall(1)
	r.await(&r.held.resumes, 1)
	r.c.Check(r.pace.end(), qt.IsFalse)
}

// TestCallerThatGoesOnIsNotCut guards against a caller that loses its connection for a pause that is
// over, or for many short ones.
func TestCallerThatGoesOnIsNotCut(t *testing.T) {
	r := newPaceRig(t)
	for round := range int64(5) {
		r.pace.begin()
		r.stall(maxStalls - 1)
		r.await(&r.held.stalls, round+1)
		r.c.Check(r.pace.end(), qt.IsFalse)
		r.c.Check(r.held.resumes.Load(), qt.Equals, round+1)
		r.held.cut()
	}
	r.clock.Advance(maxStepTime)
	r.c.Check(r.interrupted.Load(), qt.Equals, int64(0))
}

// TestStalledCallerIsCutForOthers guards against callers that keep the room of others until the end of
// the longer time.
func TestStalledCallerIsCutForOthers(t *testing.T) {
	r := newPaceRig(t)
	r.pace.begin()
	r.stall(1)
	r.await(&r.held.stalls, 1)
	r.held.cut()
	r.held.cut()
	r.c.Check(r.interrupted.Load(), qt.Equals, int64(1))
	r.c.Check(r.pace.end(), qt.IsTrue)
}
