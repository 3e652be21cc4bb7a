package explain

import (
	"slices"
	"time"
)

const limitEnded = "RunnerLimitEnded"

// limitEvents are the changes of the limits of runners.
var limitEvents = []string{"RunnerLimited", "RunnerLimitChanged", limitEnded}

// concernsLimits reports whether limits of runners had a part in a request.
func concernsLimits(steps []Line) bool {
	return slices.ContainsFunc(steps, func(step Line) bool {
		_, hasLimit := step.Fields["LimitPerSecond"]
		_, wentElsewhere := step.Fields["LimitedCandidates"]
		return hasLimit || wentElsewhere || step.text("Reason") == "RunnersLimited"
	})
}

// limitLines returns the last change of each runner's limit at the given processes until a time,
// however long ago it was. A limit that ended before from is left out.
func limitLines(lines []Line, processes map[string]bool, from, until time.Time) []Line {
	last := make(map[string]Line)
	for _, line := range lines {
		if !processes[line.Process] || !slices.Contains(limitEvents, line.Event) || line.Time.After(until) {
			continue
		}
		key := line.Process + " " + line.text("Runner")
		if earlier, found := last[key]; !found || earlier.Steady < line.Steady {
			last[key] = line
		}
	}
	var changes []Line
	for _, line := range last {
		if line.Event != limitEnded || !line.Time.Before(from) {
			changes = append(changes, line)
		}
	}
	return changes
}
