package measure

import (
	"slices"
	"time"
)

// outcome sums up one run.
type outcome struct {
	// onTime is the share of calls within both targets.
	onTime float64
	// settled is the share among the calls that come later than settleTime
	// after the start of the measurement.
	settled float64
	// recompute is the ratio of prefilled tokens to the bound of one shared
	// endless cache.
	recompute float64
	// firstToken and betweenTokens are 95th percentiles.
	firstToken, betweenTokens time.Duration
	// refused is the share of refused calls.
	refused float64
	// peak is the ratio of the largest share of calls at a runner to the
	// mean share.
	peak float64
	// spend is the price of the time in which runners were busy, for a
	// million calls.
	spend float64
}

// sum returns the outcome of the calls that arrived from start to end.
func (s *simulation) sum(start, end time.Duration) outcome {
	var result outcome
	var all, settledCalls, prefilled, bound float64
	var firsts, betweens []time.Duration
	runners := map[string]float64{}
	for _, c := range s.calls {
		if c.arrived < start || c.arrived >= end {
			continue
		}
		all++
		late := c.arrived >= start+settleTime
		settledCalls += count(late)
		result.onTime += count(c.onTime())
		result.settled += count(late && c.onTime())
		result.refused += count(c.refused)
		if c.ended == 0 {
			continue
		}
		prefilled += float64(c.prefilled)
		bound += float64(c.bound)
		firsts = append(firsts, c.first-c.arrived)
		betweens = append(betweens, c.between())
		runners[c.decision.Runner]++
	}
	result.onTime /= all
	result.settled /= settledCalls
	result.refused /= all
	result.recompute = prefilled / bound
	result.firstToken, result.betweenTokens = percentile(firsts, 0.95), percentile(betweens, 0.95)
	result.spend = s.busySpend() / all * 1e6
	for _, calls := range runners {
		result.peak = max(result.peak, calls/all*float64(len(s.engines)))
	}
	return result
}

// busySpend returns the price of the time in which runners were busy since the
// warm-up.
func (s *simulation) busySpend() float64 {
	var spend float64
	for _, e := range s.engines {
		spend += e.info.Price * (e.busyTime - e.warmTime).Hours()
	}
	return spend
}

// count turns a condition into a number.
func count(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// percentile returns the value below which a share of values lies.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)-1))]
}
