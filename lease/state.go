package lease

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Options are the same at all daemons.
type Options struct {
	// Duration is how long the holder may give orders after it sent its last
	// applied record, by its own clock.
	Duration time.Duration
	// Margin is how much longer than Duration other processes wait, by the
	// log's clock.
	Margin time.Duration
}

// DefaultOptions returns the defaults. The margin tolerates clocks whose rates
// differ by a fifth.
func DefaultOptions() Options {
	return Options{Duration: 10 * time.Second, Margin: 2 * time.Second}
}

// Check returns an *OptionsError unless the options can be used.
func (o Options) Check() error {
	if o.Duration <= 0 || o.Margin <= 0 {
		return &OptionsError{Options: o}
	}
	return nil
}

// Lease is the right of one process to carry out a duty.
type Lease struct {
	Duty        string
	Daemon      string
	Incarnation string
	// Number is the offset of the Acquire, and the fencing token.
	Number uint64
	// Renewed is the record time of the Acquire or the last Renew.
	Renewed time.Time
}

// dutyState is the state of one duty after the applied records.
type dutyState struct {
	// isHeld is true from an Acquire that won to its Release.
	isHeld bool
	// isUnknown is true while a process whose Acquire the state has not seen may
	// hold the duty. Only Duty and Renewed are set in lease then.
	isUnknown bool
	lease     Lease
}

// State is the state built by applying the lease records of a stream in order.
// It is not safe for concurrent use.
//
// A state may start at a record that is not the first one of the stream. The holder
// of a duty is then unknown until Duration + Margin has passed without a record of
// the duty; an Acquire that wins in such a state wins in every state.
type State struct {
	options Options
	// start is the offset of the first record.
	start uint64
	// next is the offset of the next record to apply.
	next uint64
	// now is the highest time of an applied record.
	now    time.Time
	duties map[string]dutyState
}

// NewState returns a state that starts with the record at offset start.
func NewState(options Options, start uint64) *State {
	return &State{options: options, start: start, next: start, duties: make(map[string]dutyState)}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Current returns the last known lease of a duty. It may have expired, which
// the state cannot know before the next record.
func (s *State) Current(name string) (Lease, bool) {
	known := s.duties[name]
	return known.lease, known.isHeld && !known.isUnknown
}

// Apply applies the next record and returns it. An error says why the record has
// no effect: a *RecordError, a *HeldError, a *NotHeldError or, when the record
// is not the next one, an *OffsetError.
func (s *State) Apply(entry hosting.Record) (Record, error) {
	if entry.Offset != s.next {
		return Record{}, &OffsetError{Offset: entry.Offset, Next: s.next}
	}
	s.next++
	if entry.Time.After(s.now) {
		s.now = entry.Time
	}
	record, err := decode(entry.Offset, entry.Payload)
	if err != nil {
		return Record{}, err
	}
	known := s.stateOf(record.Duty)
	switch {
	case record.Acquire != nil:
		err = s.applyAcquire(&known, entry.Offset, record)
	case record.Renew != nil:
		err = s.applyRenew(&known, record)
	default:
		err = s.applyRelease(&known, record)
	}
	s.duties[record.Duty] = known
	return record, err
}

// stateOf returns the state of a duty. A process may have won or renewed the duty
// with a record before the start, but no later than the first record of the duty
// that the state applies, so the time of this record counts as the renewal.
func (s *State) stateOf(name string) dutyState {
	known, found := s.duties[name]
	if !found && s.start > 0 {
		known = dutyState{isHeld: true, isUnknown: true, lease: Lease{Duty: name, Renewed: s.now}}
	}
	return known
}

func (s *State) applyAcquire(known *dutyState, offset uint64, record Record) error {
	expiry := known.lease.Renewed.Add(s.options.Duration + s.options.Margin)
	if known.isHeld && !s.now.After(expiry) {
		s.extendUnknown(known)
		return &HeldError{Duty: record.Duty, Until: expiry}
	}
	known.isHeld, known.isUnknown = true, false
	known.lease = Lease{
		Duty: record.Duty, Daemon: record.Daemon, Incarnation: record.Incarnation,
		Number: offset, Renewed: s.now,
	}
	return nil
}

func (s *State) applyRenew(known *dutyState, record Record) error {
	if !known.isHeldUnder(record, record.Renew.Number) {
		s.extendUnknown(known)
		return &NotHeldError{Duty: record.Duty, Number: record.Renew.Number}
	}
	known.lease.Renewed = s.now
	return nil
}

func (s *State) applyRelease(known *dutyState, record Record) error {
	if !known.isHeldUnder(record, record.Release.Number) {
		s.extendUnknown(known)
		return &NotHeldError{Duty: record.Duty, Number: record.Release.Number}
	}
	known.isHeld = false
	return nil
}

// extendUnknown extends an unknown lease, which a record that the state cannot
// evaluate may have won or renewed.
func (s *State) extendUnknown(known *dutyState) {
	if known.isUnknown {
		known.lease.Renewed = s.now
	}
}

// isHeldUnder reports whether the process of the record holds the lease with
// that number.
func (d dutyState) isHeldUnder(record Record, number uint64) bool {
	return d.isHeld && !d.isUnknown && d.lease.Number == number &&
		d.lease.Daemon == record.Daemon && d.lease.Incarnation == record.Incarnation
}
