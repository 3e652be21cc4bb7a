package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// contactTime is the platform's limit for the daemons to learn of each other's
	// observations.
	contactTime = 3 * time.Second
	// crashesBeforeLimit is the number of crashes after which the platform limits the
	// requests with the segment that crashes runners, and maxRequestsAfterLimit is how many
	// of them may reach runners after contactTime.
	crashesBeforeLimit, maxRequestsAfterLimit = 5, 3

	crashingSegment = "bad1"
	// crashingPath ends the path of a request that crashes its runner each time it is sent.
	crashingPath = "crash"
)

// crashingFleet is a rig whose runners crash when they begin to answer a prompt with
// crashingSegment. Each is replaced by a new runner after bootTime.
type crashingFleet struct {
	*rig
	mutex sync.Mutex
	// listed holds the runners that have not been replaced, and crashed those that have
	// crashed.
	listed  []inventory.Runner
	crashed map[string]bool
	// crashes holds when runners crashed, and arrivals when requests with the segment
	// reached runners.
	crashes, arrivals []time.Time
	// started counts the runners.
	started int
	// replacements waits for the runners that take the place of crashed ones.
	replacements sync.WaitGroup
}

const (
	bootTime       = 300 * time.Millisecond
	fleetSize      = 6
	timeToCrash    = 30 * time.Millisecond
	badInterval    = 100 * time.Millisecond
	soundInterval  = 50 * time.Millisecond
	timeAfterLimit = 2 * time.Second
	maxTestTime    = 10 * time.Second
)

func newCrashingFleet(t *testing.T) *crashingFleet {
	f := &crashingFleet{rig: newRig(t, always(standin.Behaviour{})), crashed: make(map[string]bool)}
	for range fleetSize {
		f.boot()
	}
	f.c.Cleanup(f.replacements.Wait)
	return f
}

// boot adds a runner.
func (f *crashingFleet) boot() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.started++
	id := fmt.Sprint("i-", f.started)
	runner, err := standin.NewRunner(id, func(r standin.ReceivedRequest) standin.Behaviour { return f.behaviour(id, r) })
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(runner.Close)
	f.listed = append(f.listed, inventory.Runner{ID: id, Service: "desk", Address: runner.Address(), Zone: "zone-1", Slots: 6})
	f.setRunners()
}

// setRunners passes the listed runners to the balancer. The mutex must be held.
func (f *crashingFleet) setRunners() {
	f.gateway.Balancer.SetRunners(f.listed, func(string) int { return 0 })
}

func (f *crashingFleet) behaviour(id string, r standin.ReceivedRequest) standin.Behaviour {
	hasSegment := strings.Contains(r.Header.Get(standin.HeaderPrompt), crashingSegment+":")
	if !hasSegment && !strings.HasSuffix(r.Target, crashingPath) {
		return standin.Behaviour{Events: 4, Gap: 10 * time.Millisecond}
	}
	f.mutex.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mutex.Unlock()
	f.replacements.Go(func() { f.replaceCrashed(id) })
	return standin.Behaviour{Gap: timeToCrash, Crash: true}
}

// replaceCrashed waits for the crash of a runner. A new one takes its place later.
func (f *crashingFleet) replaceCrashed(id string) {
	time.Sleep(timeToCrash)
	if !f.recordCrash(id) {
		return
	}
	time.Sleep(bootTime)
	f.remove(id)
	f.boot()
}

// recordCrash records that a runner crashes now. It returns false if that is known.
func (f *crashingFleet) recordCrash(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.crashed[id] {
		return false
	}
	f.crashed[id] = true
	f.crashes = append(f.crashes, time.Now())
	return true
}

func (f *crashingFleet) remove(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed = slices.DeleteFunc(f.listed, func(r inventory.Runner) bool { return r.ID == id })
	f.setRunners()
}

// limitBegins returns when the limit on requests with the segment applies, and false before
// it is known.
func (f *crashingFleet) limitBegins() (time.Time, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.crashes) < crashesBeforeLimit {
		return time.Time{}, false
	}
	return f.crashes[crashesBeforeLimit-1].Add(contactTime), true
}

// arrivalsAfter counts the requests with the segment that reached runners later.
func (f *crashingFleet) arrivalsAfter(limit time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	late := 0
	for _, at := range f.arrivals {
		if at.After(limit) {
			late++
		}
	}
	return late
}

// sendPrompt sends a request whose prompt has the segments and a last one of its own.
func (f *crashingFleet) sendPrompt(path string, number int, segments ...string) reply {
	id := fmt.Sprintf("%s-%d", segments[len(segments)-1], number)
	prompt := ""
	for _, segment := range segments {
		prompt += segment + ":300,"
	}
	return f.send(fmt.Sprint(path, id), with(standin.HeaderCallID, id), with(standin.HeaderTokenCount, "900,50"),
		with(standin.HeaderPrompt, fmt.Sprintf("%sa%06x:100", prompt, number)))
}

// sendFor sends requests at an interval until the end, without waiting for answers. It
// returns once all have ended.
func sendFor(interval time.Duration, isOver func() bool, send func(number int)) {
	var sent sync.WaitGroup
	for number := 0; !isOver(); number++ {
		sent.Go(func() { send(number) })
		time.Sleep(interval)
	}
	sent.Wait()
}

// counts are what became of requests that were sent after the limit began to apply.
type counts struct {
	mutex          sync.Mutex
	sent, answered int
}

func (k *counts) record(got reply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.sent++
	if got.status == http.StatusOK && !got.broken {
		k.answered++
	}
}

// sendCrashing sends requests that crash their runners.
func (f *crashingFleet) sendCrashing(path string, isOver func() bool) {
	sendFor(badInterval, isOver, func(number int) {
		if got := f.sendPrompt(path, number, "aaaa", crashingSegment); got.status == http.StatusOK && !got.broken {
			f.c.Errorf("request %d, which crashes its runner, got a whole answer", number)
		}
	})
}

// sendSound sends requests that share the customer and the first segment with those that crash
// their runners. It returns what became of those sent after the limit began to apply.
func (f *crashingFleet) sendSound(path string, isOver func() bool) *counts {
	after := &counts{}
	sendFor(soundInterval, isOver, func(number int) {
		limit, known := f.limitBegins()
		isAfter := known && time.Now().After(limit)
		got := f.sendPrompt(path, number, "aaaa", fmt.Sprint("cc", number%7))
		if isAfter {
			after.record(got)
		}
	})
	return after
}

// Guards against requests that share one segment of their prompts and nothing else, and crash
// one runner after the other; and against sound requests being refused with them.
func TestSegmentThatCrashesRunnersIsRefused(t *testing.T) {
	t.Parallel()
	for _, scenario := range []struct {
		name, path string
		// soundFromLimit is true if no sound request is sent before the limit applies.
		soundFromLimit bool
	}{
		{"stream", "/stream/", false},
		{"stream, sound ones come later", "/stream/", true},
		{"resumable stream", "/resumable/", false},
		{"resumable stream, sound ones come later", "/resumable/", true},
		{"idempotent", "/again/", false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			f := newCrashingFleet(t)
			start := time.Now()
			isOver := func() bool {
				limit, known := f.limitBegins()
				return known && time.Since(limit) > timeAfterLimit || time.Since(start) > maxTestTime
			}
			var crashing sync.WaitGroup
			crashing.Go(func() { f.sendCrashing(scenario.path, isOver) })
			if scenario.soundFromLimit {
				f.awaitLimit(isOver)
			}
			after := f.sendSound(scenario.path, isOver)
			crashing.Wait()
			late := 0
			if limit, known := f.limitBegins(); known {
				late = f.arrivalsAfter(limit)
			}
			t.Logf("%d crashes, %d requests with the segment after the limit, %d of %d sound ones answered",
				len(f.crashes), late, after.answered, after.sent)
			f.c.Check(late <= maxRequestsAfterLimit, qt.IsTrue)
			f.c.Check(2*after.answered >= after.sent, qt.IsTrue)
		})
	}
}

// awaitLimit waits until the limit applies.
func (f *crashingFleet) awaitLimit(isOver func() bool) {
	for !isOver() {
		if limit, known := f.limitBegins(); known && time.Now().After(limit) {
			return
		}
		time.Sleep(soundInterval)
	}
}
