package dutylease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// decidedReport is a decided report with the time at which this process learned of it.
type decidedReport struct {
	Report
	learned time.Time
}

func (s *LeaseState) applyReports(record Record, now time.Time) {
	for _, report := range record.Reports {
		learned := now
		if known, found := s.reports[report.Window]; found {
			learned = known.learned
		}
		s.reports[report.Window] = decidedReport{Report: report, learned: learned}
		delete(s.unlogged, report.Window)
	}
	s.dropOldReports()
}

// Report returns the report decided for a window, if one is known, and the time since
// this process learned of it.
func (s *LeaseState) Report(window int64, now time.Time) (report Report, age time.Duration, found bool) {
	decided, found := s.reports[window]
	return decided.Report, now.Sub(decided.learned), found
}

// ObserveReport takes over a report that another daemon knows to be decided.
func (s *LeaseState) ObserveReport(report Report, now time.Time) {
	if _, held := s.reports[report.Window]; held {
		return
	}
	s.reports[report.Window] = decidedReport{Report: report, learned: now}
	s.unlogged[report.Window] = true
	s.dropOldReports()
}

// UnloggedReports returns the decided reports that the log may lack. The process that
// acquires the lease appends them, so that they stay decided.
func (s *LeaseState) UnloggedReports() []Report {
	var reports []Report
	for window := range s.unlogged {
		reports = append(reports, s.reports[window].Report)
	}
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Compare(x.Window, y.Window) })
	return reports
}

// RecentReports returns the decided reports of the given window and later ones.
func (s *LeaseState) RecentReports(from int64) []Report {
	return s.ReportsLearnedSince(time.Time{}, from)
}

// ReportsLearnedSince returns those reports of the given window and later ones of which
// this process has learned since a time.
func (s *LeaseState) ReportsLearnedSince(since time.Time, from int64) []Report {
	var reports []Report
	for _, window := range slices.Sorted(maps.Keys(s.reports)) {
		if window >= from && !s.reports[window].learned.Before(since) {
			reports = append(reports, s.reports[window].Report)
		}
	}
	return reports
}

// dropOldReports keeps the reports of the newest MaxReports windows.
func (s *LeaseState) dropOldReports() {
	for len(s.reports) > s.options.MaxReports {
		oldest := int64(0)
		for window := range s.reports {
			if oldest == 0 || window < oldest {
				oldest = window
			}
		}
		delete(s.reports, oldest)
		delete(s.unlogged, oldest)
	}
}
