package measure

import (
	"slices"
	"time"
)

// outcome is the result of one run.
type outcome struct {
	// onTime is the share of calls within both latency targets.
	onTime float64
	// settledOnTime is the same share of the calls that arrive later than
	// settleTime after the start of the measurement.
	settledOnTime float64
	// recomputeRatio is the ratio of the prefilled tokens to those that would be
	// prefilled with one unlimited shared cache.
	recomputeRatio float64
	// firstToken and betweenTokens are 95th percentiles.
	firstToken, betweenTokens time.Duration
	// refused is the share of refused calls.
	refused float64
	// peakRatio is the ratio of the calls at the busiest runner to the mean over
	// all runners.
	peakRatio float64
	// spend is the price of the runners' busy time, for a million calls.
	spend float64
}

// summarize returns the outcome of the calls that arrived from start to end.
func (s *simulation) summarize(start, end time.Duration) outcome {
	var result outcome
	var all, settledCalls, prefilled, bound float64
	var firsts, betweens []time.Duration
	runners := map[string]float64{}
	for _, c := range s.calls {
		if c.arrivedAt < start || c.arrivedAt >= end {
			continue
		}
		all++
		settled := c.arrivedAt >= start+settleTime
		settledCalls += boolToFloat(settled)
		result.onTime += boolToFloat(c.onTime())
		result.settledOnTime += boolToFloat(settled && c.onTime())
		result.refused += boolToFloat(c.refused)
		if c.endedAt == 0 {
			continue
		}
		prefilled += float64(c.prefilledTokens)
		bound += float64(c.prefillBound)
		firsts = append(firsts, c.firstTokenAt-c.arrivedAt)
		betweens = append(betweens, c.meanTokenInterval())
		runners[c.decision.Runner]++
	}
	result.onTime /= all
	result.settledOnTime /= settledCalls
	result.refused /= all
	result.recomputeRatio = prefilled / bound
	result.firstToken, result.betweenTokens = percentile(firsts, 0.95), percentile(betweens, 0.95)
	result.spend = s.busySpend() / all * 1e6
	for _, calls := range runners {
		result.peakRatio = max(result.peakRatio, calls/all*float64(len(s.engines)))
	}
	return result
}

// busySpend returns the price of the runners' busy time since the warm-up.
func (s *simulation) busySpend() float64 {
	var spend float64
	for _, e := range s.engines {
		spend += e.info.Price * (e.busyTime - e.warmUpBusyTime).Hours()
	}
	return spend
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// percentile returns the value below which a share of values lies. It sorts
// values.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)-1))]
}
