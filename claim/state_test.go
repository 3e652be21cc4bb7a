package claim_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// testLog appends one claim per call and applies it to the states.
type testLog struct {
	*qt.C
	records []hosting.Record
	number  uint64
}

func (s *testLog) claim(at time.Duration, key string, states ...*claim.State) []claim.Decision {
	s.number++
	return s.append(at, claim.Record{
		Daemon: "d", Incarnation: "1", Sequence: s.number, Claims: []claim.Entry{{Key: claim.NewKey("c", "s", key)}},
	}, states...)
}

func (s *testLog) append(at time.Duration, record claim.Record, states ...*claim.State) []claim.Decision {
	payload, err := record.Encode()
	s.Assert(err, qt.IsNil)
	s.records = append(s.records, hosting.Record{
		Offset: uint64(len(s.records)), Payload: payload, Time: time.Unix(1000, 0).Add(at),
	})
	return s.applyLast(states...)
}

// applyLast applies the last record to the states and returns one result each.
func (s *testLog) applyLast(states ...*claim.State) (results []claim.Decision) {
	for _, state := range states {
		decisions, err := state.Apply(s.records[len(s.records)-1])
		s.Assert(err, qt.IsNil)
		results = append(results, decisions...)
	}
	return results
}

// A state that started after the first claims must not refuse a claim as above
// MaxClaims when a state that started earlier accepts it: in the later state,
// another claim would then win the key.
func TestFullStateRefusesNewKeysRegardlessOfStartOffset(t *testing.T) {
	s := &testLog{C: qt.New(t)}
	options := claim.Options{Lifetime: lifetime, MaxClaims: 2}
	old, late := claim.NewState(options, 0), claim.NewState(options, 1)

	s.claim(0, "a", old)
	s.claim(time.Second, "b", old, late)
	refused := s.claim(2*time.Second, "c", old, late)[0]
	var full *claim.FullError
	s.Assert(errors.As(refused.Err, &full), qt.IsTrue)
	s.Assert(full.Claims, qt.Equals, 2)

	both := s.claim(10500*time.Millisecond, "d", old, late)
	s.Assert(both[0].Won, qt.Equals, both[1].Won)
	both = s.claim(11500*time.Millisecond, "d", old, late)
	s.Assert(both[0].Won && both[1].Won, qt.IsFalse)
}

func TestLogTimeIsMonotonic(t *testing.T) {
	s := &testLog{C: qt.New(t)}
	state := claim.NewState(claim.Options{Lifetime: lifetime, MaxClaims: 9}, 0)
	s.claim(5*time.Second, "a", state)
	s.Assert(s.claim(time.Second, "a", state)[0].Won, qt.IsFalse)
	s.Assert(state.Now(), qt.Equals, time.Unix(1005, 0))
	s.Assert(s.claim(15*time.Second, "a", state)[0].Won, qt.IsTrue)
}

func TestRecordAfterGapIsRejected(t *testing.T) {
	s := &testLog{C: qt.New(t)}
	s.claim(0, "a")
	s.claim(0, "b")
	_, err := claim.NewState(claim.DefaultOptions(), 0).Apply(s.records[1])
	s.Assert(err, qt.DeepEquals, &claim.GapError{Expected: 0, Offset: 1})
}

// A losing claim must restart the lifetime of the key. In a state that started
// after the winner's claim, the loser's claim is the first and wins, and the
// states would disagree if the lifetimes of the two claims ended at different
// times.
func TestLosingClaimRenewsLifetime(t *testing.T) {
	s := &testLog{C: qt.New(t)}
	old, late := claim.NewState(claim.Options{Lifetime: lifetime, MaxClaims: 9}, 0), claim.NewState(claim.Options{Lifetime: lifetime, MaxClaims: 9}, 1)
	s.claim(0, "a", old)
	s.claim(5*time.Second, "a", old, late)
	both := s.claim(12*time.Second, "a", old, late)
	s.Assert(both[0].Won || both[1].Won, qt.IsFalse)
	both = s.claim(22*time.Second, "a", old, late)
	s.Assert(both[0].Won && both[1].Won, qt.IsTrue)
}

func TestOnlyWinnerCanReleaseKey(t *testing.T) {
	key := claim.NewKey("c", "s", "a")
	for _, scenario := range []struct {
		name                string
		daemon, incarnation string
		number              uint64
		released            bool
	}{
		{"by the winner", "d", "1", 1, true},
		{"by another daemon", "e", "1", 1, false},
		{"by a later incarnation", "d", "2", 1, false},
		{"of another claim of the winner", "d", "1", 2, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := &testLog{C: qt.New(t)}
			state := claim.NewState(claim.DefaultOptions(), 0)
			s.claim(0, "a", state)
			s.append(0, claim.Record{
				Daemon: scenario.daemon, Incarnation: scenario.incarnation, Sequence: 8,
				Releases: []claim.Release{{Key: key, Number: scenario.number}},
			}, state)
			_, held := state.Lookup(key, state.Now())
			s.Assert(held, qt.Equals, !scenario.released)
		})
	}
}
