package outage

import "time"

const (
	// tick is the interval in which a daemon collects claims for one append.
	tick = 5 * time.Millisecond
	// warmUp is the time without a fault at the start of a run.
	warmUp = 5 * time.Minute
	// faultWindow is the duration of the fault, and of the measured time after it.
	faultWindow = 10 * time.Minute
	// runTime is the length of a run.
	runTime = warmUp + 2*faultWindow
	// noIndex stands for no daemon or no zone.
	noIndex = -1

	zoneCount   = 4
	daemonCount = 7
)

// Scenario is the load and the fault of a run. The fault begins after the warm-up.
type Scenario struct {
	Name string
	// Rate is the number of new keys per second.
	Rate int
	// LogOutage means that no daemon can reach the log during the fault window.
	LogOutage bool
	// IsolatedZone can reach neither the log nor the other zones during the fault
	// window; -1 for no zone.
	IsolatedZone int
	// FailedDaemon is the daemon whose VM fails permanently; -1 for none.
	FailedDaemon int
	// FailureDelay is the time from the start of the fault window to the failure.
	FailureDelay time.Duration
}

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Rate: 10, IsolatedZone: noIndex, FailedDaemon: noIndex},
		{Name: "calm, 100 keys a second", Rate: 100, IsolatedZone: noIndex, FailedDaemon: noIndex},
		{Name: "log outage", Rate: 10, LogOutage: true, IsolatedZone: noIndex, FailedDaemon: noIndex},
		{Name: "zone cut off", Rate: 10, IsolatedZone: 0, FailedDaemon: noIndex},
		{Name: "daemon's death", Rate: 10, IsolatedZone: noIndex, FailedDaemon: 2},
		{Name: "daemon's death, log outage", Rate: 10, LogOutage: true, IsolatedZone: noIndex, FailedDaemon: 2, FailureDelay: faultWindow / 2},
	}
}

// inFaultWindow reports whether a time since the start of the run is within the
// fault window.
func inFaultWindow(elapsed time.Duration) bool {
	return elapsed >= warmUp && elapsed < warmUp+faultWindow
}

// hasFailed reports whether the daemon has failed.
func (s Scenario) hasFailed(daemon int, elapsed time.Duration) bool {
	return daemon == s.FailedDaemon && elapsed >= warmUp+s.FailureDelay
}

// isIsolated reports whether the daemon's zone is isolated.
func (s Scenario) isIsolated(daemon int, elapsed time.Duration) bool {
	return s.IsolatedZone != noIndex && zoneOf(daemon) == s.IsolatedZone && inFaultWindow(elapsed)
}

// canReachLog reports whether the daemon can reach the log.
func (s Scenario) canReachLog(daemon int, elapsed time.Duration) bool {
	isDown := s.LogOutage && inFaultWindow(elapsed)
	return !isDown && !s.hasFailed(daemon, elapsed) && !s.isIsolated(daemon, elapsed)
}

// canReach reports whether two daemons can reach each other.
func (s Scenario) canReach(from, to int, elapsed time.Duration) bool {
	if s.hasFailed(from, elapsed) || s.hasFailed(to, elapsed) {
		return false
	}
	return zoneOf(from) == zoneOf(to) || !s.isIsolated(from, elapsed) && !s.isIsolated(to, elapsed)
}

func zoneOf(daemon int) int { return daemon % zoneCount }
