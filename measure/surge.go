package measure

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// quietLoad and surgeLoad are loads as shares of the capacity.
	quietLoad = 0.2
	surgeLoad = 1.1
	rampTime  = time.Minute
	surgeTime = 10 * time.Minute
)

// surgeRate returns the rate of the dawn surge: quietLoad during the warm-up, a
// linear rise within rampTime, surgeLoad for surgeTime, then quietLoad again.
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

// kindOutcome is the result of the calls of one kind.
type kindOutcome struct {
	// onTime, late and refused are shares of the calls.
	onTime, late, refused float64
}

// sumKind returns the outcome of the calls of a kind after the warm-up.
func sumKind(calls []*call, wanted callKind) kindOutcome {
	var result kindOutcome
	var all float64
	for _, c := range calls {
		if c.kind != wanted || c.arrivedAt < warmUp || c.arrivedAt >= warmUp+rampTime+surgeTime {
			continue
		}
		all++
		result.onTime += boolToFloat(c.onTime())
		result.refused += boolToFloat(c.refused)
		result.late += boolToFloat(!c.refused && !c.onTime())
	}
	result.onTime /= all
	result.late /= all
	result.refused /= all
	return result
}

// surgeOutcome is the outcome of a surge by kind.
type surgeOutcome [kindCount]kindOutcome

// runSurge runs the dawn surge of a tenant with a capacity in calls per second.
func runSurge(t Tenant, capacity float64, policy route.Policy, seed uint64) surgeOutcome {
	s := newSimulation(t, Scenario{}, policy, seed, surgeRate(capacity))
	s.run(warmUp + rampTime + surgeTime + drainTime)
	var result surgeOutcome
	for k := range kindCount {
		result[k] = sumKind(s.calls, k)
	}
	return result
}

// surgeTable compares the policies in the dawn surge at the runners.
func surgeTable(seeds int) *table {
	t := Trust()
	compared := policies(t)
	results := overSeeds(len(compared), seeds, func(variant int, seed uint64) surgeOutcome {
		return runSurge(t, t.idealCapacity(len(t.runners())), compared[variant], seed)
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

// kindRow formats the outcomes of the wanted kinds of calls.
func kindRow(results []surgeOutcome, wanted ...callKind) []string {
	var row []string
	for _, k := range wanted {
		row = append(row,
			formatMedianAndRange(collect(results, func(o surgeOutcome) float64 { return 100 * o[k].onTime }), "%.1f"),
			formatMedianAndRange(collect(results, func(o surgeOutcome) float64 { return 100 * o[k].late }), "%.2f"),
			formatMedianAndRange(collect(results, func(o surgeOutcome) float64 { return 100 * o[k].refused }), "%.2f"))
	}
	return row
}
