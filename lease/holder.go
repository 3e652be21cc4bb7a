package lease

import (
	"maps"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Identity names a process and the duty for which it competes.
type Identity struct {
	Duty   string
	Daemon string
	// Incarnation is unique for every start of a daemon.
	Incarnation string
}

// Holder is one process's view of its lease of one duty. It is not safe for
// concurrent use. The times passed to it are from one monotonic clock.
type Holder struct {
	identity Identity
	options  Options
	state    *State
	// sequence is the sequence of the last record created.
	sequence uint64
	// sentAt holds, by sequence, the creation times of the records that have not
	// been applied and are no older than Duration.
	sentAt map[uint64]time.Time
	// number is the number of the lease while hasLease is true.
	number uint64
	// hasLease is true from the application of an own Acquire that won to the
	// release, whether or not the lease has expired meanwhile.
	hasLease bool
	// expiresAt is when the lease expires by the process's own clock.
	expiresAt time.Time
}

// NewHolder returns a holder without a lease, whose state starts at start.
func NewHolder(identity Identity, options Options, start uint64) *Holder {
	return &Holder{
		identity: identity, options: options,
		state: NewState(options, start), sentAt: make(map[uint64]time.Time),
	}
}

// State returns the state of the stream as read so far.
func (h *Holder) State() *State { return h.state }

// Holding returns the fencing token and whether an order may be given at now.
// It is called immediately before each order.
func (h *Holder) Holding(now time.Time) (uint64, bool) {
	return h.number, h.hasLease && now.Before(h.expiresAt)
}

// ExpiresAt returns when the lease expires by the process's own clock.
func (h *Holder) ExpiresAt() time.Time { return h.expiresAt }

// Acquire returns a record that requests the duty. now is read before the
// record is sent.
func (h *Holder) Acquire(now time.Time) Record {
	record := h.newRecord(now)
	record.Acquire = &Acquire{}
	return record
}

// Renew returns a record that extends the lease, or false when there is none to
// extend. now is read before the record is sent. A lease that has expired may
// be renewed as long as no other process has won.
func (h *Holder) Renew(now time.Time) (Record, bool) {
	if !h.hasLease {
		return Record{}, false
	}
	record := h.newRecord(now)
	record.Renew = &Renew{Number: h.number}
	return record, true
}

// Release ends the lease for this process immediately and returns a record that
// frees the duty, or false when there is no lease. The last order must have
// ended before the record is sent.
func (h *Holder) Release(now time.Time) (Record, bool) {
	if !h.hasLease {
		return Record{}, false
	}
	h.hasLease = false
	record := h.newRecord(now)
	record.Release = &Release{Number: h.number}
	return record, true
}

// Restart starts a new state at start, for when the log no longer has the records
// before that offset. The lease is lost. The sequence continues, so that an earlier
// record is not mistaken for a later one.
func (h *Holder) Restart(start uint64) {
	h.state = NewState(h.options, start)
	h.hasLease = false
}

// Apply applies the next record of the stream. The errors are those of
// State.Apply. Only Apply settles an append whose response was lost: the record
// has taken effect when it is applied without an error.
func (h *Holder) Apply(entry hosting.Record) (Record, error) {
	record, err := h.state.Apply(entry)
	if current, isHeld := h.state.Current(h.identity.Duty); !isHeld || current.Number != h.number {
		h.hasLease = false
	}
	if !h.isOwn(record) {
		return record, err
	}
	until := h.takeExpiry(record.Sequence)
	switch {
	case err != nil:
	case record.Acquire != nil:
		h.number, h.hasLease, h.expiresAt = entry.Offset, true, until
	case record.Renew != nil && until.After(h.expiresAt):
		h.expiresAt = until
	}
	return record, err
}

// newRecord returns a record without an Acquire, Renew or Release.
func (h *Holder) newRecord(now time.Time) Record {
	maps.DeleteFunc(h.sentAt, func(_ uint64, sent time.Time) bool {
		return now.Sub(sent) > h.options.Duration
	})
	h.sequence++
	h.sentAt[h.sequence] = now
	return Record{
		Duty: h.identity.Duty, Daemon: h.identity.Daemon,
		Incarnation: h.identity.Incarnation, Sequence: h.sequence,
	}
}

// takeExpiry removes the send time of the record with that sequence and returns
// the expiry of a lease that the record won or renewed. It returns the zero time
// when the send time is no longer stored because the record was sent too long ago.
func (h *Holder) takeExpiry(sequence uint64) time.Time {
	sent, found := h.sentAt[sequence]
	delete(h.sentAt, sequence)
	if !found {
		return time.Time{}
	}
	return sent.Add(h.options.Duration)
}

func (h *Holder) isOwn(record Record) bool {
	return record.Duty == h.identity.Duty && record.Daemon == h.identity.Daemon &&
		record.Incarnation == h.identity.Incarnation
}
