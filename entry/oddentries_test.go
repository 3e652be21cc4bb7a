package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// checkSound sends requests and checks that the runners answer all of them and that the server
// of the odd entries gets none.
func (s *testSystem) checkSound(stray *standin.Runner, count int) {
	s.c.Helper()
	for range count {
		for _, d := range s.daemons {
			s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, http.StatusOK)
		}
	}
	s.c.Check(stray.ReceivedRequests(), qt.HasLen, 0)
}

// TestOddEntriesLeaveSoundRunners guards against daemons that end, use an entry that names no
// runner, or no longer follow the list after odd entries were written among the sound ones.
func TestOddEntriesLeaveSoundRunners(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		isListed bool
	}{{"listed", true}, {"followed", false}} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			first, second, stray := s.startRunner(answerScript), s.startRunner(answerScript), s.startRunner(answerScript)
			s.putRunner(first, false)
			putOdd := func() {
				for _, odd := range standin.OddEntries(stray.Address()) {
					s.store.Put(standin.TopicRunners, odd.Key, []byte(odd.Value))
				}
			}
			if scenario.isListed {
				putOdd()
				s.store.DeleteHistory(standin.TopicRunners)
			}
			s.start(0)
			s.start(1)
			s.awaitReady()
			putOdd()
			s.store.PutRaw(standin.TopicRunners, []byte("\xffabc"))
			s.store.PutRaw(standin.TopicRunners, nil)
			s.checkSound(stray, 30)
			s.putRunner(second, false)
			s.putRunner(first, true)
			time.Sleep(applyTime)
			before := len(first.ReceivedRequests())
			s.checkSound(stray, 30)
			s.c.Check(len(first.ReceivedRequests()), qt.Equals, before)
			s.c.Check(len(second.ReceivedRequests()) >= 60, qt.IsTrue)
		})
	}
}
