package dutylease

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Options sets the timing of the lease and the size of the state.
type Options struct {
	// Lease is how long a holder may act, counted from the start of its last
	// append that took effect.
	Lease time.Duration
	// Margin is how much longer than Lease the other processes wait before they
	// acquire the lease.
	Margin time.Duration
	// RenewInterval is the time between two appends by the holder.
	RenewInterval time.Duration
	// MaxReports bounds the number of reports kept.
	MaxReports int
}

// DefaultOptions derives the options from the platform's lease time.
func DefaultOptions(lease time.Duration) Options {
	return Options{Lease: lease / 3, Margin: lease / 8, RenewInterval: lease / 6, MaxReports: 64}
}

// LeaseState is one process's view of the lease on the duties. All times come from
// one clock, which also advances while the VM is suspended. It is not safe for
// concurrent use.
type LeaseState struct {
	options Options
	self    string
	// end is the position after the last applied entry.
	end latest.Position
	// heldInEpoch is true once an entry that was written in the epoch of end has been
	// applied. Until then the holder of an earlier epoch may still act.
	heldInEpoch bool
	// started is when this process started.
	started time.Time
	// endChangedAt is when end last changed: when the last entry was read, or when a
	// peer reported it if that was earlier.
	endChangedAt time.Time
	// holder is the process that wrote the last entry, or empty when that entry
	// released the lease.
	holder string
	// fencingToken is derived from the position of the entry with which the holder
	// acquired the lease.
	fencingToken uint64
	// leaseEnd is when this process's own lease ends.
	leaseEnd time.Time
	// peerEnd is the highest end reported by another daemon, received at
	// peerEndAt.
	peerEnd   latest.Position
	peerEndAt time.Time
	// reports holds the decided reports by window.
	reports map[int64]decidedReport
	// epochChangedAt is when this process or a peer first saw the present epoch.
	epochChangedAt time.Time
	// unlogged holds the windows of reports that the log is not known to hold, since
	// it was restored or since another daemon passed them on.
	unlogged map[int64]bool
	// firstWindow is the FirstWindow of the epoch's records. It is zero in a log that was
	// never restored.
	firstWindow int64
	// lacksFirstWindow is true from a restore after which decided reports may be unknown
	// until a record of the new epoch has been applied.
	lacksFirstWindow bool
}

// NewLeaseState returns the state of a process that has read nothing yet.
func NewLeaseState(options Options, self string, now time.Time) *LeaseState {
	return &LeaseState{
		options: options, self: self, started: now, endChangedAt: now,
		reports: make(map[int64]decidedReport), unlogged: make(map[int64]bool),
	}
}

// End returns the position of the next entry to apply.
func (s *LeaseState) End() latest.Position { return s.end }

// FencingToken returns the fencing token of the current holder.
func (s *LeaseState) FencingToken() uint64 { return s.fencingToken }

// epochShift is the number of bits for offsets in a fencing token. It leaves room for
// thousands of epochs in the integers that JSON numbers represent exactly.
const epochShift = 40

// fencingTokenAt returns the fencing token of a lease that was acquired with the entry
// at a position. It is never zero, and it increases across epochs.
func fencingTokenAt(p latest.Position) uint64 { return p.Epoch<<epochShift + p.Offset + 1 }

// EnterEpoch starts over with a log that was restored from an older copy: entries
// after the copy are lost, and offsets are given out again. A holder of the epoch
// before may act until its lease ends, so nobody else may acquire the lease until
// then, not even a process that has just started and finds the log empty. The reports
// decided so far stay decided.
func (s *LeaseState) EnterEpoch(epoch uint64, now time.Time) {
	s.lacksFirstWindow = s.lacksFirstWindow || s.mayHaveMissedEntries(now)
	s.end, s.heldInEpoch = latest.Position{Epoch: epoch}, false
	s.holder, s.endChangedAt, s.epochChangedAt = unknownHolder, now, now
	for window := range s.reports {
		s.unlogged[window] = true
	}
}

// Apply applies the next entry of the log.
func (s *LeaseState) Apply(record Record, now time.Time) {
	switch {
	case record.Epoch == s.end.Epoch:
		s.heldInEpoch = true
		s.firstWindow, s.lacksFirstWindow = record.FirstWindow, false
		s.applyHolder(record)
		s.applyReports(record, now)
	case !s.heldInEpoch:
		// The entry is from the copy. Its writer may have written more that is lost.
		s.holder = unknownHolder
		s.applyReports(record, now)
	default:
		// An append that was sent before the log was restored took effect late.
	}
	s.advance(now)
}

func (s *LeaseState) applyHolder(record Record) {
	if record.Takes {
		s.fencingToken = fencingTokenAt(s.end)
	}
	s.holder = record.Holder
	if record.Leaves {
		s.holder = ""
	}
	if s.holder != s.self {
		s.leaseEnd = time.Time{}
	}
}

// Skip advances past an entry that can't be decoded.
func (s *LeaseState) Skip(now time.Time) { s.advance(now) }

// advance moves the end by one entry. An entry that another daemon reported earlier
// is dated to the receipt of that report.
func (s *LeaseState) advance(now time.Time) {
	s.end.Offset++
	s.endChangedAt = now
	if s.end.Compare(s.peerEnd) <= 0 && s.peerEndAt.Before(now) {
		s.endChangedAt = s.peerEndAt
	}
}

// unknownHolder stands for a process that may hold the lease but whose entries were
// not read.
const unknownHolder = "unknown"

// Restart continues at a later position because the entries in between have been
// removed. Any process may have acquired the lease with one of them.
func (s *LeaseState) Restart(end latest.Position, now time.Time) {
	s.end, s.endChangedAt, s.holder = end, now, unknownHolder
}

// ObservePeer records that another daemon has read the log up to end. A higher end
// shows that the holder is alive.
func (s *LeaseState) ObservePeer(end latest.Position, now time.Time) {
	if end.Epoch > max(s.peerEnd.Epoch, s.end.Epoch) {
		s.epochChangedAt = now
	}
	if s.peerEnd.Before(end) {
		s.peerEnd, s.peerEndAt = end, now
	}
}

// MustRead reports whether the log has to be read: nobody is known to hold the lease, or
// peers have reported no new entry for the duration of a lease and peerDelay, which is how
// much later reports of peers arrive in a large group, at most a lease. The log is then
// polled, since only a log that stops growing shows that the holder is gone.
func (s *LeaseState) MustRead(peerDelay time.Duration, now time.Time) bool {
	if s.holder == s.self {
		return false
	}
	if s.holder == "" || s.holder == unknownHolder {
		return true
	}
	silence := s.options.Lease + min(peerDelay, s.options.Lease)
	return now.Sub(s.peerEndAt) >= silence && now.Sub(s.started) >= silence
}

// MayAcquire reports whether this process may try to acquire the lease.
//
// A process whose own lease still runs when it learns that the log was restored may
// acquire it at once, since no other process can hold it.
func (s *LeaseState) MayAcquire(now time.Time) bool {
	if s.holder == "" || s.holder == unknownHolder && now.Before(s.leaseEnd) {
		return true
	}
	return s.holder != s.self && now.Sub(s.endChangedAt) >= s.options.Lease+s.options.Margin
}

// MustRenew reports whether this process holds the lease and has to renew it.
func (s *LeaseState) MustRenew(now time.Time) bool {
	return s.holder == s.self && now.Sub(s.endChangedAt) >= s.options.RenewInterval
}

// IsHolder reports whether the last entry was written by this process.
func (s *LeaseState) IsHolder() bool { return s.holder == s.self }

// Appended applies this process's own record after its append has taken effect. began
// is the time before the append.
func (s *LeaseState) Appended(record Record, began, now time.Time) {
	s.Apply(record, now)
	if s.holder == s.self {
		s.leaseEnd = began.Add(s.options.Lease)
	}
}

// Holding returns the fencing token and whether this process may act under it.
func (s *LeaseState) Holding(now time.Time) (uint64, bool) {
	return s.fencingToken, s.holder == s.self && now.Before(s.leaseEnd)
}

// ProcessEnded frees the lease if the process held it. The process has ended, since
// another one has started in its place, and can no longer act.
func (s *LeaseState) ProcessEnded(process string) {
	if s.holder == process && process != s.self {
		s.holder = ""
	}
}

// Holder returns the process that holds or may hold the lease; it is empty when the
// lease is free.
func (s *LeaseState) Holder() string { return s.holder }

// Revoke ends this process's own lease because another process has a higher fencing
// token.
func (s *LeaseState) Revoke(now time.Time) {
	s.leaseEnd = time.Time{}
	s.holder = unknownHolder
	s.endChangedAt = now
}

// EpochAge returns the time since this process or a peer first saw the present epoch.
func (s *LeaseState) EpochAge(now time.Time) time.Duration { return now.Sub(s.epochChangedAt) }
