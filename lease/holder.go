package lease

import (
	"maps"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Identity says which process competes for which duty.
type Identity struct {
	Duty   string
	Daemon string
	// Incarnation is unique for every start of a daemon.
	Incarnation string
}

// Holder is one process's view of its lease of one duty. It belongs to one
// goroutine. The times that it is given are those of one monotonic clock.
type Holder struct {
	identity Identity
	options  Options
	book     *Book
	// sequence is that of the last record that was made.
	sequence uint64
	// sent has when the records were made that have not been folded and are
	// no older than a Duration.
	sent map[uint64]time.Time
	// number is that of the lease while isWon.
	number uint64
	// isWon is true from the fold of an own Acquire that won to the release,
	// whether or not the lease has lapsed meanwhile.
	isWon bool
	// until is when the lease lapses by the own clock.
	until time.Time
}

// NewHolder returns a holder without a lease, whose book begins at start.
func NewHolder(identity Identity, options Options, start uint64) *Holder {
	return &Holder{
		identity: identity, options: options,
		book: NewBook(options, start), sent: make(map[uint64]time.Time),
	}
}

// Book returns the fold of the stream.
func (h *Holder) Book() *Book { return h.book }

// Holding returns the fencing number and whether an order may be given at
// now. It is asked immediately before each order.
func (h *Holder) Holding(now time.Time) (uint64, bool) {
	return h.number, h.isWon && now.Before(h.until)
}

// Until returns when the lease lapses by the own clock.
func (h *Holder) Until() time.Time { return h.until }

// Acquire returns a record that asks for the duty. now is taken before the
// record is sent.
func (h *Holder) Acquire(now time.Time) Record {
	record := h.record(now)
	record.Acquire = &Acquire{}
	return record
}

// Renew returns a record that extends the lease, or false when there is none
// to extend. now is taken before the record is sent. A lease that has lapsed
// may be renewed as long as no other process has won.
func (h *Holder) Renew(now time.Time) (Record, bool) {
	if !h.isWon {
		return Record{}, false
	}
	record := h.record(now)
	record.Renew = &Renew{Number: h.number}
	return record, true
}

// Release ends the holder's view at once and returns a record that frees the
// duty, or false when there is no lease. The last order must have ended
// before the record is sent.
func (h *Holder) Release(now time.Time) (Record, bool) {
	if !h.isWon {
		return Record{}, false
	}
	h.isWon = false
	record := h.record(now)
	record.Release = &Release{Number: h.number}
	return record, true
}

// Restart begins a new book at start, since the records before it are gone.
// The lease is lost. The sequence goes on, so that no earlier record is taken
// for a later one.
func (h *Holder) Restart(start uint64) {
	h.book = NewBook(h.options, start)
	h.isWon = false
}

// Fold folds the next record of the stream. The errors are those of
// Book.Fold. An append whose answer was lost is settled here and nowhere
// else: a record has taken effect when it is folded without an error.
func (h *Holder) Fold(entry hosting.Record) (Record, error) {
	record, err := h.book.Fold(entry)
	if current, isHeld := h.book.Current(h.identity.Duty); !isHeld || current.Number != h.number {
		h.isWon = false
	}
	if !h.isOwn(record) {
		return record, err
	}
	until := h.take(record.Sequence)
	switch {
	case err != nil:
	case record.Acquire != nil:
		h.number, h.isWon, h.until = entry.Offset, true, until
	case record.Renew != nil && until.After(h.until):
		h.until = until
	}
	return record, err
}

// record returns a record without a part.
func (h *Holder) record(now time.Time) Record {
	maps.DeleteFunc(h.sent, func(_ uint64, sent time.Time) bool {
		return now.Sub(sent) > h.options.Duration
	})
	h.sequence++
	h.sent[h.sequence] = now
	return Record{
		Duty: h.identity.Duty, Daemon: h.identity.Daemon,
		Incarnation: h.identity.Incarnation, Sequence: h.sequence,
	}
}

// take returns how long a lease is valid that was won or renewed by the
// record with that sequence. It returns the zero time for a record that was
// sent too long ago to be remembered.
func (h *Holder) take(sequence uint64) time.Time {
	sent, found := h.sent[sequence]
	delete(h.sent, sequence)
	if !found {
		return time.Time{}
	}
	return sent.Add(h.options.Duration)
}

func (h *Holder) isOwn(record Record) bool {
	return record.Duty == h.identity.Duty && record.Daemon == h.identity.Daemon &&
		record.Incarnation == h.identity.Incarnation
}
