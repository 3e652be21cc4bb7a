package grant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
)

var start = time.Unix(1000, 0)

// script is a log that two processes read at once.
type script struct {
	*qt.C
	offset   uint64
	now      time.Time
	one, two *grant.Owner
	book     *grant.Book
}

// newScript returns a script in which one owns range 7.
func newScript(t *testing.T) *script {
	s := &script{C: qt.New(t), now: start, book: grant.NewBook(options)}
	s.one, s.two = grant.NewOwner("one", "1", s.book), grant.NewOwner("two", "1", grant.NewBook(options))
	s.Assert(s.append(s.one.Take(7, grant.ProofNone, "", s.now)), qt.IsNil)
	return s
}

func (s *script) append(record grant.Record) error {
	err := s.one.Fold(s.offset, s.now, record, s.now)
	s.Assert(s.two.Fold(s.offset, s.now, record, s.now), qt.DeepEquals, err)
	s.offset++
	return err
}

// alive appends what one has to append.
func (s *script) alive() { s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil) }

func (s *script) wait(d time.Duration) { s.now = s.now.Add(d) }

func (s *script) win(owner *grant.Owner, key claim.Key) claim.Claim {
	decision, err := owner.Decide(key, 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(decision.Won, qt.IsTrue)
	return decision.Claim
}

func TestOwnerWritesUnderLoggedClaimOnly(t *testing.T) {
	s := newScript(t)
	s.alive()
	won := s.win(s.one, keys[0])
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsTrue)

	_, err := s.two.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.DeepEquals, &grant.NotOwnerError{Key: keys[0], Owner: s.book.Owner(7)})
	again, err := s.one.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(again.Winner, qt.Equals, won)
}

func TestOwnerWritesInOutageAfterMemoryDelay(t *testing.T) {
	s := newScript(t)
	s.alive()
	won := s.win(s.one, keys[0])
	// Appends that the log does not take do not put the memory delay off.
	s.one.Unappended(7, s.now)
	s.wait(options.MemoryDelay - 1)
	s.one.Unappended(7, s.now)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.wait(1)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsTrue)

	// The range cannot be released before the claim is in the log, and the
	// floor stays until then.
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
	s.win(s.two, keys[1])
}

func TestDeadOwnerLeavesHoleWhenItCanHaveWrittenUnlogged(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		silence time.Duration
		hole    bool
	}{
		{"within the memory delay", options.MemoryDelay - 1, false},
		{"after the memory delay", options.MemoryDelay, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newScript(t)
			s.alive()
			s.wait(scenario.silence)
			s.Assert(s.append(s.two.Take(7, grant.ProofVMGone, "", s.now)), qt.IsNil)
			until := s.now.Add(options.Lifetime)
			_, err := s.two.Decide(keys[0], 0, s.now)
			if !scenario.hole {
				s.Assert(err, qt.IsNil)
				return
			}
			s.Assert(err, qt.DeepEquals, &grant.HoleError{Key: keys[0], Until: until})
			s.wait(options.Lifetime)
			s.win(s.two, keys[0])
		})
	}
}

func TestRecordOutOfTurnHasNoEffect(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		record func(s *script, first grant.Record) grant.Record
		err    error
	}{
		{"copy", func(_ *script, first grant.Record) grant.Record { return first },
			&grant.CopyError{Sequence: 1, Highest: 1}},
		{"late take", func(_ *script, first grant.Record) grant.Record {
			first.Daemon = "two"
			return first
		}, &grant.StaleGrantError{Range: 7, Number: 0, Current: 1}},
		{"take without proof", func(s *script, _ grant.Record) grant.Record { return s.two.Take(7, grant.ProofNone, "", s.now) },
			&grant.ProofError{Range: 7, Proof: grant.ProofNone}},
		{"take by the owner's own incarnation", func(s *script, _ grant.Record) grant.Record {
			return s.two.Take(7, grant.ProofIncarnation, "1", s.now)
		}, &grant.ProofError{Range: 7, Proof: grant.ProofIncarnation}},
		{"claims of another process", func(s *script, _ grant.Record) grant.Record { return s.two.Unappended(7, s.now) },
			&grant.StaleGrantError{Range: 7, Number: 1, Current: 1}},
		{"claims under another grant", func(s *script, _ grant.Record) grant.Record {
			record := s.one.Unappended(7, s.now)
			record.Claims.Number = 9
			return record
		}, &grant.StaleGrantError{Range: 7, Number: 9, Current: 1}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newScript(t)
			first := grant.Record{Daemon: "one", Incarnation: "1", Sequence: 1, Take: &grant.Take{Range: 7}}
			s.Assert(s.append(scenario.record(s, first)), qt.DeepEquals, scenario.err)
			s.Assert(s.book.Owner(7).IsOwnedBy("one", "1"), qt.IsTrue)
		})
	}
}

func TestReleasedRangeIsNotTakenByOldRecord(t *testing.T) {
	s := newScript(t)
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
	s := newScript(t)
	won := s.win(s.one, keys[0])
	s.alive()
	s.one.Withdraw(won)
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.append(s.one.Unappended(7, s.now)), qt.IsNil)
	next := s.win(s.one, keys[0])
	s.alive()
	s.Assert(s.one.MayWrite(won, s.now), qt.IsFalse)
	s.Assert(s.one.MayWrite(next, s.now), qt.IsTrue)

	// A second withdrawal of the old claim does not open the key.
	s.one.Withdraw(won)
	s.alive()
	again, err := s.one.Decide(keys[0], 0, s.now)
	s.Assert(err, qt.IsNil)
	s.Assert(again.Winner, qt.Equals, next)
}

func TestOnlyRangesOfLeavingDaemonMove(t *testing.T) {
	c := qt.New(t)
	daemons := []string{"a", "b", "c", "d"}
	owned := map[string]int{}
	for r := range grant.Range(grant.Ranges) {
		before := grant.Preferred(r, daemons)
		owned[before]++
		if after := grant.Preferred(r, daemons[:3]); before != "d" {
			c.Assert(after, qt.Equals, before)
		}
	}
	for _, daemon := range daemons {
		c.Assert(owned[daemon] > grant.Ranges/8, qt.IsTrue, qt.Commentf("%s owns %d", daemon, owned[daemon]))
	}
}
