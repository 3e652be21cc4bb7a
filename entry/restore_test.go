package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// membersTopic is the topic in which the daemons announce themselves.
const membersTopic = "keyed.members"

// revoked reports whether a daemon rejects a key.
func (s *testSystem) revoked(d *daemon, key string) bool {
	return s.send(d, deskRoute+"a", key).status == http.StatusUnauthorized
}

// TestRestoredStoreDoesNotReviveOldState restores the store from a copy that has an
// older configuration, with a key that was revoked since, and a runner as ready that is
// leaving since. A daemon that starts then learns the configuration in force from the
// others.
func TestRestoredStoreDoesNotReviveOldState(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	leaving, staying := s.addRunner(answerScript), s.addRunner(answerScript)
	s.awaitReady()
	copied := s.store.Snapshot()
	s.keys = s.keys[:1]
	s.configure()
	s.putRunner(leaving, true)
	time.Sleep(applyTime)
	before := len(leaving.ReceivedRequests())

	s.store.Restore(copied)

	for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range s.daemons {
			s.c.Assert(s.revoked(d, "key-2"), qt.IsTrue)
			s.c.Assert(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, http.StatusOK)
		}
	}
	s.c.Check(len(leaving.ReceivedRequests()), qt.Equals, before)
	s.c.Check(len(staying.ReceivedRequests()) > 0, qt.IsTrue)
	started := s.start(2)
	s.eventually("the start", 5*time.Second, func() bool { return s.isReady(started) })
	s.eventually("the revocation at the new daemon", applyTime, func() bool { return s.revoked(started, "key-2") })
}

// TestDaemonsAnnounceThemselvesAgain restores the store from a copy without any record.
func TestDaemonsAnnounceThemselvesAgain(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 0)
	empty := s.store.Snapshot()
	for i := range 2 {
		s.start(i)
	}
	runner := s.addRunner(answerScript)
	s.awaitReady()
	s.eventually("the first records", applyTime, func() bool { return len(s.store.Keys(membersTopic)) == 2 })

	s.store.Restore(empty)
	s.putRunner(runner, false)

	s.eventually("the records after the restore", 8*time.Second, func() bool { return len(s.store.Keys(membersTopic)) == 2 })
	for _, d := range s.daemons {
		s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, http.StatusOK)
	}
	s.c.Check(s.store.Epoch(), qt.Equals, uint64(1))
}

// TestRestoreIsHiddenFromOneDaemon restores the store while one daemon does not reach it.
// The daemon learns what is written afterwards from the others.
func TestRestoreIsHiddenFromOneDaemon(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.addRunner(answerScript)
	s.awaitReady()
	copied := s.store.Snapshot()
	s.configure()
	s.setStoreFault("entry-2", standin.FaultSilent)
	time.Sleep(time.Second)
	s.store.Restore(copied)
	s.keys = s.keys[:1]
	s.configure()
	s.eventually("the revocation", applyTime, func() bool { return s.revoked(s.daemons[2], "key-2") })
	s.setStoreFault("", standin.FaultNone)
	s.keys = []string{"key-1", "key-2"}
	s.configure()
	s.eventually("the key again", applyTime, func() bool { return !s.revoked(s.daemons[2], "key-2") })
}
