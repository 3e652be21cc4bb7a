package balance

import (
	"math"
	"time"
)

// weightedRunner is a candidate of a choice among runners that differ in speed.
type weightedRunner struct {
	*runner
	// weight is what the runner carries now, as far as it is known.
	weight float64
	// running counts the requests that all daemons have there.
	running float64
	// penalty reduces the weight by a factor of e for each unit.
	penalty float64
}

// carriedSlots returns the number of requests above which the runner slows down. A runner whose record
// has no slots counts with those that it states.
func (w *weightedRunner) carriedSlots() float64 {
	slots := w.entry.Slots
	if slots <= 0 {
		slots = max(w.load.Slots, 1)
	}
	return float64(slots) * w.learned.Estimate().Knee
}

// hasDifferentSpeeds reports whether a runner is known to be faster or slower than typical. The
// runners are those of one service.
func hasDifferentSpeeds(runners []*runner, now time.Time) bool {
	if runners[0].learned.IsServiceEven(now) {
		return false
	}
	for _, r := range runners {
		if r.learned.Share() != 1 || r.learned.Slowness(now) != 1 {
			return true
		}
	}
	return false
}

// drawRunner returns a runner that is drawn for a plain request, in proportion to what each
// carries. All daemons choose on figures that are some hundred milliseconds old, and the request ends
// sooner than newer ones arrive: the runner that looks best to all of them would get them all.
func (b *Balancer) drawRunner(runners []*runner, request Request, mean float64, now time.Time) (Choice, *runner) {
	b.weigh(runners, mean, now)
	total := b.applyPenalties(b.serviceState(request.Service).unloadedTime, now)
	best := Choice{Cost: math.Inf(1), NextCost: math.Inf(1)}
	w := b.draw(total)
	excess := max(w.decayedFailureScore(now, b.options.FailureTimeConstant)-mean, 0)
	best.offer(w.runner, w.running/w.learned.Share()+b.fixedCost(w.runner, request, excess), 0)
	return best, w.runner
}

// weigh fills in the candidates. The mutex must be held.
func (b *Balancer) weigh(runners []*runner, mean float64, now time.Time) {
	b.weighted = b.weighted[:0]
	for _, r := range runners {
		running, _ := b.total(r, now)
		w := weightedRunner{
			runner: r, running: float64(running),
			weight: float64(max(r.entry.Slots, 1)) * r.learned.Share() / r.learned.Slowness(now),
		}
		if excess := r.decayedFailureScore(now, b.options.FailureTimeConstant) - mean; excess > 0 {
			w.weight *= math.Exp(-b.options.FailureCostPlain * excess * excess / 2)
		}
		b.weighted = append(b.weighted, w)
	}
}

const (
	// peerGain times the ratio of a request's time to the age of the figures is the effect of a
	// runner's load on its weight: a larger one makes the loads of all runners swing.
	peerGain = 0.5
	// ownGain is the effect of this daemon's own requests, which it knows at once.
	ownGain = 10
	// zoneGain is the effect of another zone on the weight of its runners while all slots are free. It
	// falls with the square of the free slots, so that a zone with few runners is not overloaded.
	zoneGain = 2
)

// applyPenalties reduces the weights of runners that are busier than others or in another zone, and returns
// their sum. The runner with the least penalty keeps its weight: all would be zero if every runner has many
// more requests than slots. The mutex must be held.
func (b *Balancer) applyPenalties(unloadedTime time.Duration, now time.Time) float64 {
	least := b.setPenalties(unloadedTime, now)
	total := 0.0
	for i := range b.weighted {
		w := &b.weighted[i]
		w.weight *= math.Exp(least - w.penalty)
		total += w.weight
	}
	return total
}

// setPenalties fills in the penalties of the candidates and returns the least one. The mutex must be held.
func (b *Balancer) setPenalties(unloadedTime time.Duration, now time.Time) float64 {
	gain := 0.0
	if age := b.peers.meanAge(now); age > 0 {
		gain = min(peerGain*unloadedTime.Seconds()/age.Seconds(), ownGain)
	}
	free, least := b.freeShare(), math.Inf(1)
	for i := range b.weighted {
		w := &b.weighted[i]
		own := float64(w.runner.running)
		w.penalty = (ownGain*own + gain*(w.running-own)) / w.carriedSlots()
		if w.entry.Zone != b.options.Zone {
			w.penalty += zoneGain * free * free
		}
		least = min(least, w.penalty)
	}
	return least
}

// freeShare returns the fraction of what the candidates carry that is free. The mutex must be held.
func (b *Balancer) freeShare() float64 {
	running, carried := 0.0, 0.0
	for _, w := range b.weighted {
		running += w.running
		carried += w.carriedSlots()
	}
	return max(1-running/carried, 0)
}

// draw returns a candidate, drawn in proportion to its weight. total is the sum of the weights.
func (b *Balancer) draw(total float64) *weightedRunner {
	left := b.random.Float64() * total
	for i := range b.weighted {
		w := &b.weighted[i]
		if left -= w.weight; left < 0 {
			return w
		}
	}
	return &b.weighted[len(b.weighted)-1]
}
