package lease

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Options are the same at all daemons.
type Options struct {
	// Duration is how long the holder may give orders after it sent its last
	// folded record, by its own clock.
	Duration time.Duration
	// Margin is how much longer other processes wait, by the log's clock.
	Margin time.Duration
}

// DefaultOptions returns the defaults. The margin covers clocks whose rates
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
	// Number is the offset of the Acquire, and the fencing number.
	Number uint64
	// Renewed is the record time of the Acquire or the last Renew.
	Renewed time.Time
}

// duty is what the records of one duty have said.
type duty struct {
	// isHeld is true from an Acquire that won to its Release.
	isHeld bool
	// isUnknown is true while a process that the book has not seen win may
	// hold the duty. Then lease has only Renewed.
	isUnknown bool
	lease     Lease
}

// Book is the fold of the leases of a stream. It belongs to one goroutine.
//
// A book may begin at a record that is not the first one of the stream. It
// then knows no holder before a whole Duration + Margin without a record of
// the duty has passed; whatever it takes for a win is one for every book.
type Book struct {
	options Options
	// start is the offset of the first record.
	start uint64
	// next is the offset of the next record to fold.
	next uint64
	// now is the highest time of a folded record.
	now    time.Time
	duties map[string]duty
}

// NewBook returns a book that begins at the record with offset start.
func NewBook(options Options, start uint64) *Book {
	return &Book{options: options, start: start, next: start, duties: make(map[string]duty)}
}

// Next returns the offset of the next record to fold.
func (b *Book) Next() uint64 { return b.next }

// Current returns the last known lease of a duty. It may have lapsed, which
// the book cannot know before the next record.
func (b *Book) Current(name string) (Lease, bool) {
	known := b.duties[name]
	return known.lease, known.isHeld && !known.isUnknown
}

// Fold folds the next record and returns it. An error says why the record
// has no effect: a *RecordError, a *HeldError, a *NotHeldError or, when
// the record is not the next one, an *OffsetError.
func (b *Book) Fold(entry hosting.Record) (Record, error) {
	if entry.Offset != b.next {
		return Record{}, &OffsetError{Offset: entry.Offset, Next: b.next}
	}
	b.next++
	if entry.Time.After(b.now) {
		b.now = entry.Time
	}
	record, err := decode(entry.Offset, entry.Payload)
	if err != nil {
		return Record{}, err
	}
	known := b.look(record.Duty)
	switch {
	case record.Acquire != nil:
		err = b.acquire(&known, entry.Offset, record)
	case record.Renew != nil:
		err = b.renew(&known, record)
	default:
		err = b.release(&known, record)
	}
	b.duties[record.Duty] = known
	return record, err
}

// look returns what is known of a duty. Records before the start may have
// given it to a process, no later than the first record that the book has.
func (b *Book) look(name string) duty {
	known, found := b.duties[name]
	if !found && b.start > 0 {
		known = duty{isHeld: true, isUnknown: true, lease: Lease{Duty: name, Renewed: b.now}}
	}
	return known
}

func (b *Book) acquire(known *duty, offset uint64, record Record) error {
	lapse := known.lease.Renewed.Add(b.options.Duration + b.options.Margin)
	if known.isHeld && !b.now.After(lapse) {
		b.extendUnknown(known)
		return &HeldError{Duty: record.Duty, Until: lapse}
	}
	known.isHeld, known.isUnknown = true, false
	known.lease = Lease{
		Duty: record.Duty, Daemon: record.Daemon, Incarnation: record.Incarnation,
		Number: offset, Renewed: b.now,
	}
	return nil
}

func (b *Book) renew(known *duty, record Record) error {
	if !known.isHeldUnder(record, record.Renew.Number) {
		b.extendUnknown(known)
		return &NotHeldError{Duty: record.Duty, Number: record.Renew.Number}
	}
	known.lease.Renewed = b.now
	return nil
}

func (b *Book) release(known *duty, record Record) error {
	if !known.isHeldUnder(record, record.Release.Number) {
		b.extendUnknown(known)
		return &NotHeldError{Duty: record.Duty, Number: record.Release.Number}
	}
	known.isHeld = false
	return nil
}

// extendUnknown notes that a record which the book cannot judge may have won
// or renewed the lease.
func (b *Book) extendUnknown(known *duty) {
	if known.isUnknown {
		known.lease.Renewed = b.now
	}
}

// isHeldUnder reports whether the process of the record has the lease of that
// number.
func (d duty) isHeldUnder(record Record, number uint64) bool {
	return d.isHeld && !d.isUnknown && d.lease.Number == number &&
		d.lease.Daemon == record.Daemon && d.lease.Incarnation == record.Incarnation
}
