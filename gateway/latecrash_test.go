package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// latePath ends the path of a request that crashes its runner in the middle of its answer.
	latePath = "late"
	// crashesOfRequest is the number of crashes of one request after which the platform limits
	// its retries.
	crashesOfRequest = 3
)

// lateCrash is how a request crashes its runner.
type lateCrash struct {
	name string
	// path is that of the route.
	path string
	// script is what the runner answers before it crashes, and moment when it does so.
	script standin.Behaviour
	moment time.Duration
}

// lateFleet is a rig whose runners crash on a request. Each is replaced by a new runner after
// bootTime.
type lateFleet struct {
	*rig
	lateCrash
	// replacements waits for the runners that take the place of crashed ones.
	replacements sync.WaitGroup

	mutex sync.Mutex
	// listed holds the runners by their IDs, and crashed those that have crashed.
	listed  map[string]inventory.Runner
	crashed map[string]bool
	started int
	// runs holds the IDs of the requests that crash runners, in the order of their arrivals, and
	// lateRetries counts those that were sent again after the third crash.
	runs        []string
	lateRetries int
}

func newLateFleet(t *testing.T, crash lateCrash) *lateFleet {
	f := &lateFleet{
		rig: newRig(t, always(standin.Behaviour{})), lateCrash: crash,
		listed: make(map[string]inventory.Runner), crashed: make(map[string]bool),
	}
	for range fleetSize {
		f.boot()
	}
	f.c.Cleanup(f.replacements.Wait)
	return f
}

// boot adds a runner.
func (f *lateFleet) boot() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.started++
	id := fmt.Sprint("i-", f.started)
	var runner *standin.Runner
	runner, err := standin.NewRunner(id, func(r standin.ReceivedRequest) standin.Behaviour {
		if !strings.HasSuffix(r.Target, latePath) {
			return standin.Behaviour{Events: 15, Gap: 20 * time.Millisecond}
		}
		f.recordRun(r.Header.Get(standin.HeaderCallID))
		f.replacements.Go(func() { f.crash(id, runner) })
		return f.script
	})
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(runner.Close)
	f.listed[id] = inventory.Runner{ID: id, Service: "desk", Address: runner.Address(), Zone: "zone-1", Slots: 6}
	f.setRunners()
}

// setRunners passes the listed runners to the balancer. The mutex must be held.
func (f *lateFleet) setRunners() {
	var listed []inventory.Runner
	for _, runner := range f.listed {
		listed = append(listed, runner)
	}
	f.gateway.Balancer.SetRunners(listed, func(string) int { return 0 })
}

// recordRun records that a request which crashes its runner has reached one.
func (f *lateFleet) recordRun(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, earlier := range f.runs {
		if earlier == id && len(f.crashed) >= crashesOfRequest {
			f.lateRetries++
			break
		}
	}
	f.runs = append(f.runs, id)
}

// crash crashes a runner at its moment. A new one takes its place later.
func (f *lateFleet) crash(id string, runner *standin.Runner) {
	time.Sleep(f.moment)
	f.mutex.Lock()
	isKnown := f.crashed[id]
	f.crashed[id] = true
	f.mutex.Unlock()
	if isKnown {
		return
	}
	runner.Close()
	time.Sleep(bootTime)
	f.mutex.Lock()
	delete(f.listed, id)
	f.mutex.Unlock()
	f.boot()
}

// sendSoundUntil sends streams without a pause until the end, and returns those that were refused
// or broken.
func (f *lateFleet) sendSoundUntil(end <-chan struct{}) (sent, failed int) {
	for ; ; sent++ {
		select {
		case <-end:
			return sent, failed
		default:
		}
		got := f.send(fmt.Sprint("/resumable/sound-", sent), with(standin.HeaderCallID, fmt.Sprint("sound-", sent)))
		if got.status != http.StatusOK || got.body != standin.Events(15) {
			failed++
		}
	}
}

// Guards against a request that crashes its runners a while after the begin of its answer and is
// sent to further runners again and again, and against sound requests that are refused with it.
func TestRequestThatCrashesRunnersLateIsRefused(t *testing.T) {
	t.Parallel()
	events := standin.Behaviour{Events: 1000, Gap: 20 * time.Millisecond}
	for _, crash := range []lateCrash{
		{"in the head of a stream", "/resumable/", standin.Behaviour{CutHead: true}, 10 * time.Millisecond},
		{"in the head of a plain answer", "/again/", standin.Behaviour{CutHead: true}, 10 * time.Millisecond},
		{"after the first event", "/resumable/", standin.Behaviour{Events: 2, Gap: 50 * time.Millisecond}, 70 * time.Millisecond},
		{"in the body of a plain answer", "/again/", standin.Behaviour{Body: strings.Repeat("a", 1000), StallAfter: 500}, 300 * time.Millisecond},
		{"after 0.3 s", "/resumable/", events, 350 * time.Millisecond},
		{"after 1 s", "/resumable/", events, time.Second},
		{"silent before the end is known", "/resumable/", standin.Behaviour{Events: 1000, Gap: 20 * time.Millisecond, StallAfter: 5}, 1100 * time.Millisecond},
		{"silent before the first event", "/resumable/", standin.Behaviour{Silent: true}, 1100 * time.Millisecond},
	} {
		t.Run(crash.name, func(t *testing.T) {
			t.Parallel()
			newLateFleet(t, crash).play()
		})
	}
}

// play sends the request that crashes runners six times beside sound ones.
func (f *lateFleet) play() {
	var others sync.WaitGroup
	end := make(chan struct{})
	sent, failed := make([]int, 3), make([]int, 3)
	for i := range sent {
		others.Go(func() { sent[i], failed[i] = f.sendSoundUntil(end) })
	}
	for i := range 6 {
		f.send(f.path+latePath, with(standin.HeaderCallID, fmt.Sprint("attempt-", i)))
	}
	time.Sleep(time.Second)
	last := f.send(f.path+latePath, with(standin.HeaderCallID, "attempt-last"))
	close(end)
	others.Wait()
	f.c.Logf("%d runs, %d late retries; sound streams: %v sent, %v failed", len(f.runs), f.lateRetries, sent, failed)
	f.c.Check(f.lateRetries, qt.Equals, 0)
	f.c.Check(last.status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.send("/resumable/sound-0").body, qt.Equals, standin.Events(15))
	for _, line := range f.log.linesOf("RequestEnded") {
		isSound := strings.Contains(line, `"Request"="sound`)
		f.c.Check(isSound && strings.Contains(line, "CrashesRunners"), qt.IsFalse, qt.Commentf("%s", line))
	}
}
