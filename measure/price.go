package measure

import (
	"fmt"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// priceTable shows how much the plan's weight for cost saves at loads below the
// capacity, where idle runners can be stopped.
func priceTable(seeds int) *table {
	tenants := []Tenant{Porchlight(), Trust()}
	loads := []float64{quietLoad, mediumLoad, dayLoad}
	factors := []float64{0, 1, 4}
	out := &table{
		title: "Spend for busy runners by the weight for cost",
		note: "The score policy in calm, with the plan's weight for cost times a factor. The spend counts the time in " +
			"which a runner has work, for a million calls: what would be paid if idle runners were stopped.",
		columns: []string{"tenant", "load %", "weight for cost", "spend for a million calls", "in time %",
			"recomputed, ratio to bound"},
	}
	variants := len(tenants) * len(loads) * len(factors)
	at := func(variant int) (Tenant, float64) {
		t := tenants[variant/len(factors)/len(loads)]
		t.CostWeight *= factors[variant%len(factors)]
		return t, loads[variant/len(factors)%len(loads)]
	}
	results := overSeeds(variants, seeds, func(variant int, seed uint64) outcome {
		t, load := at(variant)
		return runScenario(t, Scenario{}, route.NewScore(), seed, load, scenarioWindow)
	})
	for i, result := range results {
		t, load := at(i)
		out.add(t.Name, fmt.Sprintf("%.0f", 100*load), fmt.Sprint(t.CostWeight),
			formatMedianAndRange(collect(result, func(o outcome) float64 { return o.spend }), "%.0f"),
			formatMedianAndRange(collect(result, func(o outcome) float64 { return 100 * o.onTime }), "%.1f"),
			formatMedianAndRange(collect(result, func(o outcome) float64 { return o.recomputeRatio }), "%.2f"))
	}
	return out
}

// mediumLoad is between quietLoad and dayLoad, as a share of the capacity.
const mediumLoad = 0.45
