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
	// resendAtOncePercent is the part of the repeats that come in the same
	// tick; the others come within maxResendDelay.
	resendAtOncePercent = 25
	maxResendDelay      = 15 * time.Minute
)

// call is one send of a keyed request.
type call struct {
	key claim.Key
	// at is the time since the begin of the run, a multiple of the tick.
	at time.Duration
	// pick chooses among the daemons that live when the call arrives.
	pick int
}

// newLoad returns the calls of a run in order of time.
func newLoad(rate int, seed uint64) []call {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls []call
	add := func(key claim.Key, at time.Duration) {
		if at < total {
			calls = append(calls, call{key: key, at: at, pick: random.IntN(1 << 20)})
		}
	}
	for i := range int(total/time.Second) * rate {
		at := time.Duration(random.Int64N(int64(total/tick))) * tick
		key := claim.NewKey("customer", "service", strconv.Itoa(i))
		add(key, at)
		if random.IntN(100) >= resendPercent {
			continue
		}
		if random.IntN(100) >= resendAtOncePercent {
			at += time.Duration(random.Int64N(int64(maxResendDelay/tick))) * tick
		}
		add(key, at)
	}
	slices.SortStableFunc(calls, func(a, b call) int { return int(a.at/tick) - int(b.at/tick) })
	return calls
}
