package grant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
)

var start = time.Unix(1000, 0)

// fixture is a log whose records two processes read immediately.
type fixture struct {
	*qt.C
	offset   uint64
	now      time.Time
	one, two *grant.Owner
	state    *grant.State
}

// newFixture returns a fixture in which process one owns range 7.
func newFixture(t *testing.T) *fixture {
	s := &fixture{C: qt.New(t), now: start, state: grant.NewState(options)}
	s.one, s.two = grant.NewOwner("one", "1", s.state), grant.NewOwner("two", "1", grant.NewState(options))
	s.Assert(s.append(s.one.Take(7, grant.ProofNone, "", s.now)), qt.IsNil)
	return s
}

func (s *fixture) append(record grant.Record) error {
	err := s.one.Apply(s.offset, s.now, record, s.now)
	s.Assert(s.two.Apply(s.offset, s.now, record, s.now), qt.DeepEquals, err)
	s.offset++
	return err
}

// appendUnlogged appends the claims of process one that are not in the log, or a
// record without claims.
func (s *fixture) appendUnlogged() { s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil) }

func (s *fixture) wait(d time.Duration) { s.now = s.now.Add(d) }

func (s *fixture) mustWin(owner *grant.Owner, key claim.Key) claim.Claim {
	decision, err := owner.Decide(key, 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(decision.Won, qt.IsTrue)
	return decision.Claim
}

func TestOwnerWritesUnderLoggedClaimOnly(t *testing.T) {
	s := newFixture(t)
	s.appendUnlogged()
	won := s.mustWin(s.one, keys[0])
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsTrue)

	_, err := s.two.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.DeepEquals, &grant.NotOwnerError{Key: keys[0], Owner: s.state.CurrentGrant(7)})
	again, err := s.one.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(again.Winner, qt.Equals, won)
}

func TestOwnerWritesInOutageAfterMemoryDelay(t *testing.T) {
	s := newFixture(t)
	s.appendUnlogged()
	won := s.mustWin(s.one, keys[0])
	// Appends that do not reach the log do not restart the memory delay.
	s.one.Unappended(7, s.now)
	s.wait(options.MemoryDelay - 1)
	s.one.Unappended(7, s.now)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.wait(1)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsTrue)

	// The range cannot be released before the claim is in the log, and the
	// floor does not rise until then.
	s.one.BeginRelease(7)
	_, err := s.one.Release(7, s.now)
	s.Assert(err, qt.DeepEquals, &grant.UnappendedError{Range: 7, Claims: 1})
	late := s.one.Unappended(7, s.now)
	s.Assert(late.Floor, qt.Equals, start)
	s.Assert(s.append(late), qt.IsNil)
	release, err := s.one.Release(7, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(release.Floor, qt.Equals, s.now)
	s.Assert(s.append(release), qt.IsNil)

	s.Assert(s.append(s.two.Take(7, grant.ProofNone, "", s.now)), qt.IsNil)
	lost, err := s.two.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(lost.Winner, qt.Equals, won)
	s.mustWin(s.two, keys[1])
}

func TestDeadOwnerLeavesHoleIfItMayHaveWrittenUnlogged(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		elapsed time.Duration
		hole    bool
	}{
		{"within the memory delay", options.MemoryDelay - 1, false},
		{"after the memory delay", options.MemoryDelay, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newFixture(t)
			s.appendUnlogged()
			s.wait(scenario.elapsed)
			s.Assert(s.append(s.two.Take(7, grant.ProofVMGone, "", s.now)), qt.IsNil)
			until := s.now.Add(options.Lifetime)
			_, err := s.two.Decide(keys[0], 0, s.now)
			if !scenario.hole {
				s.Assert(err, qt.IsNil)
				return
			}
			s.Assert(err, qt.DeepEquals, &grant.HoleError{Key: keys[0], Until: until})
			s.wait(options.Lifetime)
			s.mustWin(s.two, keys[0])
		})
	}
}

func TestStaleOrDuplicateRecordHasNoEffect(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		record func(s *fixture, first grant.Record) grant.Record
		err    error
	}{
		{"copy", func(_ *fixture, first grant.Record) grant.Record { return first },
			&grant.DuplicateRecordError{Sequence: 1, Highest: 1}},
		{"late take", func(_ *fixture, first grant.Record) grant.Record {
			first.Daemon = "two"
			return first
		}, &grant.StaleGrantError{Range: 7, Number: 0, Current: 1}},
		{"take without proof", func(s *fixture, _ grant.Record) grant.Record { return s.two.Take(7, grant.ProofNone, "", s.now) },
			&grant.ProofError{Range: 7, Proof: grant.ProofNone}},
		{"take with proof of the owner's own incarnation", func(s *fixture, _ grant.Record) grant.Record {
			return s.two.Take(7, grant.ProofIncarnation, "1", s.now)
		}, &grant.ProofError{Range: 7, Proof: grant.ProofIncarnation}},
		{"claims of another process", func(s *fixture, _ grant.Record) grant.Record { return s.two.Unappended(7, s.now) },
			&grant.StaleGrantError{Range: 7, Number: 1, Current: 1}},
		{"claims under another grant", func(s *fixture, _ grant.Record) grant.Record {
			record := s.one.Unappended(7, s.now)
			record.Claims.Number = 9
			return record
		}, &grant.StaleGrantError{Range: 7, Number: 9, Current: 1}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newFixture(t)
			first := grant.Record{Daemon: "one", Incarnation: "1", Sequence: 1, Take: &grant.Take{Range: 7}}
			s.Assert(s.append(scenario.record(s, first)), qt.DeepEquals, scenario.err)
			s.Assert(s.state.CurrentGrant(7).IsOwnedBy("one", "1"), qt.IsTrue)
		})
	}
}

func TestReleasedRangeIsNotTakenByOldRecord(t *testing.T) {
	s := newFixture(t)
	_, err := s.one.Release(7, s.now)
	s.Assert(err, qt.DeepEquals, &grant.UnappendedError{Range: 7})
	s.one.BeginRelease(7)
	_, err = s.one.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.DeepEquals, &grant.ReleasingError{Range: 7})
	release, err := s.one.Release(7, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(s.append(release), qt.IsNil)
	old := grant.Record{Daemon: "two", Incarnation: "1", Sequence: 1, Take: &grant.Take{Range: 7}}
	s.Assert(s.append(old), qt.DeepEquals, &grant.StaleGrantError{Range: 7, Number: 0, Current: 2})
}

func TestWithdrawnClaimIsNotWritten(t *testing.T) {
	s := newFixture(t)
	won := s.mustWin(s.one, keys[0])
	s.appendUnlogged()
	s.one.Withdraw(won)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil)
	next := s.mustWin(s.one, keys[0])
	s.appendUnlogged()
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.one.MayWrite(next, s.now), qt.IsTrue)

	// A second withdrawal of the old claim does not free the key.
	s.one.Withdraw(won)
	s.appendUnlogged()
	again, err := s.one.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(again.Winner, qt.Equals, next)
}

func TestOnlyRangesOfLeavingDaemonMove(t *testing.T) {
	c := qt.New(t)
	daemons := []string{"a", "b", "c", "d"}
	owned := map[string]int{}
	for r := range grant.Range(grant.RangeCount) {
		before := grant.Preferred(r, daemons)
		owned[before]++
		if after := grant.Preferred(r, daemons[:3]); before != "d" {
			c.Assert(after, qt.Equals, before)
		}
	}
	for _, daemon := range daemons {
		c.Assert(owned[daemon] > grant.RangeCount/8, qt.IsTrue, qt.Commentf("%s owns %d", daemon, owned[daemon]))
	}
}
