package streamversion

import "time"

// Report is what a process tells the others of the versions that it has seen.
type Report struct {
	// IsKnown is false before the process has seen any runners.
	IsKnown bool
	// Mixed names the services of which other versions than the default one may have begun streams
	// that live, as far as the process knows.
	Mixed []string
}

// Report returns what the others should know.
func (w *Watch) Report(now time.Time) Report {
	report := Report{IsKnown: len(w.services) > 0}
	for _, service := range w.Services() {
		if !w.HasOnlyDefault(service, now) {
			report.Mixed = append(report.Mixed, service)
		}
	}
	return report
}
