package rollout

import "time"

// TurnTime is how long the same runners of the target get the requests of a trial. It is short, so
// that one slow runner does not make the target look slow.
const TurnTime = time.Second

// Turn is a time of a trial at which certain runners of the target get requests.
type Turn struct {
	// Number counts the turns. Each uses other runners.
	Number int
	// Part is the largest part of the requests that the target gets now: 0 between turns, and 1 if it
	// gets its share at all times.
	Part float64
	// isSettling is true once a runner has been loaded, while daemons know of its load before.
	isSettling bool
}

const (
	// viewTime is the time in which daemons learn of the load of a runner.
	viewTime = 400 * time.Millisecond
	// maxKnownMissing is the part of a runner's load that may have gone before a turn for what daemons
	// knew of it to hold.
	maxKnownMissing = 0.6
)

// TurnAt returns the turn at a time since the order. If the share of the requests is less than what one
// of all runners gets, the target gets the part of a runner for some of the time, at the end of each
// cycle, and nothing in between: its runner is then loaded like the others. All daemons that know the
// order and the load have the same turns.
func TurnAt(sinceOrder time.Duration, load Load, share float64) Turn {
	sinceOrder = max(sinceOrder, 0)
	cycle := load.cycle(share)
	if cycle == 0 {
		return Turn{Number: int(sinceOrder / TurnTime), Part: 1}
	}
	turn := Turn{Number: int(sinceOrder / cycle)}
	// The requests of a turn are as many as all of them in this time.
	requests := time.Duration(shareReserve * share * float64(cycle))
	missing := load.missing(cycle - load.timeFor(requests))
	fill := min(load.fillTime(missing), time.Duration(float64(requests)/load.fillPart()))
	rest := requests - time.Duration(load.fillPart()*float64(fill))
	begin := cycle - fill - load.timeFor(rest)
	switch sinceTurn := sinceOrder%cycle - begin; {
	case sinceTurn < 0:
	case sinceTurn < fill:
		turn.Part = load.fillPart()
	default:
		turn.Part = load.part()
		turn.isSettling = missing > maxKnownMissing && sinceTurn < fill+viewTime
	}
	return turn
}

// timeFor returns the time in which the target gets as many requests with the part of one runner as all
// runners get in another time.
func (l Load) timeFor(requests time.Duration) time.Duration {
	return time.Duration(float64(max(requests, 0)) / l.part())
}

// IsNow reports whether the target gets requests, so that both versions can be compared.
func (t Turn) IsNow() bool { return t.Part > 0 }

// level returns the load level under which a response of the target counts, for a runner above half of
// its slots or not. While the turn settles, that is the level of the old runners: the runner has as many
// requests as these.
func (t Turn) level(isLoaded, isOldLoaded bool) bool {
	if t.isSettling {
		return isOldLoaded
	}
	return isLoaded
}
