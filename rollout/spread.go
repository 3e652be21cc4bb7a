package rollout

import (
	"math"
	"time"
)

const (
	// firstSpreadMark is the first mark that counts: at the beginning of the counts, only the
	// fast responses have come.
	firstSpreadMark = 4
	// minSpreadResponses is the number of responses between two marks from which their rate
	// counts.
	minSpreadResponses = 30
	// minFailureSpread and minTimeSpread are the least spreads that are assumed. Times depend on
	// the load, which the target takes over.
	minFailureSpread = 0.1
	minTimeSpread    = 0.25
)

// spread returns the standard deviation between times of the log odds of worse responses of the
// other versions, without the part that the small numbers of responses explain. The times are as long
// as the cycle of turns at least: at the beginning of a turn come the fast responses, and the slow ones after
// its end.
func spread(marks []mark, with comparison, cycle time.Duration) float64 {
	count, sum, squares, sampling := 0.0, 0.0, 0.0, 0.0
	with.background = nil
	all := group{route: allRoutes}
	earlier := firstSpreadMark
	for i := firstSpreadMark + 1; i < len(marks); i++ {
		if marks[i].at.Sub(marks[earlier].at) < cycle {
			continue
		}
		later := marks[i].sums.figuresOf(all, with).minus(marks[earlier].sums.figuresOf(all, with))
		earlier = i
		if later.old < minSpreadResponses {
			continue
		}
		worse, better := later.oldWorse+0.5, later.old-later.oldWorse+0.5
		odds := math.Log(worse / better)
		count++
		sum += odds
		squares += odds * odds
		sampling += 1/worse + 1/better
	}
	least := minFailureSpread
	if with.test == TestTimes {
		least = minTimeSpread
	}
	if count < 2 {
		return least
	}
	mean := sum / count
	variance := (squares - count*mean*mean) / (count - 1)
	return max(least, math.Sqrt(max(variance-sampling/count, 0)))
}
