package grant

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// loggedClaim is a claim that the log holds.
type loggedClaim struct {
	claim claim.Claim
	time  time.Time
}

// expiry is a key that expires a lifetime after time, unless another claim of the
// key has been stored since.
type expiry struct {
	key  claim.Key
	time time.Time
}

// Options are the same at all daemons.
type Options struct {
	// Lifetime is how long a key keeps its claim.
	Lifetime time.Duration
	// MemoryDelay is how long after the last Floor of its records an owner
	// waits before it may write under claims that it holds only in memory and
	// that are not in the log.
	MemoryDelay time.Duration
}

// process identifies the writer of a record.
type process struct {
	daemon      string
	incarnation string
}

// writer is the state of a process that writes records.
type writer struct {
	// sequence is the sequence of the last applied record.
	sequence uint64
	// floor is the highest Floor.
	floor time.Time
}

// State is the state built by applying the grants and the claims under them in
// log order. It is not safe for concurrent use and starts at the first record
// of the stream.
type State struct {
	options Options
	// now is the highest time of an applied record.
	now    time.Time
	grants map[Range]Grant
	// writers holds the state of each process that has written records.
	writers map[process]writer
	keys    map[claim.Key]loggedClaim
	// queue holds the keys that will expire, ordered by time.
	queue []expiry
}

// NewState returns the state before the first record.
func NewState(options Options) *State {
	return &State{
		options: options, grants: make(map[Range]Grant),
		writers: make(map[process]writer), keys: make(map[claim.Key]loggedClaim),
	}
}

// CurrentGrant returns the current grant of a range; its Daemon is empty when the
// range has no owner.
func (s *State) CurrentGrant(r Range) Grant { return s.grants[r] }

// Lookup returns the claim of a key within its lifetime.
func (s *State) Lookup(key claim.Key) (claim.Claim, bool) {
	held, found := s.keys[key]
	return held.claim, found
}

// Apply applies the next record. An error says why the record has no effect: a
// *DuplicateRecordError, a *StaleGrantError or a *ProofError.
func (s *State) Apply(offset uint64, at time.Time, record Record) error {
	s.advanceTime(at)
	if err := s.trackWriter(record); err != nil {
		return err
	}
	switch {
	case record.Take != nil:
		return s.applyTake(offset, record, *record.Take)
	case record.Release != nil:
		return s.applyRelease(offset, record, *record.Release)
	case record.Claims != nil:
		return s.applyClaims(record, *record.Claims)
	}
	return nil
}

// trackWriter records the sequence and the floor of a record.
func (s *State) trackWriter(record Record) error {
	name := process{record.Daemon, record.Incarnation}
	known := s.writers[name]
	if record.Sequence <= known.sequence {
		return &DuplicateRecordError{Sequence: record.Sequence, Highest: known.sequence}
	}
	known.sequence = record.Sequence
	if record.Floor.After(known.floor) {
		known.floor = record.Floor
	}
	s.writers[name] = known
	return nil
}

func (s *State) advanceTime(at time.Time) {
	if at.After(s.now) {
		s.now = at
	}
	for len(s.queue) > 0 && s.now.Sub(s.queue[0].time) >= s.options.Lifetime {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if held, found := s.keys[next.key]; found && held.time.Equal(next.time) {
			delete(s.keys, next.key)
		}
	}
}

// applyTake moves a range to a new owner. If the previous owner is dead and may
// have written under claims that are not in the log, the range has a hole until
// those claims have expired.
func (s *State) applyTake(offset uint64, record Record, take Take) error {
	current := s.grants[take.Range]
	if take.Previous != current.Number {
		return &StaleGrantError{Range: take.Range, Number: take.Previous, Current: current.Number}
	}
	if !isValidProof(take, current) {
		return &ProofError{Range: take.Range, Proof: take.Proof}
	}
	next := Grant{
		Range: take.Range, Daemon: record.Daemon, Incarnation: record.Incarnation,
		Number: offset + 1, HoleUntil: current.HoleUntil,
	}
	floor := s.writers[process{current.Daemon, current.Incarnation}].floor
	if current.Daemon != "" && !s.now.Before(floor.Add(s.options.MemoryDelay)) {
		next.HoleUntil = s.now.Add(s.options.Lifetime)
	}
	s.grants[take.Range] = next
	return nil
}

func isValidProof(take Take, current Grant) bool {
	switch take.Proof {
	case ProofNone:
		return current.Daemon == ""
	case ProofIncarnation:
		return current.Daemon != "" && take.SeenIncarnation != "" && take.SeenIncarnation != current.Incarnation
	case ProofVMGone:
		return current.Daemon != ""
	}
	return false
}

// applyRelease leaves the range without an owner, and with its hole if it has one.
// The number increases, so that duplicates of the records that took the range are stale.
func (s *State) applyRelease(offset uint64, record Record, release Release) error {
	current, err := s.current(record, release.Range, release.Number)
	if err != nil {
		return err
	}
	s.grants[release.Range] = Grant{Range: release.Range, Number: offset + 1, HoleUntil: current.HoleUntil}
	return nil
}

// applyClaims stores claims. A claim whose key is already held is a duplicate.
func (s *State) applyClaims(record Record, claims Claims) error {
	if _, err := s.current(record, claims.Range, claims.Number); err != nil {
		return err
	}
	for _, withdrawn := range claims.Withdrawn {
		if held, found := s.keys[withdrawn.Key]; found && held.claim.IsSame(withdrawn) {
			delete(s.keys, withdrawn.Key)
		}
	}
	for _, claimed := range claims.Claims {
		if _, found := s.keys[claimed.Key]; !found && RangeOf(claimed.Key) == claims.Range {
			s.keys[claimed.Key] = loggedClaim{claim: claimed, time: s.now}
			s.queue = append(s.queue, expiry{key: claimed.Key, time: s.now})
		}
	}
	return nil
}

// current returns the grant of a range, or a *StaleGrantError when the
// record's process does not hold it under that number.
func (s *State) current(record Record, r Range, number uint64) (Grant, error) {
	current := s.grants[r]
	if current.Number != number || !current.IsOwnedBy(record.Daemon, record.Incarnation) {
		return Grant{}, &StaleGrantError{Range: r, Number: number, Current: current.Number}
	}
	return current, nil
}
