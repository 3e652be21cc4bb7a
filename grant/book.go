package grant

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// placed is a claim that the log holds.
type placed struct {
	claim claim.Claim
	time  time.Time
}

// expiry is a key whose lifetime ends.
type expiry struct {
	key  claim.Key
	time time.Time
}

// Options are the same at all daemons.
type Options struct {
	// Lifetime is how long a key keeps its claim.
	Lifetime time.Duration
	// MemoryDelay is how long after the last Floor of its records an owner
	// may write under claims that are not in the log.
	MemoryDelay time.Duration
}

// process identifies the writer of a record.
type process struct {
	daemon      string
	incarnation string
}

// writer is what the records of a process have said.
type writer struct {
	// sequence is that of the last folded record.
	sequence uint64
	// floor is the highest Floor.
	floor time.Time
}

// Book is the fold of the grants and of the claims under them. It belongs to
// one goroutine and begins at the first record of the stream.
type Book struct {
	options Options
	// now is the highest time of a folded record.
	now    time.Time
	grants map[Range]Grant
	// writers has what the records of each process have said.
	writers map[process]writer
	keys    map[claim.Key]placed
	// queue is ordered by time.
	queue []expiry
}

// NewBook returns the book before the first record.
func NewBook(options Options) *Book {
	return &Book{
		options: options, grants: make(map[Range]Grant),
		writers: make(map[process]writer), keys: make(map[claim.Key]placed),
	}
}

// Owner returns the current grant of a range; its Daemon is empty when the
// range has no owner.
func (b *Book) Owner(r Range) Grant { return b.grants[r] }

// Look returns the claim of a key within its lifetime.
func (b *Book) Look(key claim.Key) (claim.Claim, bool) {
	held, found := b.keys[key]
	return held.claim, found
}

// Fold folds the next record. An error says why the record has no effect:
// a *CopyError, a *StaleGrantError or a *ProofError.
func (b *Book) Fold(offset uint64, at time.Time, record Record) error {
	b.advance(at)
	if err := b.hear(record); err != nil {
		return err
	}
	switch {
	case record.Take != nil:
		return b.take(offset, record, *record.Take)
	case record.Release != nil:
		return b.release(offset, record, *record.Release)
	case record.Claims != nil:
		return b.place(record, *record.Claims)
	}
	return nil
}

// hear notes the sequence and the floor of a record.
func (b *Book) hear(record Record) error {
	name := process{record.Daemon, record.Incarnation}
	known := b.writers[name]
	if record.Sequence <= known.sequence {
		return &CopyError{Sequence: record.Sequence, Highest: known.sequence}
	}
	known.sequence = record.Sequence
	if record.Floor.After(known.floor) {
		known.floor = record.Floor
	}
	b.writers[name] = known
	return nil
}

func (b *Book) advance(at time.Time) {
	if at.After(b.now) {
		b.now = at
	}
	for len(b.queue) > 0 && b.now.Sub(b.queue[0].time) >= b.options.Lifetime {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if held, found := b.keys[next.key]; found && held.time.Equal(next.time) {
			delete(b.keys, next.key)
		}
	}
}

// take passes a range on. A dead owner that can have written under claims
// that are not in the log leaves a hole in the range.
func (b *Book) take(offset uint64, record Record, take Take) error {
	current := b.grants[take.Range]
	if take.Previous != current.Number {
		return &StaleGrantError{Range: take.Range, Number: take.Previous, Current: current.Number}
	}
	if !fits(take, current) {
		return &ProofError{Range: take.Range, Proof: take.Proof}
	}
	next := Grant{
		Range: take.Range, Daemon: record.Daemon, Incarnation: record.Incarnation,
		Number: offset + 1, HoleUntil: current.HoleUntil,
	}
	floor := b.writers[process{current.Daemon, current.Incarnation}].floor
	if current.Daemon != "" && !b.now.Before(floor.Add(b.options.MemoryDelay)) {
		next.HoleUntil = b.now.Add(b.options.Lifetime)
	}
	b.grants[take.Range] = next
	return nil
}

func fits(take Take, current Grant) bool {
	switch take.Proof {
	case ProofNone:
		return current.Daemon == ""
	case ProofIncarnation:
		return current.Daemon != "" && take.Seen != "" && take.Seen != current.Incarnation
	case ProofVMGone:
		return current.Daemon != ""
	}
	return false
}

// release leaves the range without an owner. A hole stays. The number moves
// on, so that copies of the records that took the range are stale.
func (b *Book) release(offset uint64, record Record, release Release) error {
	current, err := b.current(record, release.Range, release.Number)
	if err != nil {
		return err
	}
	b.grants[release.Range] = Grant{Range: release.Range, Number: offset + 1, HoleUntil: current.HoleUntil}
	return nil
}

// place enters claims. A claim whose key is held already is a copy.
func (b *Book) place(record Record, claims Claims) error {
	if _, err := b.current(record, claims.Range, claims.Number); err != nil {
		return err
	}
	for _, withdrawn := range claims.Withdrawn {
		if held, found := b.keys[withdrawn.Key]; found && held.claim.IsSame(withdrawn) {
			delete(b.keys, withdrawn.Key)
		}
	}
	for _, claimed := range claims.Claims {
		if _, found := b.keys[claimed.Key]; !found && RangeOf(claimed.Key) == claims.Range {
			b.keys[claimed.Key] = placed{claim: claimed, time: b.now}
			b.queue = append(b.queue, expiry{key: claimed.Key, time: b.now})
		}
	}
	return nil
}

// current returns the grant of a range, or a *StaleGrantError when the
// record's process does not hold it under that number.
func (b *Book) current(record Record, r Range, number uint64) (Grant, error) {
	current := b.grants[r]
	if current.Number != number || !current.IsOwnedBy(record.Daemon, record.Incarnation) {
		return Grant{}, &StaleGrantError{Range: r, Number: number, Current: current.Number}
	}
	return current, nil
}
