package outage

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

const (
	// resendPercent is the probability that a caller sends a key again.
	resendPercent = 20
	// immediateResendPercent is the share of repeats that are sent in the same
	// tick; the others follow within maxResendDelay.
	immediateResendPercent = 25
	maxResendDelay         = 15 * time.Minute
)

// keyedCall is one send of a keyed request.
type keyedCall struct {
	key claim.Key
	// arrivesAt is the time since the start of the run, a multiple of the tick.
	arrivesAt time.Duration
	// daemonPick, modulo the number of daemons that are alive when the call
	// arrives, is the index of its daemon among them.
	daemonPick int
}

// newWorkload returns the calls of a run in time order.
func newWorkload(rate int, seed uint64) []keyedCall {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls []keyedCall
	add := func(key claim.Key, at time.Duration) {
		if at < runTime {
			calls = append(calls, keyedCall{key: key, arrivesAt: at, daemonPick: random.IntN(1 << 20)})
		}
	}
	for i := range int(runTime/time.Second) * rate {
		at := time.Duration(random.Int64N(int64(runTime/tick))) * tick
		key := claim.NewKey("customer", "service", strconv.Itoa(i))
		add(key, at)
		if random.IntN(100) >= resendPercent {
			continue
		}
		if random.IntN(100) >= immediateResendPercent {
			at += time.Duration(random.Int64N(int64(maxResendDelay/tick))) * tick
		}
		add(key, at)
	}
	slices.SortStableFunc(calls, func(a, b keyedCall) int { return int(a.arrivesAt/tick) - int(b.arrivesAt/tick) })
	return calls
}
