package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
	// timeToCrash is the time from the arrival of a request to the crash of its runner.
	timeToCrash = 30 * time.Millisecond
	badInterval = 100 * time.Millisecond
)

// crashingRunners are runners that crash when they begin to answer a prompt with
// crashingSegment. Each is replaced by a new one.
type crashingRunners struct {
	*testSystem
	mutex sync.Mutex
	// crashed holds the IDs of the runners that have crashed.
	crashed map[string]bool
	// crashes holds when runners crashed, and arrivals when requests with the segment
	// reached runners.
	crashes, arrivals []time.Time
	// replacements receives a value for each crash.
	replacements chan string
}

func newCrashingRunners(s *testSystem, count int) *crashingRunners {
	r := &crashingRunners{testSystem: s, crashed: make(map[string]bool), replacements: make(chan string, 1000)}
	for range count {
		r.boot()
	}
	return r
}

func (r *crashingRunners) boot() {
	r.addRunner(func(received standin.ReceivedRequest) standin.Behaviour {
		if !strings.Contains(received.Header.Get(standin.HeaderPrompt), crashingSegment+":") {
			return standin.Behaviour{Events: 4, Gap: 10 * time.Millisecond}
		}
		r.recordArrival(received.Header.Get(standin.HeaderExpectedRunner))
		return standin.Behaviour{Gap: timeToCrash, Crash: true}
	})
}

func (r *crashingRunners) recordArrival(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
	if r.crashed[id] {
		return
	}
	r.crashed[id] = true
	r.crashes = append(r.crashes, time.Now().Add(timeToCrash))
	r.replacements <- id
}

// replaceCrashed replaces the runners that have crashed since the last call.
func (r *crashingRunners) replaceCrashed() {
	for {
		select {
		case id := <-r.replacements:
			r.store.DeleteRunner(id)
			r.boot()
		default:
			return
		}
	}
}

// arrivalsAfterLimit returns how many requests with the segment reached runners after the
// limit applied, and how many runners have crashed.
func (r *crashingRunners) arrivalsAfterLimit() (late, crashes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.crashes) < crashesBeforeLimit {
		return 0, len(r.crashes)
	}
	limit := r.crashes[crashesBeforeLimit-1].Add(contactTime)
	for _, at := range r.arrivals {
		if at.After(limit) {
			late++
		}
	}
	return late, len(r.crashes)
}

// sendCrashing sends requests with the segment to the daemons in turn, for a time.
func (r *crashingRunners) sendCrashing(daemons []*daemon, period time.Duration) {
	var sent sync.WaitGroup
	for number, start := 0, time.Now(); time.Since(start) < period; number++ {
		d := daemons[number%len(daemons)]
		sent.Go(func() {
			if got := r.sendPrompt(d, talkRoute+nextAttempt(), "aaaa", crashingSegment); got.status == http.StatusOK && !got.broken {
				r.c.Errorf("request %d, which crashes its runner, got a whole answer", number)
			}
		})
		r.replaceCrashed()
		time.Sleep(badInterval)
	}
	sent.Wait()
	r.replaceCrashed()
}

// Guards against daemons of which none sees enough crashes by itself to refuse the segment that
// causes them, and against a daemon that starts later and sends it to runners again.
func TestDaemonsLearnOfCrashingSegmentTogether(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 6)
	r := newCrashingRunners(s, 8)
	s.awaitReady()
	r.sendCrashing(s.daemons, 2*contactTime)
	s.start(len(s.daemons))
	s.awaitReady()
	r.sendCrashing(s.daemons, time.Second)
	late, crashes := r.arrivalsAfterLimit()
	t.Logf("%d crashes, %d requests with the segment after the limit", crashes, late)
	s.c.Check(late <= maxRequestsAfterLimit, qt.IsTrue)
	for i, d := range s.daemons {
		got := s.sendPrompt(d, talkRoute+nextAttempt(), "aaaa", fmt.Sprint("sound-", i))
		s.c.Check(got.status, qt.Equals, http.StatusOK)
		s.c.Check(got.broken, qt.IsFalse)
	}
}
