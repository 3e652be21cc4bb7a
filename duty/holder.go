package duty

import "time"

// Options sets how the duties change hands.
type Options struct {
	// Lease is how long a holder may act after it began its last append that
	// took effect.
	Lease time.Duration
	// Margin is how much longer the others wait.
	Margin time.Duration
	// Renewal is the time between two appends of the holder.
	Renewal time.Duration
	// MostReports bounds the reports that are remembered.
	MostReports int
}

// DefaultOptions returns the options for a lease time of the platform.
func DefaultOptions(lease time.Duration) Options {
	return Options{Lease: lease / 3, Margin: lease / 8, Renewal: lease / 6, MostReports: 64}
}

// Holder is one process's view of who holds the duties. Times are readings of
// one clock that also runs while the VM is suspended. It is not safe for use
// by several goroutines.
type Holder struct {
	options Options
	self    string
	// end is the offset after the last folded entry.
	end uint64
	// began is when the process began.
	began time.Time
	// changed is when the end last moved, as seen here.
	changed time.Time
	// holder is the process that wrote the last entry, or empty when it gave
	// the duties back.
	holder string
	// fence is one more than the offset of the entry with which the holder
	// took the duties over, so that it is never zero.
	fence uint64
	// until is when the own lease ends.
	until time.Time
	// heard is the highest offset that another daemon told, at heardAt.
	heard   uint64
	heardAt time.Time
	// reports holds what was decided, by window.
	reports map[int64]Report
}

// NewHolder returns the view of a process that has read nothing.
func NewHolder(options Options, self string, now time.Time) *Holder {
	return &Holder{options: options, self: self, began: now, changed: now, reports: make(map[int64]Report)}
}

// End returns the offset of the next entry to fold.
func (h *Holder) End() uint64 { return h.end }

// Fence returns the fencing number of the present holder.
func (h *Holder) Fence() uint64 { return h.fence }

// Fold takes in the next entry of the log.
func (h *Holder) Fold(record Record, now time.Time) {
	if record.Takes {
		h.fence = h.end + 1
	}
	h.holder = record.Holder
	if record.Leaves {
		h.holder = ""
	}
	for _, report := range record.Reports {
		h.reports[report.Window] = report
	}
	h.forget()
	h.pass(now)
	if h.holder != h.self {
		h.until = time.Time{}
	}
}

// Skip passes an entry that can't be read.
func (h *Holder) Skip(now time.Time) { h.pass(now) }

// pass moves the end by one entry. An entry that another daemon has told of is
// as old as that word.
func (h *Holder) pass(now time.Time) {
	h.end++
	h.changed = now
	if h.end <= h.heard && h.heardAt.Before(now) {
		h.changed = h.heardAt
	}
}

// unknownHolder stands for a process that may hold the duties and whose entries
// were not read.
const unknownHolder = "unknown"

// Restart begins at a later offset, since entries in between are gone. Somebody
// may hold the duties then.
func (h *Holder) Restart(end uint64, now time.Time) {
	h.end, h.changed, h.holder, h.until = end, now, unknownHolder, time.Time{}
}

// Heard notes that another daemon knows of entries up to an offset, so that the
// holder lives.
func (h *Holder) Heard(end uint64, now time.Time) {
	if end > h.heard {
		h.heard, h.heardAt = end, now
	}
}

// MustRead reports whether the log has to be read: nobody holds the duties, or
// nothing was heard of the holder for a lease. It is read again and again then,
// since only a log that does not grow for long shows that the holder is gone.
func (h *Holder) MustRead(now time.Time) bool {
	if h.holder == h.self {
		return false
	}
	return h.holder == "" || now.Sub(h.heardAt) >= h.options.Lease && now.Sub(h.began) >= h.options.Lease
}

// MayTake reports whether the duties can be taken over.
func (h *Holder) MayTake(now time.Time) bool {
	if h.holder == "" {
		return true
	}
	return h.holder != h.self && now.Sub(h.changed) >= h.options.Lease+h.options.Margin
}

// MustRenew reports whether the holder has to append again.
func (h *Holder) MustRenew(now time.Time) bool {
	return h.holder == h.self && now.Sub(h.changed) >= h.options.Renewal
}

// IsHolder reports whether the last entry was written by this process.
func (h *Holder) IsHolder() bool { return h.holder == h.self }

// Appended folds an own record that took effect at the end of the log. began
// was taken before the append.
func (h *Holder) Appended(record Record, began, now time.Time) {
	h.Fold(record, now)
	if h.holder == h.self {
		h.until = began.Add(h.options.Lease)
	}
}

// Holding returns the fencing number and whether a duty may be carried out.
func (h *Holder) Holding(now time.Time) (uint64, bool) {
	return h.fence, h.holder == h.self && now.Before(h.until)
}

// Ended notes that a process has ended, since another one has started in its
// place. It cannot act any more.
func (h *Holder) Ended(process string) {
	if h.holder == process && process != h.self {
		h.holder = ""
	}
}

// HeldBy returns the process that holds the duties, or may hold them; it is empty
// when nobody does.
func (h *Holder) HeldBy() string { return h.holder }

// Lose ends the own lease, since another process has a higher number.
func (h *Holder) Lose(now time.Time) {
	h.until = time.Time{}
	h.holder = unknownHolder
	h.changed = now
}

// Decided returns the report of a window that stands in the log.
func (h *Holder) Decided(window int64) (Report, bool) {
	report, found := h.reports[window]
	return report, found
}

// forget drops the reports of the oldest windows.
func (h *Holder) forget() {
	for len(h.reports) > h.options.MostReports {
		oldest := int64(0)
		for window := range h.reports {
			if oldest == 0 || window < oldest {
				oldest = window
			}
		}
		delete(h.reports, oldest)
	}
}
