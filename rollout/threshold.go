package rollout

import "math"

// thresholds separate the times of one cell: most responses from slower ones, and those from
// ever slower ones. Each stage compares the responses above one threshold with all those above
// the threshold before it, so that the evidence of the stages can be added.
type thresholds struct {
	stages []stage
	// whole is the threshold in the middle, for all responses.
	whole stage
}

// stage is a threshold.
type stage struct {
	// from is the first bin of the responses that are compared, and bin that of the slow ones.
	from, bin int
	// shifts holds, for each effect, how much larger the log odds of a slow response are when
	// all responses are slower by the effect. An effect of size i is i+1 octaves.
	shifts [effects]float64
}

// minTimed is the number of times that thresholds need.
const minTimed = 20

// slowShares are the shares of the other versions' responses that are above the thresholds.
var slowShares = [...]float64{0.5, 0.2, 0.06}

// newThresholds returns the thresholds that the times of the other versions give, or none if
// they have responded too rarely.
func newThresholds(old *cell) thresholds {
	slower := old.slowerCounts()
	if slower[0] < minTimed {
		return thresholds{}
	}
	var result thresholds
	from, bin := 0, 1
	for _, share := range slowShares {
		for bin < timeBins-1 && slower[bin] > share*slower[0] {
			bin++
		}
		if slower[bin] == 0 {
			break
		}
		result.stages = append(result.stages, newStage(&slower, from, bin))
		from, bin = bin, bin+1
	}
	if n := len(result.stages); n > 0 {
		result.whole = newStage(&slower, 0, result.stages[n/2].bin)
	}
	return result
}

// figures returns the figures of all responses.
func (t thresholds) figures(old, target *cell) figures {
	if len(t.stages) == 0 {
		return figures{}
	}
	return timeFigures(old, target, 0, t.whole.bin)
}

func newStage(slower *[timeBins]float64, from, bin int) stage {
	s := stage{from: from, bin: bin}
	usual := logOdds(slower[bin], slower[from])
	for size := range s.shifts {
		bins := (size + 1) * binsPerOctave
		s.shifts[size] = logOdds(slower[max(bin-bins, 0)], slower[max(from-bins, 0)]) - usual
	}
	return s
}

// effect returns the rate of slow responses if all are slower by an effect.
func (s stage) effect(rate float64, size int) float64 {
	return logistic(math.Log(rate/(1-rate)) + s.shifts[size])
}

// thresholds returns the thresholds of the cells, by route and load level.
func (c *counts) thresholds() [][2]thresholds {
	result := make([][2]thresholds, len(c.routes))
	for r := range c.routes {
		for level, loaded := range loadLevels {
			result[r][level] = newThresholds(&c.routes[r][cellIndex(loaded, false)])
		}
	}
	return result
}

// slowerCounts returns the number of times in each bin and all slower ones.
func (c *cell) slowerCounts() [timeBins]float64 {
	var sums [timeBins]float64
	sum := 0.0
	for i := timeBins - 1; i >= 0; i-- {
		sum += float64(c.times[i])
		sums[i] = sum
	}
	return sums
}

// logOdds returns the log odds of being among some of all.
func logOdds(some, all float64) float64 { return math.Log((some + 0.5) / (all - some + 0.5)) }
