package claim

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Options are the settings of a state. All daemons use the same values.
type Options struct {
	// Lifetime is how long a key keeps its winner after the last claim of the
	// key, in log time, which is the highest time of an applied record.
	Lifetime time.Duration
	// MaxClaims is the number of claims within one lifetime at which claims of
	// new keys are refused.
	MaxClaims int
}

// DefaultOptions returns the options that apply without settings.
func DefaultOptions() Options {
	return Options{Lifetime: 24 * time.Hour, MaxClaims: 100_000}
}

// Decision is the result of applying one claim. Err is nil for the winner and
// for losers; it is a *FullError for a claim that was refused.
type Decision struct {
	Claim Claim
	Won   bool
	// Winner is the claim that holds the key; empty when Err is set.
	Winner Claim
	Err    error
}

// State is the result of applying the records of the claim stream in log order.
// It is not safe for concurrent use.
//
// A claim wins when no claim of its key, won or lost, has been applied within
// the lifetime before it, or when the winner has released the key since. A
// claim that loses restarts the lifetime of the key. This makes the result
// independent of older records: every key that is claimed in one state is also
// claimed in a state that started at a later offset.
type State struct {
	options Options
	// next is the offset of the next record to apply.
	next uint64
	// now is the highest time of an applied record.
	now     time.Time
	holders holders
	// window counts the claims of the last lifetime.
	window    window
	producers producers
}

// NewState returns a state that starts with the record at offset first.
func NewState(options Options, first uint64) *State {
	return &State{
		options:   options,
		next:      first,
		holders:   newHolders(options.Lifetime),
		window:    window{lifetime: options.Lifetime},
		producers: producers{lifetime: options.Lifetime, known: make(map[producerName]*producer)},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Now returns the highest time of an applied record.
func (s *State) Now() time.Time { return s.now }

// KeyCount returns how many keys the state holds in memory: those that have a
// winner, and expired ones that have not been removed yet.
func (s *State) KeyCount() int { return len(s.holders.byKey) }

// Lookup returns the winner of a key as of now, which is at or after the last
// applied record. It returns false for a key that is unclaimed or whose
// lifetime has passed.
func (s *State) Lookup(key Key, now time.Time) (Claim, bool) {
	raw, err := key.binary()
	if err != nil {
		return Claim{}, false
	}
	current, found := s.holders.find(raw, now)
	if !found {
		return Claim{}, false
	}
	return current.claim(key), true
}

// HighestNumber returns the highest number in the applied records of a process,
// or 0. A record of that process with numbers up to this one is in the log
// already or will never take effect.
func (s *State) HighestNumber(daemon, incarnation string) uint64 {
	if source, found := s.producers.known[producerName{daemon, incarnation}]; found {
		return source.highestNumber
	}
	return 0
}

// CheckCapacity returns a *FullError when the state would refuse a new key.
func (s *State) CheckCapacity() error {
	if count := s.window.count; count >= s.options.MaxClaims {
		return &FullError{Claims: count}
	}
	return nil
}

// Apply applies the next record and returns the results of its claims, in order.
// A record that has been applied before, at this offset or as a duplicate left
// by a repeated append, has no effect and no results. Apply returns a *GapError
// when records before this one are missing, and a *RecordError for an invalid
// record, which it skips.
func (s *State) Apply(entry hosting.Record) ([]Decision, error) {
	if entry.Offset < s.next {
		return nil, nil
	}
	if entry.Offset > s.next {
		return nil, &GapError{Expected: s.next, Offset: entry.Offset}
	}
	s.next++
	s.advanceTime(entry.Time)
	record, err := Decode(entry.Payload)
	if err != nil {
		return nil, err
	}
	source := s.producers.accept(record, s.now)
	if source == nil {
		return nil, nil
	}
	for _, release := range record.Releases {
		s.applyRelease(source, release)
	}
	decisions := make([]Decision, 0, len(record.Claims))
	for i := range record.Claims {
		decisions = append(decisions, s.applyClaim(source, record.Claim(i)))
	}
	return decisions, nil
}

// advanceTime moves the log time forward and drops expired state.
func (s *State) advanceTime(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.window.expire(s.now)
	s.holders.expire(s.now)
}

func (s *State) applyClaim(source *producer, claimed Claim) Decision {
	claimed.Time = s.now.UTC()
	// Decode built the key from its binary form, so this cannot fail.
	raw, _ := claimed.Key.binary()
	current, found := s.holders.find(raw, s.now)
	full := s.CheckCapacity()
	s.window.add(s.now)
	switch {
	case found:
		s.holders.renew(raw, current, s.now)
	case full != nil:
		return Decision{Claim: claimed, Err: full}
	default:
		current = s.holders.add(raw, holder{producer: source, number: claimed.Number, fingerprint: claimed.Fingerprint}, s.now)
	}
	return Decision{Claim: claimed, Won: !found, Winner: current.claim(claimed.Key)}
}

func (s *State) applyRelease(source *producer, release Release) {
	raw, _ := release.Key.binary()
	current, found := s.holders.find(raw, s.now)
	if found && current.producer.name == source.name && current.number == release.Number {
		s.holders.remove(raw)
	}
}
