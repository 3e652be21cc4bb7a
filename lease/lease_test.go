package lease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/lease"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options = lease.DefaultOptions()
)

// fixture is a log with two processes.
type fixture struct {
	*qt.C
	now      time.Time
	offset   uint64
	one, two *lease.Holder
}

func newFixture(t *testing.T, first uint64) *fixture {
	identity := lease.Identity{Duty: "Orders", Daemon: "one", Incarnation: "1"}
	other := identity
	other.Daemon = "two"
	return &fixture{
		C: qt.New(t), now: start, offset: first,
		one: lease.NewHolder(identity, options, first), two: lease.NewHolder(other, options, first),
	}
}

// append adds a record to the log, which both processes read.
func (s *fixture) append(record lease.Record) error {
	payload, err := record.Encode()
	s.Assert(err, qt.IsNil)
	return s.appendBytes(payload)
}

func (s *fixture) appendBytes(payload []byte) error {
	entry := hosting.Record{Offset: s.offset, Payload: payload, Time: s.now}
	s.offset++
	_, err := s.one.Apply(entry)
	_, other := s.two.Apply(entry)
	s.Assert(fmt.Sprint(other), qt.Equals, fmt.Sprint(err))
	return err
}

func (s *fixture) wait(d time.Duration) { s.now = s.now.Add(d) }

// assertHolding checks which processes may give orders.
func (s *fixture) assertHolding(one, two bool) {
	s.Helper()
	_, holdsOne := s.one.Holding(s.now)
	_, holdsTwo := s.two.Holding(s.now)
	s.Assert([]bool{holdsOne, holdsTwo}, qt.DeepEquals, []bool{one, two})
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	s := newFixture(t, 0)
	s.Assert(s.append(s.one.Acquire(s.now)), qt.IsNil)
	s.assertHolding(true, false)
	s.wait(options.Duration)
	s.assertHolding(false, false)

	// The paused holder renews late, before another process requests the duty.
	renewal, found := s.one.Renew(s.now)
	s.Assert(found, qt.IsTrue)
	s.Assert(s.append(renewal), qt.IsNil)
	s.assertHolding(true, false)

	s.wait(options.Duration + options.Margin)
	until := s.now
	s.Assert(s.append(s.two.Acquire(s.now)), qt.DeepEquals, &lease.HeldError{Duty: "Orders", Until: until})
	s.wait(1)
	s.Assert(s.append(s.two.Acquire(s.now)), qt.IsNil)
	s.assertHolding(false, true)
	number, _ := s.two.Holding(s.now)
	s.Assert(number, qt.Equals, uint64(3))
	_, found = s.one.Renew(s.now)
	s.Assert(found, qt.IsFalse)
}

func TestReleaseFreesDutyAtOnce(t *testing.T) {
	s := newFixture(t, 0)
	s.Assert(s.append(s.one.Acquire(s.now)), qt.IsNil)
	release, found := s.one.Release(s.now)
	s.Assert(found, qt.IsTrue)
	s.assertHolding(false, false)
	s.Assert(s.append(release), qt.IsNil)
	s.Assert(s.append(s.two.Acquire(s.now)), qt.IsNil)
	s.assertHolding(false, true)
	s.Assert(s.append(release), qt.DeepEquals, &lease.NotHeldError{Duty: "Orders", Number: 0})
	s.assertHolding(false, true)
}

func TestDelayedAppendDoesNotExtendLease(t *testing.T) {
	s := newFixture(t, 0)
	acquire := s.one.Acquire(s.now)
	s.wait(options.Duration)
	s.Assert(s.append(acquire), qt.IsNil)
	s.assertHolding(false, false)
	renewal, found := s.one.Renew(s.now)
	s.Assert(found, qt.IsTrue)
	s.Assert(s.append(renewal), qt.IsNil)
	s.assertHolding(true, false)
}

func TestFirstOfTwoConcurrentAcquiresWins(t *testing.T) {
	s := newFixture(t, 0)
	one, two := s.one.Acquire(s.now), s.two.Acquire(s.now)
	s.Assert(s.append(two), qt.IsNil)
	until := s.now.Add(options.Duration + options.Margin)
	s.Assert(s.append(one), qt.DeepEquals, &lease.HeldError{Duty: "Orders", Until: until})
	s.assertHolding(false, true)
}

func TestStateWithLaterStartWaitsOutUnknownLease(t *testing.T) {
	s := newFixture(t, 7)
	s.Assert(s.append(s.one.Acquire(s.now)), qt.ErrorAs, new(*lease.HeldError))
	s.wait(options.Duration + options.Margin + 1)
	s.Assert(s.append(s.one.Acquire(s.now)), qt.IsNil)
	s.assertHolding(true, false)
}

func TestInvalidRecordsHaveNoEffect(t *testing.T) {
	s := newFixture(t, 0)
	s.Assert(s.append(s.one.Acquire(s.now)), qt.IsNil)
	for _, payload := range []string{"", "null", "[]", `{"Duty":"Orders"}`, `{"Duty":"Orders","Renew":{},"Release":{}}`} {
		s.Assert(s.appendBytes([]byte(payload)), qt.ErrorAs, new(*lease.RecordError))
	}
	s.assertHolding(true, false)
	_, err := s.one.Apply(hosting.Record{Offset: 1})
	s.Assert(err, qt.DeepEquals, &lease.OffsetError{Offset: 1, Next: 6})
}

func TestOptionsRequireMargin(t *testing.T) {
	c := qt.New(t)
	c.Assert(options.Check(), qt.IsNil)
	bad := lease.Options{Duration: time.Second}
	c.Assert(bad.Check(), qt.DeepEquals, &lease.OptionsError{Options: bad})
}
