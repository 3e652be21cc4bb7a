package rollout

import "math"

// figures are the responses of the target and of the other versions in one cell, and how many
// of them are worse than usual: failed, or slower than a threshold.
type figures struct {
	target, targetWorse float64
	old, oldWorse       float64
}

// failureFigures returns the figures of the failures.
func failureFigures(old, target *cell) figures {
	return figures{
		target: float64(target.responses()), targetWorse: float64(target.failed),
		old: float64(old.responses()), oldWorse: float64(old.failed),
	}
}

// timeFigures returns the figures of the times from one bin on, of which those from a slower
// bin on are worse. A response for which the caller stopped waiting counts if it is known to be worse.
func timeFigures(old, target *cell, from, bin int) figures {
	oldAbandoned, targetAbandoned := old.abandonedAfter(bin), target.abandonedAfter(bin)
	return figures{
		target:      float64(target.slowerThan(from) + targetAbandoned),
		targetWorse: float64(target.slowerThan(bin) + targetAbandoned),
		old:         float64(old.slowerThan(from) + oldAbandoned),
		oldWorse:    float64(old.slowerThan(bin) + oldAbandoned),
	}
}

// plus returns the sums of the figures.
func (f figures) plus(other figures) figures {
	return figures{
		target: f.target + other.target, targetWorse: f.targetWorse + other.targetWorse,
		old: f.old + other.old, oldWorse: f.oldWorse + other.oldWorse,
	}
}

// minus returns the figures without those of an earlier time.
func (f figures) minus(earlier figures) figures {
	return figures{
		target: f.target - earlier.target, targetWorse: f.targetWorse - earlier.targetWorse,
		old: f.old - earlier.old, oldWorse: f.oldWorse - earlier.oldWorse,
	}
}

// isOverLimit reports whether a bad target has given so many bad responses that it must be
// stopped soon: failures beyond those of the other versions, or any responses of a slow version.
func (f figures) isOverLimit(test Test, options Options) bool {
	if test == TestTimes {
		return f.target >= float64(options.LimitSlow)
	}
	usual := f.target * f.oldWorse / max(f.old, 1)
	return f.targetWorse-usual >= float64(options.LimitFailures)
}

// minRate bounds the weight of a single response.
const minRate = 1e-3

// logLikelihood returns the logarithm of the likelihood of the target's responses at a rate.
func (f figures) logLikelihood(rate float64) float64 {
	rate = min(max(rate, minRate), 1-minRate)
	return f.targetWorse*math.Log(rate) + (f.target-f.targetWorse)*math.Log1p(-rate)
}
