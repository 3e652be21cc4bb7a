package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

const (
	playStep = 50 * time.Millisecond
	playTime = 45 * time.Second
	// digestPeriod is the time between two reports of a daemon.
	digestPeriod = 400 * time.Millisecond
	downTime     = 2 * time.Second
	// silenceLimit is after how long without data a request is sent to another runner.
	silenceLimit = 1500 * time.Millisecond
	// contactTime and maxLateRetries are the platform's limits after crashesOfRequest crashes.
	contactTime      = 3 * time.Second
	maxLateRetries   = 3
	crashesOfRequest = 3
	// badPeriod is how often the request that crashes its runners comes, and soundPeriod how often
	// a sound one comes to each daemon. Sound ones take soundTime.
	badPeriod, soundPeriod, soundTime = 3 * time.Second, time.Second, 8 * time.Second
	maxAttempts                       = 4
)

// played is a request that is played.
type played struct {
	traits   []string
	isBad    bool
	daemon   int
	attempts int
	// runner is the place of its runner, and incarnation what runs there.
	runner      int
	incarnation uint64
	sent        time.Time
	// noticed is when its daemon finds that the runner is gone, or zero.
	noticed time.Time
}

// lateCrashPlay plays a request that crashes its runners beside sound ones.
type lateCrashPlay struct {
	*daemons
	random *rand.Rand
	// moment is from the begin of a run to the crash. isSilent is true if a crash shows by the lack
	// of data only.
	moment   time.Duration
	isSilent bool
	// incarnations and downUntil are those of the runners.
	incarnations []uint64
	downUntil    []time.Time
	requests     []*played
	// badCrashes holds when the request has crashed a runner.
	badCrashes []time.Time
	// lateRetries counts its retries after the limit; refused counts sound requests that were not
	// admitted, kept those that were not sent to another runner although one was there, and moved those that were.
	lateRetries, refused, kept, moved int
}

func newLateCrashPlay(t *testing.T, daemonCount, runners int, seed uint64) *lateCrashPlay {
	p := &lateCrashPlay{daemons: &daemons{c: qt.New(t), now: start}, random: rand.New(rand.NewPCG(seed, 1))}
	for range daemonCount {
		p.trackers = append(p.trackers, suspect.NewCrashTracker(suspect.RunCrashOptions()))
	}
	p.incarnations, p.downUntil = make([]uint64, runners), make([]time.Time, runners)
	for i := range runners {
		p.boot(i)
	}
	return p
}

func (p *lateCrashPlay) boot(i int) {
	p.runner++
	p.incarnations[i] = p.runner
}

// play plays to the end.
func (p *lateCrashPlay) play() {
	for elapsed := time.Duration(0); elapsed < playTime; elapsed += playStep {
		if elapsed%badPeriod == 0 {
			p.arrive([]string{"bad"}, true, int(elapsed/badPeriod)%len(p.trackers))
		}
		for i := range p.trackers {
			if elapsed%soundPeriod == time.Duration(i)*playStep {
				p.arrive([]string{fmt.Sprint("sound-", i, "-", elapsed)}, false, i)
			}
		}
		if elapsed%digestPeriod == 0 {
			p.exchange()
		}
		for _, r := range slices.Clone(p.requests) {
			p.step(r)
		}
		p.pass(playStep)
	}
}

// arrive has a request come to a daemon.
func (p *lateCrashPlay) arrive(traits []string, isBad bool, daemon int) {
	switch {
	case !p.isRefused(daemon, traits...):
		r := &played{traits: traits, isBad: isBad, daemon: daemon}
		p.requests = append(p.requests, r)
		p.send(r)
	case !isBad:
		p.refused++
	}
}

// there returns the runners that have not crashed.
func (p *lateCrashPlay) there() []int {
	var there []int
	for i := range p.incarnations {
		if !p.now.Before(p.downUntil[i]) {
			there = append(there, i)
		}
	}
	return there
}

// send sends a request to one of the runners that are there. Without one, the request ends.
func (p *lateCrashPlay) send(r *played) {
	there := p.there()
	if len(there) == 0 {
		p.end(r)
		return
	}
	r.attempts++
	r.runner = there[p.random.IntN(len(there))]
	r.incarnation, r.sent, r.noticed = p.incarnations[r.runner], p.now, time.Time{}
}

// step lets a request go on.
func (p *lateCrashPlay) step(r *played) {
	isGone := p.incarnations[r.runner] != r.incarnation || p.now.Before(p.downUntil[r.runner])
	ran := p.now.Sub(r.sent)
	switch {
	case isGone && r.noticed.IsZero():
		r.noticed = p.now.Add(time.Duration(p.random.IntN(3)) * playStep)
		if p.isSilent {
			r.noticed = r.noticed.Add(silenceLimit)
		}
	case isGone && !p.now.Before(r.noticed):
		p.breakOffLate(r)
	case isGone:
	case r.isBad && ran >= p.moment:
		p.crashRunner(r.runner)
	case !r.isBad && ran >= soundTime:
		p.trackers[r.daemon].RecordAnswer(r.traits, p.now, p.now)
		p.end(r)
	default:
		p.trackers[r.daemon].RecordData(r.incarnation, r.sent, p.now)
	}
}

// crashRunner crashes a runner. Another one takes its place later.
func (p *lateCrashPlay) crashRunner(i int) {
	p.downUntil[i] = p.now.Add(downTime)
	p.boot(i)
	p.badCrashes = append(p.badCrashes, p.now)
}

// breakOffLate records the crash of a request's runner, and sends it to another one if it may be.
func (p *lateCrashPlay) breakOffLate(r *played) {
	tracker := p.trackers[r.daemon]
	tracker.RecordCrash(r.incarnation, suspect.Attempt{Traits: r.traits, Sent: r.sent}, p.now)
	isHeld := tracker.IsSuspected(r.traits, p.now)
	if isHeld || r.attempts >= maxAttempts {
		p.end(r)
		if isHeld && !r.isBad && len(p.there()) > 0 {
			p.kept++
		}
		return
	}
	p.now = p.now.Add(time.Millisecond)
	p.send(r)
	p.now = p.now.Add(-time.Millisecond)
	if !r.isBad {
		p.moved++
		return
	}
	if len(p.badCrashes) >= crashesOfRequest && p.now.After(p.badCrashes[crashesOfRequest-1].Add(contactTime)) {
		p.lateRetries++
	}
}

func (p *lateCrashPlay) end(r *played) {
	p.requests = slices.DeleteFunc(p.requests, func(other *played) bool { return other == r })
}

// Guards against a request that crashes its runners, however late in its runs, and reaches further
// runners again and again; and against sound requests that are taken for it since they shared
// runners with it.
func TestRequestIsFoundWheneverItCrashesItsRunners(t *testing.T) {
	t.Parallel()
	for _, milliseconds := range []int{0, 50, 300, 1000, 3000, 10000} {
		for _, daemonCount := range []int{1, 3, 7} {
			for _, isSilent := range []bool{false, true} {
				for _, runners := range []int{3, 12} {
					name := fmt.Sprintf("%d ms, %d daemons, %d runners, silent: %v", milliseconds, daemonCount, runners, isSilent)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						p := newLateCrashPlay(t, daemonCount, runners, uint64(milliseconds))
						p.moment, p.isSilent = time.Duration(milliseconds)*time.Millisecond, isSilent
						p.play()
						p.check()
					})
				}
			}
		}
	}
}

// check checks that the request is found and no sound one is taken for it. A sound request that was
// at three crashed runners in a row is not moved on, which is rare even among three runners.
func (p *lateCrashPlay) check() {
	p.c.Logf("%d crashes, %d late retries; sound: %d refused, %d not moved on, %d moved on",
		len(p.badCrashes), p.lateRetries, p.refused, p.kept, p.moved)
	p.c.Check(p.lateRetries <= maxLateRetries, qt.IsTrue)
	p.c.Check(p.isRefused(0, "bad"), qt.IsTrue)
	p.c.Check(p.refused, qt.Equals, 0)
	p.c.Check(5*p.kept <= p.moved+5, qt.IsTrue)
}

// runTrackers returns daemons that track crashes at any time of a run.
func runTrackers(t *testing.T, count int) *daemons {
	d := newDaemons(t, count)
	for i := range d.trackers {
		d.trackers[i] = suspect.NewCrashTracker(suspect.RunCrashOptions())
	}
	return d
}

// Guards against a request whose runs overlap, so that each was sent before the crash of the
// earlier one, and which is found only after many crashes.
func TestCrashesOfOverlappingRunsCountEach(t *testing.T) {
	d := runTrackers(t, 3)
	sent := d.now
	d.pass(10 * time.Second)
	for i := range 3 {
		d.c.Check(d.isRefused(0, "bad"), qt.IsFalse)
		d.runner++
		d.trackers[i].RecordCrash(d.runner, suspect.Attempt{Traits: []string{"bad"}, Sent: sent.Add(time.Duration(i) * time.Second)}, d.now)
		d.pass(time.Second)
		d.exchange()
	}
	for i, tracker := range d.trackers {
		d.c.Check(d.isRefused(i, "bad"), qt.IsTrue)
		d.c.Check(tracker.IsSuspected([]string{"bad"}, d.now), qt.IsTrue)
	}
}

// Guards against a request that is taken for the cause of the loss of a zone, in which several
// runners ran it at once.
func TestLossOfAZoneCountsOnceForARequest(t *testing.T) {
	d := runTrackers(t, 2)
	for wave := range 2 {
		for i := range 10 {
			d.crash(i%2, []string{"popular"}, []string{fmt.Sprint("own-", wave, "-", i)})
			d.pass(3 * time.Millisecond)
		}
		d.settle()
	}
	for i, tracker := range d.trackers {
		d.c.Check(d.isRefused(i, "popular"), qt.IsFalse)
		d.c.Check(tracker.IsSuspected([]string{"popular"}, d.now), qt.IsFalse)
	}
}

// Guards against a sound request that is held back for crashes that another one explains, which is
// refused already.
func TestCrashesOfAKnownCauseHoldNoOtherRequestBack(t *testing.T) {
	d := runTrackers(t, 1)
	d.crash(0, []string{"bad"})
	d.settle()
	for range 3 {
		d.crash(0, []string{"bad"}, []string{"sound"})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "sound"), qt.IsFalse)
	d.c.Check(d.trackers[0].IsSuspected([]string{"sound"}, d.now), qt.IsFalse)
}
