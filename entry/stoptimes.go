package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

const (
	// defaultGrace is used when the platform sets no grace period.
	defaultGrace = 8 * time.Second
	// handoverTime bounds the handover of the last counts.
	handoverTime = 300 * time.Millisecond
	// reserveDivisor divides the grace period into parts, of which one is the reserve, unless
	// minStopReserve is more.
	reserveDivisor = 20
	minStopReserve = 100 * time.Millisecond
	// minDrainDivisor divides the grace period into parts, of which one is at least left to requests.
	minDrainDivisor = 2
)

// stopTimes are the times of the parts of a planned stop, in their order. From a grace period of two
// seconds on, they add up to it.
type stopTimes struct {
	// drain is how long after the start of the stop requests may take to end.
	drain time.Duration
	// lastAnswers is the time to answer requests that were cut.
	lastAnswers time.Duration
	// handover bounds the handover of the last counts.
	handover time.Duration
	// reserve is left to close connections and logs and to end the process.
	reserve time.Duration
}

// newStopTimes divides a grace period. Zero stands for the default one.
func newStopTimes(grace time.Duration) stopTimes {
	if grace <= 0 {
		grace = defaultGrace
	}
	t := stopTimes{lastAnswers: callerserver.LastAnswersTime, handover: handoverTime, reserve: max(grace/reserveDivisor, minStopReserve)}
	t.drain = max(grace-t.lastAnswers-t.handover-t.reserve, grace/minDrainDivisor)
	return t
}
