package measure

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// quietLoad and surgeLoad are shares of the capacity.
	quietLoad = 0.2
	surgeLoad = 1.1
	rampTime  = time.Minute
	surgeTime = 10 * time.Minute
)

// surgeRate returns the rate of the dawn surge: quiet until warmUp, then
// rising within rampTime, then high for surgeTime, then quiet.
func surgeRate(capacity float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		switch since := now - warmUp; {
		case since < 0 || since > rampTime+surgeTime:
			return quietLoad * capacity
		case since < rampTime:
			return (quietLoad + (surgeLoad-quietLoad)*since.Seconds()/rampTime.Seconds()) * capacity
		default:
			return surgeLoad * capacity
		}
	}
}

// kindOutcome sums up the calls of one kind.
type kindOutcome struct {
	// onTime, late and refused are shares.
	onTime, late, refused float64
}

// sumKind returns the outcome of the calls of a kind after the warm-up.
func sumKind(calls []*call, wanted kind) kindOutcome {
	var result kindOutcome
	var all float64
	for _, c := range calls {
		if c.kind != wanted || c.arrived < warmUp || c.arrived >= warmUp+rampTime+surgeTime {
			continue
		}
		all++
		result.onTime += count(c.onTime())
		result.refused += count(c.refused)
		result.late += count(!c.refused && !c.onTime())
	}
	result.onTime /= all
	result.late /= all
	result.refused /= all
	return result
}

// surgeOutcome is the outcome of a surge by kind.
type surgeOutcome [kinds]kindOutcome

// surge runs the dawn surge of a tenant with a capacity in calls a second.
func surge(t Tenant, capacity float64, policy route.Policy, seed uint64) surgeOutcome {
	s := newSimulation(t, Scenario{}, policy, seed, surgeRate(capacity))
	s.run(warmUp + rampTime + surgeTime + drainTime)
	var result surgeOutcome
	for k := range kinds {
		result[k] = sumKind(s.calls, k)
	}
	return result
}

// surgeTable compares the policies in the dawn surge at the runners.
func surgeTable(seeds int) *table {
	t := Trust()
	compared := policies(t)
	results := overSeeds(len(compared), seeds, func(variant int, seed uint64) surgeOutcome {
		return surge(t, t.capacity(len(t.runners())), compared[variant], seed)
	})
	out := &table{
		title: "Trust: dawn surge at the runners",
		note: fmt.Sprintf("From %.0f %% to %.0f %% of the capacity within a minute, then ten minutes. Questions have "+
			"the higher priority. Refusals are made at once, without a wait. All engines serve the higher priority "+
			"first.", 100*quietLoad, 100*surgeLoad),
		columns: surgeColumns("questions", "lesson plans"),
	}
	for i, policy := range compared {
		out.add(append([]string{policy.Name()}, kindRow(results[i], question, lessonPlan)...)...)
	}
	return out
}

// surgeColumns returns the columns for two kinds of calls.
func surgeColumns(high, low string) []string {
	columns := []string{"policy"}
	for _, name := range []string{high, low} {
		columns = append(columns, name+" in time %", name+" late %", name+" refused %")
	}
	return columns
}

// kindRow formats the outcomes of kinds of calls.
func kindRow(results []surgeOutcome, wanted ...kind) []string {
	var row []string
	for _, k := range wanted {
		row = append(row,
			spread(pick(results, func(o surgeOutcome) float64 { return 100 * o[k].onTime }), "%.1f"),
			spread(pick(results, func(o surgeOutcome) float64 { return 100 * o[k].late }), "%.2f"),
			spread(pick(results, func(o surgeOutcome) float64 { return 100 * o[k].refused }), "%.2f"))
	}
	return row
}
