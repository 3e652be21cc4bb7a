package dutylease

import "time"

// FirstWindow returns the first window that may be decided without a known report. It is
// unknown after a restore until the next process acquires the lease.
//
// The report of an earlier window may have been decided, sent and lost with the log. A
// process can't tell: the processes that knew of it may have ended, or may be out of
// reach. Such a window stays unreported, since a second report may have other counts.
func (s *LeaseState) FirstWindow() (window int64, isKnown bool) {
	return s.firstWindow, !s.lacksFirstWindow
}

// mayHaveMissedEntries reports whether the log may have held entries, up to its restore,
// that this process has not read. Others append only after the lease and the margin, so
// that there are none if its own last append is younger.
func (s *LeaseState) mayHaveMissedEntries(now time.Time) bool {
	return s.holder != s.self || !now.Before(s.leaseEnd.Add(s.options.Margin))
}
