package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// versionStreams is the number of streams of a scenario.
	versionStreams = 60
	// wholeStream is the number of events of a stream, and brokenAfter how many of them the
	// caller has before the stream breaks off.
	wholeStream, brokenAfter = 12, 4
	// allowedJoins is the number of streams with events of two versions that the platform allows.
	allowedJoins = 2
)

// TestStreamsGoOnAtTheirVersionWithinOneAnswer guards against a stream whose runner fails and that
// goes on at a runner of another software version.
func TestStreamsGoOnAtTheirVersionWithinOneAnswer(t *testing.T) {
	s := newVersionedSystem(t, 3)
	s.addRunners("v1", 4, standin.Behaviour{Events: wholeStream, Gap: 25 * time.Millisecond, ResetAfter: brokenAfter})
	s.addRunners("v1.1", 4, standin.Behaviour{Events: wholeStream, Gap: 25 * time.Millisecond, ResetAfter: brokenAfter})
	s.awaitReady()
	var sent sync.WaitGroup
	for i := range versionStreams {
		sent.Go(func() {
			s.begin(s.daemons[i%len(s.daemons)], wholeStream)
		})
		time.Sleep(10 * time.Millisecond)
	}
	sent.Wait()
	s.checkVersions()
	s.c.Check(s.beganAt("v1") > 0 && s.beganAt("v1.1") > 0, qt.IsTrue, qt.Commentf("both versions serve"))
}

// TestResumedStreamsGoOnAtTheirVersion guards against a stream that its caller resumes and that goes
// on at a runner of another software version than the one that began it, and against streams that
// are refused although runners of their version serve.
func TestResumedStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// restart is true if all daemons stop and start before the streams are resumed.
		restart bool
		// left is the number of runners of the old version that are left by then.
		left int
	}{
		{"at another daemon", false, 4},
		{"after all daemons have restarted", true, 4},
		{"after all daemons have restarted, two runners of the old version left", true, 2},
		{"after all daemons have restarted, the old version gone", true, 0},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newVersionedSystem(t, 3)
			s.addRunners("v1", 4, standin.Behaviour{Events: wholeStream, Gap: 25 * time.Millisecond})
			old := s.runners
			s.addRunners("v1.1", 4, standin.Behaviour{Events: wholeStream, Gap: 25 * time.Millisecond})
			s.awaitReady()
			broken := s.breakStreams()
			for _, runner := range old[scenario.left:] {
				s.store.DeleteRunner(runner.ID)
			}
			if scenario.restart {
				s.restartAll()
			}
			resumed := s.resume(broken)
			s.checkVersions()
			for _, stream := range resumed {
				if scenario.left == 0 && stream.version == "v1" {
					s.c.Check(stream.status, qt.Equals, http.StatusServiceUnavailable)
					continue
				}
				s.c.Check(stream.events, qt.Equals, wholeStream-brokenAfter, qt.Commentf("status %d", stream.status))
			}
		})
	}
}
