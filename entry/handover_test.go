package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportedRequests returns the number of requests in the usage reports that the platform
// has received. All reports of a window must have the same counts.
func (s *testSystem) reportedRequests() int64 {
	windows := make(map[int64]int64)
	for _, report := range s.cloud.Reports() {
		requests := report.Counts["library"]
		if previous, found := windows[report.Window]; found {
			s.c.Assert(requests, qt.Equals, previous)
		}
		windows[report.Window] = requests
	}
	total := int64(0)
	for _, requests := range windows {
		total += requests
	}
	return total
}

// awaitReported waits until the given number of requests is reported, and fails if another
// number is.
func (s *testSystem) awaitReported(requests int64) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && s.reportedRequests() < requests; {
		time.Sleep(20 * time.Millisecond)
	}
	s.c.Check(s.reportedRequests(), qt.Equals, requests)
}

// sendMany sends requests to a daemon and returns how many were answered by a runner.
func (s *testSystem) sendMany(d *daemon, requests int) int64 {
	answered := int64(0)
	for range requests {
		if s.send(d, deskRoute+"a", "key-1").status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// TestCountsOutliveStopOfAllDaemons guards against usage reports without the last counts
// of processes that were stopped while all other daemons stopped too.
func TestCountsOutliveStopOfAllDaemons(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"at once": 0, "one after the other": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 3)
			s.addRunner(answerScript)
			s.awaitReady()
			answered := int64(0)
			for _, d := range s.daemons {
				answered += s.sendMany(d, 10)
			}
			for _, d := range s.daemons {
				d.cancel()
				answered += s.sendMany(d, 5)
				time.Sleep(pause)
			}
			for _, d := range s.daemons {
				<-d.entry.Done()
			}
			for _, d := range s.daemons {
				s.run(d)
			}
			s.awaitReported(answered)
		})
	}
}

// TestCountsOutliveRollingRestart guards against the loss of counts in a rolling restart
// in which a daemon stops before the one that stopped before it is back.
func TestCountsOutliveRollingRestart(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.addRunner(answerScript)
	s.awaitReady()
	answered := int64(0)
	for range 2 {
		restarted := make(chan struct{})
		for _, d := range s.daemons {
			answered += s.sendMany(d, 10)
			d.cancel()
			answered += s.sendMany(d, 5)
			stopped := d.entry
			go func() {
				<-stopped.Done()
				s.run(d)
				restarted <- struct{}{}
			}()
			time.Sleep(200 * time.Millisecond)
		}
		for range s.daemons {
			<-restarted
		}
		for _, d := range s.daemons {
			s.eventually("ready", 5*time.Second, func() bool { return s.isReady(d) })
		}
	}
	s.awaitReported(answered)
}
