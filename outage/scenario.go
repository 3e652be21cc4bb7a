package outage

import "time"

const (
	// tick is the interval at which a daemon gathers claims.
	tick = 5 * time.Millisecond
	// warmUp is the calm before the fault.
	warmUp = 5 * time.Minute
	// window is how long the fault is measured, and how long the time after.
	window = 10 * time.Minute
	// total is the length of a run.
	total = warmUp + 2*window
	// none is the index of no daemon and of no zone.
	none = -1
	// zones is the number of availability zones, daemonCount that of daemons.
	zones       = 4
	daemonCount = 7
)

// Scenario is the fault of a run. It begins after the warm-up.
type Scenario struct {
	// Name describes the fault.
	Name string
	// Rate is how many new keys come a second.
	Rate int
	// LogOutage says that the log answers nobody during the window.
	LogOutage bool
	// CutZone reaches neither the log nor the other zones during the window;
	// -1 for no zone.
	CutZone int
	// Victim is the daemon whose VM fails for good; -1 for none.
	Victim int
	// DeathAfter is when it fails, counted from the begin of the window.
	DeathAfter time.Duration
}

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Rate: 10, CutZone: none, Victim: none},
		{Name: "calm, 100 keys a second", Rate: 100, CutZone: none, Victim: none},
		{Name: "log outage", Rate: 10, LogOutage: true, CutZone: none, Victim: none},
		{Name: "zone cut off", Rate: 10, CutZone: 0, Victim: none},
		{Name: "daemon's death", Rate: 10, CutZone: none, Victim: 2},
		{Name: "daemon's death, log outage", Rate: 10, LogOutage: true, CutZone: none, Victim: 2, DeathAfter: window / 2},
	}
}

// isInWindow reports whether a time since the begin of the run is within the
// window of the fault.
func isInWindow(elapsed time.Duration) bool { return elapsed >= warmUp && elapsed < warmUp+window }

// isDead reports whether the daemon has failed.
func (s Scenario) isDead(daemon int, elapsed time.Duration) bool {
	return daemon == s.Victim && elapsed >= warmUp+s.DeathAfter
}

// isCut reports whether the daemon's zone is cut off.
func (s Scenario) isCut(daemon int, elapsed time.Duration) bool {
	return s.CutZone != none && zoneOf(daemon) == s.CutZone && isInWindow(elapsed)
}

// reachesLog reports whether the log answers the daemon.
func (s Scenario) reachesLog(daemon int, elapsed time.Duration) bool {
	isDown := s.LogOutage && isInWindow(elapsed)
	return !isDown && !s.isDead(daemon, elapsed) && !s.isCut(daemon, elapsed)
}

// reaches reports whether two daemons reach each other.
func (s Scenario) reaches(from, to int, elapsed time.Duration) bool {
	if s.isDead(from, elapsed) || s.isDead(to, elapsed) {
		return false
	}
	return zoneOf(from) == zoneOf(to) || !s.isCut(from, elapsed) && !s.isCut(to, elapsed)
}

func zoneOf(daemon int) int { return daemon % zones }
