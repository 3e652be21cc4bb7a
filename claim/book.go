package claim

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Options are the settings of a book. They are the same at all daemons.
type Options struct {
	// Lifetime is how long a key keeps its winner after the last claim of
	// the key, by the log's clock.
	Lifetime time.Duration
	// MaxClaims is how many claims the stream may hold within one lifetime
	// before new keys are refused.
	MaxClaims int
}

// DefaultOptions returns the options that apply without settings.
func DefaultOptions() Options {
	return Options{Lifetime: 24 * time.Hour, MaxClaims: 100_000}
}

// Judgement is what the fold made of one claim. Err is nil for the winner
// and for losers; it is a *FullError for a claim that was refused.
type Judgement struct {
	Claim Claim
	Won   bool
	// Winner is the claim that holds the key; empty when Err is set.
	Winner Claim
	Err    error
}

// Book is the fold of the claim stream. It belongs to one goroutine.
//
// A claim wins when no claim of its key, won or lost, has been folded within
// the lifetime before it, or when the winner has released the key since. A
// claim that loses starts the lifetime of the key again. That makes the
// verdict independent of older records: a book that began later blocks at
// least the keys that an older book blocks.
type Book struct {
	options Options
	// next is the offset of the next record to fold.
	next uint64
	// now is the highest time of a folded record.
	now     time.Time
	holders holders
	// window counts the claims of the last lifetime.
	window    window
	producers producers
}

// NewBook returns a book whose first record is the one at offset first.
func NewBook(options Options, first uint64) *Book {
	return &Book{
		options:   options,
		next:      first,
		holders:   newHolders(options.Lifetime),
		window:    window{lifetime: options.Lifetime},
		producers: producers{lifetime: options.Lifetime, known: make(map[producerName]*producer)},
	}
}

// Next returns the offset of the next record to fold.
func (b *Book) Next() uint64 { return b.next }

// Now returns the highest time of a folded record.
func (b *Book) Now() time.Time { return b.now }

// Keys returns how many keys the book holds in memory: those that have a
// winner, and some whose lifetime has passed.
func (b *Book) Keys() int { return len(b.holders.byKey) }

// Look returns the winner of a key as of now, which is at or after the last
// folded record. It returns false for a key that is open or has outlived its
// lifetime.
func (b *Book) Look(key Key, now time.Time) (Claim, bool) {
	raw, err := key.binary()
	if err != nil {
		return Claim{}, false
	}
	held, found := b.holders.find(raw, now)
	if !found {
		return Claim{}, false
	}
	return held.claim(key), true
}

// Highest returns the highest number that has been folded for a process, or
// 0. A record of that process up to this number is in the log or never takes
// effect.
func (b *Book) Highest(daemon, incarnation string) uint64 {
	if source, found := b.producers.known[producerName{daemon, incarnation}]; found {
		return source.highest
	}
	return 0
}

// CheckRoom returns a *FullError when the book would refuse a new key.
func (b *Book) CheckRoom() error {
	if count := b.window.count; count >= b.options.MaxClaims {
		return &FullError{Claims: count}
	}
	return nil
}

// Fold folds the next record and returns the judgements on its claims, in
// order. A record that has been folded before, under this offset or as a
// copy that a repeated append left behind, has none. It returns a *GapError
// for a record that is not the next one, and a *RecordError for an invalid
// one, which it steps over.
func (b *Book) Fold(entry hosting.Record) ([]Judgement, error) {
	if entry.Offset < b.next {
		return nil, nil
	}
	if entry.Offset > b.next {
		return nil, &GapError{Expected: b.next, Offset: entry.Offset}
	}
	b.next++
	b.advance(entry.Time)
	record, err := Decode(entry.Payload)
	if err != nil {
		return nil, err
	}
	source := b.producers.take(record, b.now)
	if source == nil {
		return nil, nil
	}
	for _, release := range record.Releases {
		b.release(source, release)
	}
	judgements := make([]Judgement, 0, len(record.Claims))
	for i := range record.Claims {
		judgements = append(judgements, b.judge(source, record.Claim(i)))
	}
	return judgements, nil
}

// advance moves the log time forward and forgets what has outlived it.
func (b *Book) advance(now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
	b.window.expire(b.now)
	b.holders.expire(b.now)
}

func (b *Book) judge(source *producer, claimed Claim) Judgement {
	claimed.Time = b.now.UTC()
	// Decode has made the key from its binary form.
	raw, _ := claimed.Key.binary()
	held, found := b.holders.find(raw, b.now)
	room := b.CheckRoom()
	b.window.add(b.now)
	switch {
	case found:
		b.holders.touch(raw, held, b.now)
	case room != nil:
		return Judgement{Claim: claimed, Err: room}
	default:
		held = b.holders.win(raw, holder{producer: source, number: claimed.Number, fingerprint: claimed.Fingerprint}, b.now)
	}
	return Judgement{Claim: claimed, Won: !found, Winner: held.claim(claimed.Key)}
}

func (b *Book) release(source *producer, release Release) {
	raw, _ := release.Key.binary()
	held, found := b.holders.find(raw, b.now)
	if found && held.producer.name == source.name && held.number == release.Number {
		b.holders.remove(raw)
	}
}
